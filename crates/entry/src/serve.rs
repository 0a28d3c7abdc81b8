//! Serves requests of callers on backend servers, with retries and hedging.

use std::{rc::Rc, time::Duration};

use async_std::{
    future::timeout,
    task::{sleep, spawn_local},
};
use base::{Millis, Name, event, now};
use cell::Outcome;
use futures::{
    channel::oneshot,
    future::{Either, select},
};
use http::OutgoingRequest;
use http_types::Method;
use rand::Rng;
use route::Pick;

use crate::node::Node;

/// Maximum number of requests that wait for a slot.
const MAX_WAITING: usize = 2000;
/// Divisor of `MAX_WAITING` that gives the maximum for one caller.
const CALLER_DIVISOR: usize = 4;
/// Maximum number of attempts of a request.
const MAX_ATTEMPTS: usize = 4;
/// Maximum number of retries if there is no retry budget, as in the baseline.
const MAX_FIXED_RETRIES: usize = 2;
/// Multiple of the median latency after which a second copy is sent.
const HEDGE_FACTOR: f64 = 1.75;
/// Minimum time after which a second copy is sent, in milliseconds.
const MIN_HEDGE_DELAY_MS: f64 = 10.0;
/// Time within which a server completes a request that it has received.
const DRAIN_PAUSE: Duration = Duration::from_millis(1000);
/// Timeout for the reply of a server to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// A request of a caller to a service.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    /// Identifier, which appears in log lines and is echoed by the backend server.
    pub(crate) id: Name,
    pub(crate) service: Name,
    pub(crate) caller: Name,
    pub(crate) body: Vec<u8>,
    /// Whether it may be sent more than once.
    pub(crate) idempotent: bool,
    /// Whether it gets a slot before requests that are not urgent.
    pub(crate) urgent: bool,
    /// Idempotency key, passed on to the backend server.
    pub(crate) key: Option<Name>,
    /// Deadline on the monotonic clock.
    pub(crate) until: Millis,
}

/// Result of one attempt.
enum Attempt {
    /// The backend server returned a complete response.
    Complete { status: u16, body: Vec<u8> },
    /// The backend server did not run the request.
    NotRun,
    /// The request may have run, but no valid response arrived.
    InDoubt,
}

/// Serves a request. The outcome is a complete response, `NotRun` if it is certain
/// that no backend server ran the request, or `Unknown` if one may have run it
/// without a response.
pub(crate) async fn serve(node: &Rc<Node>, request: &Request) -> Outcome {
    let started = now().mono;
    {
        let mut state = node.state.borrow_mut();
        state.router.budget.earn();
        state.router.running += 1;
    }
    let outcome = run_attempts(node, request).await;
    node.state.borrow_mut().router.running -= 1;
    let name = match &outcome {
        Outcome::Answer { .. } => "answer",
        Outcome::NotRun => "not_run",
        Outcome::Unknown => "unknown",
    };
    metrics::counter!("requests", "outcome" => name).increment(1);
    let took = now().mono - started;
    metrics::histogram!("request_ms").record(took as f64);
    outcome
}

/// Sends a request until an attempt gives its outcome or no retry is allowed.
async fn run_attempts(node: &Rc<Node>, request: &Request) -> Outcome {
    let mut tried: Vec<Name> = Vec::new();
    // Set once a copy may have run, whatever the results of later attempts.
    let mut in_doubt = false;
    for attempt in 0..MAX_ATTEMPTS {
        let Some(pick) = acquire(node, request, &tried).await else { break };
        tried.push(pick.backend.clone());
        let attempted = match request.idempotent && node.mode.features.hedge {
            true => send_hedged(node, request, pick, attempt, &mut tried).await,
            false => send(node, request, pick, attempt).await,
        };
        match attempted {
            Attempt::Complete { status, body } => return Outcome::Answer { status, body },
            Attempt::InDoubt if !request.idempotent => return Outcome::Unknown,
            Attempt::InDoubt => in_doubt = true,
            Attempt::NotRun => {}
        }
        if now().mono >= request.until || !may_retry(node, attempt) {
            break;
        }
    }
    if in_doubt { Outcome::Unknown } else { Outcome::NotRun }
}

/// Returns whether another attempt is allowed.
fn may_retry(node: &Node, attempt: usize) -> bool {
    if !node.mode.features.budget {
        return attempt < MAX_FIXED_RETRIES;
    }
    let mut state = node.state.borrow_mut();
    let allowed = state.router.budget.try_spend();
    metrics::counter!("retries", "allowed" => if allowed { "yes" } else { "no" }).increment(1);
    allowed
}

/// Chooses a server and takes one of its slots. Waits for a free slot and returns
/// `None` if there is none in time.
async fn acquire(node: &Rc<Node>, request: &Request, tried: &[Name]) -> Option<Pick> {
    loop {
        if let Some(pick) = pick_server(node, request, tried) {
            return Some(pick);
        }
        let left = request.until.saturating_sub(now().mono);
        if left == 0 {
            log_not_run(request, "no slot became free in time");
            return None;
        }
        let Some(woken) = enqueue(node, request) else {
            log_not_run(request, "too many requests wait");
            return None;
        };
        let _ = timeout(Duration::from_millis(left.min(250)), woken).await;
        let mut state = node.state.borrow_mut();
        if let Some(count) = state.router.callers.get_mut(&request.caller) {
            *count -= 1;
            if *count == 0 {
                state.router.callers.remove(&request.caller);
            }
        }
    }
}

fn log_not_run(request: &Request, why: &str) {
    event!("not_run", request = request.id, service = request.service, why = why);
}

fn pick_server(node: &Rc<Node>, request: &Request, tried: &[Name]) -> Option<Pick> {
    let mut state = node.state.borrow_mut();
    let state = &mut *state;
    let time = now().mono;
    let features = node.mode.features;
    let router = &mut state.router;
    let pick = router.targets.pick(time, tried, features, &mut state.rng).or_else(|| {
        // If no other server has a free slot, one that was tried before may be
        // tried again.
        let reuse_tried = !tried.is_empty();
        reuse_tried.then(|| router.targets.pick(time, &[], features, &mut state.rng)).flatten()
    });
    let Some(pick) = pick else {
        router.shortage_at = time;
        return None;
    };
    event!(
        "route",
        request = request.id,
        service = request.service,
        candidates = pick.candidates,
        chosen = pick.backend,
        why = format!("{:?}, expected {:.1} ms", pick.tier, pick.cost),
    );
    Some(pick)
}

/// Queues a request for a free slot. Returns `None` if too many requests wait.
fn enqueue(node: &Rc<Node>, request: &Request) -> Option<oneshot::Receiver<()>> {
    let mut state = node.state.borrow_mut();
    let router = &mut state.router;
    router.urgent.retain(|waiter| !waiter.is_canceled());
    router.normal.retain(|waiter| !waiter.is_canceled());
    let waiting = router.urgent.len() + router.normal.len();
    let count = router.callers.entry(request.caller.clone()).or_default();
    if waiting >= MAX_WAITING || *count >= MAX_WAITING / CALLER_DIVISOR {
        return None;
    }
    *count += 1;
    let (waiter, woken) = oneshot::channel();
    match request.urgent {
        true => router.urgent.push_back(waiter),
        false => router.normal.push_back(waiter),
    }
    Some(woken)
}

/// Sends a request, and a second copy to another server if the first is slow.
async fn send_hedged(
    node: &Rc<Node>,
    request: &Request,
    pick: Pick,
    attempt: usize,
    tried: &mut Vec<Name>,
) -> Attempt {
    let median = node.state.borrow().router.targets.median_latency();
    let delay =
        median.map_or(MIN_HEDGE_DELAY_MS * 10.0, |ms| (ms * HEDGE_FACTOR).max(MIN_HEDGE_DELAY_MS));
    let first = send(node, request, pick, attempt);
    futures::pin_mut!(first);
    if let Ok(done) = timeout(Duration::from_millis(delay as u64), &mut first).await {
        return done;
    }
    let second = {
        let allowed = node.state.borrow_mut().router.budget.try_spend();
        allowed.then(|| self::pick_server(node, request, tried)).flatten()
    };
    let Some(pick) = second else { return first.await };
    metrics::counter!("hedges").increment(1);
    tried.push(pick.backend.clone());
    let second = send(node, request, pick, attempt + 10);
    futures::pin_mut!(second);
    let (done, other) = match select(first, second).await {
        Either::Left((Attempt::Complete { status, body }, _))
        | Either::Right((Attempt::Complete { status, body }, _)) => {
            return Attempt::Complete { status, body };
        }
        Either::Left((done, second)) => (done, second.await),
        Either::Right((done, first)) => (done, first.await),
    };
    match (done, other) {
        (_, Attempt::Complete { status, body }) => Attempt::Complete { status, body },
        (Attempt::NotRun, Attempt::NotRun) => Attempt::NotRun,
        _ => Attempt::InDoubt,
    }
}

/// Sends one copy of a request. The exchange continues in the background after the
/// deadline, so that its slot is held for as long as the request may run.
async fn send(node: &Rc<Node>, request: &Request, pick: Pick, attempt: usize) -> Attempt {
    let (sender, receiver) = oneshot::channel();
    let left = request.until.saturating_sub(now().mono).max(1);
    let outgoing = build_outgoing(node, request, &pick, attempt);
    let node = Rc::clone(node);
    spawn_local(async move {
        let id = header(&outgoing, "x-request-id");
        let started = now().mono;
        let received = node.http.send(outgoing).await;
        let took = (now().mono - started) as f64;
        let result = classify(&node, &pick, &id, received, took);
        let in_doubt = matches!(result, Attempt::InDoubt);
        let _ = sender.send(result);
        if in_doubt {
            drain(&node, &pick).await;
        }
        let mut state = node.state.borrow_mut();
        state.router.targets.release(&pick.backend);
        state.router.wake_one();
    });
    match timeout(Duration::from_millis(left), receiver).await {
        Ok(Ok(result)) => result,
        _ => Attempt::InDoubt,
    }
}

/// Waits until a request whose response was lost can no longer run. It may be
/// delayed in the network for as long as the server is cut off. Hence a reply of
/// the server to a later probe is required.
async fn drain(node: &Rc<Node>, pick: &Pick) {
    loop {
        sleep(DRAIN_PAUSE).await;
        let listed = node.state.borrow().router.targets.by_id.contains_key(&pick.backend);
        if !listed || node.backend(pick.http, PROBE_TIMEOUT).list().await.is_ok() {
            break;
        }
    }
    sleep(DRAIN_PAUSE).await;
}

/// Returns the value of a header of an outgoing request.
fn header(outgoing: &OutgoingRequest, name: &str) -> String {
    let value = outgoing.headers.iter().find(|(n, _)| *n == name);
    value.map(|(_, v)| v.clone()).unwrap_or_default()
}

fn build_outgoing(node: &Node, request: &Request, pick: &Pick, attempt: usize) -> OutgoingRequest {
    let nonce: u32 = node.state.borrow_mut().rng.random();
    let id = format!("{}.{attempt}.{nonce:08x}", request.id);
    let mut headers = vec![("x-request-id", id)];
    if let Some(key) = &request.key {
        headers.push(("x-key", key.to_string()));
    }
    OutgoingRequest {
        addr: pick.http,
        method: Method::Post,
        path: format!("/v1/serve/{}", request.service),
        headers,
        body: request.body.clone(),
        // Longer than the caller waits, since the slot stays busy until the
        // request ends.
        timeout: Duration::from_millis(node.settings.timing.deadline * 2),
    }
}

/// Classifies the result of an exchange. A response is valid only if it is complete
/// and echoes the identifier of the copy that was sent.
fn classify(
    node: &Node,
    pick: &Pick,
    id: &str,
    received: http::Result<(u16, Vec<u8>, http_types::Response)>,
    took: f64,
) -> Attempt {
    let mut state = node.state.borrow_mut();
    let time = now().mono;
    let targets = &mut state.router.targets;
    let features = node.mode.features;
    match received {
        Ok((status, body, response)) => {
            let value = |name| response.header(name).map(|v| v.as_str().to_owned());
            if value("x-not-run").is_some() {
                targets.record_failure(&pick.backend, time, features);
                return Attempt::NotRun;
            }
            if value("x-request-id").as_deref() != Some(id) {
                event!("answer_dropped", request = id, backend = pick.backend);
                return Attempt::InDoubt;
            }
            targets.record_success(&pick.backend, time, took);
            Attempt::Complete { status, body }
        }
        Err(e) => {
            event!("attempt_failed", request = id, backend = pick.backend, error = e);
            targets.record_failure(&pick.backend, time, features);
            if e.is_unsent() { Attempt::NotRun } else { Attempt::InDoubt }
        }
    }
}
