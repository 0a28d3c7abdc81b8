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
use http::Call;
use http_types::Method;
use rand::Rng;
use route::Pick;

use crate::node::Node;

/// Requests that may wait for a slot.
const MAX_WAITING: usize = 2000;
/// Share of the waiting room that one caller may take, as a divisor.
const CALLER_PART: usize = 4;
/// Attempts of one request at most.
const MAX_ATTEMPTS: usize = 4;
/// Retries of the baseline.
const FIXED_RETRIES: usize = 2;
/// Times the usual latency after which a second copy is sent.
const HEDGE_FACTOR: f64 = 1.75;
/// Least time after which a second copy is sent, in milliseconds.
const HEDGE_FLOOR: f64 = 10.0;
/// Time within which a server ends what it has received.
const LINGER: Duration = Duration::from_millis(1000);
/// Time within which a server must answer a probe.
const PROBE_LIMIT: Duration = Duration::from_millis(800);

/// What a request asks for.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    /// Identifier, in every log line and echoed by the backend server.
    pub(crate) id: Name,
    pub(crate) service: Name,
    pub(crate) caller: Name,
    pub(crate) body: Vec<u8>,
    /// It may be sent more than once.
    pub(crate) idempotent: bool,
    /// It waits in front of the others.
    pub(crate) urgent: bool,
    pub(crate) key: Option<Name>,
    /// Moment at which its time is up, on the monotonic clock.
    pub(crate) until: Millis,
}

/// One answer of a backend server, or why there is none.
enum Tried {
    Whole { status: u16, body: Vec<u8> },
    NotRun,
    Doubt,
}

/// Serves a request: its whole answer, a true "not run", or "unknown" where a
/// request that may run only once got no answer.
pub(crate) async fn serve(node: &Rc<Node>, request: &Request) -> Outcome {
    let started = now().mono;
    {
        let mut state = node.state.borrow_mut();
        state.router.budget.earn();
        state.router.running += 1;
    }
    let outcome = attempts(node, request).await;
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

async fn attempts(node: &Rc<Node>, request: &Request) -> Outcome {
    let mut tried: Vec<Name> = Vec::new();
    // An earlier copy may have run, whatever became of the later ones.
    let mut doubt = false;
    for attempt in 0..MAX_ATTEMPTS {
        let Some(pick) = acquire(node, request, &tried).await else { break };
        tried.push(pick.backend.clone());
        let tried_one = match request.idempotent && node.mode.features.hedge {
            true => hedged(node, request, pick, attempt, &mut tried).await,
            false => send(node, request, pick, attempt).await,
        };
        match tried_one {
            Tried::Whole { status, body } => return Outcome::Answer { status, body },
            Tried::Doubt if !request.idempotent => return Outcome::Unknown,
            Tried::Doubt => doubt = true,
            Tried::NotRun => {}
        }
        if now().mono >= request.until || !retry(node, attempt) {
            break;
        }
    }
    if doubt { Outcome::Unknown } else { Outcome::NotRun }
}

fn retry(node: &Node, attempt: usize) -> bool {
    if !node.mode.features.budget {
        return attempt < FIXED_RETRIES;
    }
    let mut state = node.state.borrow_mut();
    let allowed = state.router.budget.spend();
    metrics::counter!("retries", "allowed" => if allowed { "yes" } else { "no" }).increment(1);
    allowed
}

/// Chooses a server and takes one of its slots, waiting for one if need be.
async fn acquire(node: &Rc<Node>, request: &Request, tried: &[Name]) -> Option<Pick> {
    loop {
        if let Some(pick) = pick(node, request, tried) {
            return Some(pick);
        }
        let left = request.until.saturating_sub(now().mono);
        if left == 0 {
            refuse(request, "no slot became free in time");
            return None;
        }
        let Some(woken) = wait(node, request) else {
            refuse(request, "too many requests wait");
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

fn refuse(request: &Request, why: &str) {
    event!("not_run", request = request.id, service = request.service, why = why);
}

fn pick(node: &Rc<Node>, request: &Request, tried: &[Name]) -> Option<Pick> {
    let mut state = node.state.borrow_mut();
    let state = &mut *state;
    let time = now().mono;
    let features = node.mode.features;
    let router = &mut state.router;
    let pick = router.targets.pick(time, tried, features, &mut state.rng).or_else(|| {
        // With every other server busy, one that failed may be tried again.
        let again = !tried.is_empty();
        again.then(|| router.targets.pick(time, &[], features, &mut state.rng)).flatten()
    });
    let Some(pick) = pick else {
        router.short = time;
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

fn wait(node: &Rc<Node>, request: &Request) -> Option<oneshot::Receiver<()>> {
    let mut state = node.state.borrow_mut();
    let router = &mut state.router;
    router.urgent.retain(|waiter| !waiter.is_canceled());
    router.normal.retain(|waiter| !waiter.is_canceled());
    let waiting = router.urgent.len() + router.normal.len();
    let count = router.callers.entry(request.caller.clone()).or_default();
    if waiting >= MAX_WAITING || *count >= MAX_WAITING / CALLER_PART {
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

/// Sends a request, and a second copy where the first is slow.
async fn hedged(
    node: &Rc<Node>,
    request: &Request,
    pick: Pick,
    attempt: usize,
    tried: &mut Vec<Name>,
) -> Tried {
    let usual = node.state.borrow().router.targets.usual();
    let slow = usual.map_or(HEDGE_FLOOR * 10.0, |ms| (ms * HEDGE_FACTOR).max(HEDGE_FLOOR));
    let first = send(node, request, pick, attempt);
    futures::pin_mut!(first);
    if let Ok(done) = timeout(Duration::from_millis(slow as u64), &mut first).await {
        return done;
    }
    let second = {
        let allowed = node.state.borrow_mut().router.budget.spend();
        allowed.then(|| self::pick(node, request, tried)).flatten()
    };
    let Some(pick) = second else { return first.await };
    metrics::counter!("hedges").increment(1);
    tried.push(pick.backend.clone());
    let second = send(node, request, pick, attempt + 10);
    futures::pin_mut!(second);
    let (done, other) = match select(first, second).await {
        Either::Left((Tried::Whole { status, body }, _))
        | Either::Right((Tried::Whole { status, body }, _)) => {
            return Tried::Whole { status, body };
        }
        Either::Left((done, second)) => (done, second.await),
        Either::Right((done, first)) => (done, first.await),
    };
    match (done, other) {
        (_, Tried::Whole { status, body }) => Tried::Whole { status, body },
        (Tried::NotRun, Tried::NotRun) => Tried::NotRun,
        _ => Tried::Doubt,
    }
}

/// Sends one copy. The exchange goes on when nobody waits for it any more, so
/// that its slot is held for as long as the request may run.
async fn send(node: &Rc<Node>, request: &Request, pick: Pick, attempt: usize) -> Tried {
    let (done, result) = oneshot::channel();
    let left = request.until.saturating_sub(now().mono).max(1);
    let call = call(node, request, &pick, attempt);
    let node = Rc::clone(node);
    spawn_local(async move {
        let id = header(&call, "x-request-id");
        let started = now().mono;
        let answer = node.http.exchange(call).await;
        let took = (now().mono - started) as f64;
        let tried = judge(&node, &pick, &id, answer, took);
        let doubt = matches!(tried, Tried::Doubt);
        let _ = done.send(tried);
        if doubt {
            drain(&node, &pick).await;
        }
        let mut state = node.state.borrow_mut();
        state.router.targets.release(&pick.backend);
        state.router.wake();
    });
    match timeout(Duration::from_millis(left), result).await {
        Ok(Ok(tried)) => tried,
        _ => Tried::Doubt,
    }
}

/// Waits until a request whose answer was lost cannot be running any more. It
/// may sit in the network for as long as the server is cut off, so the server
/// must have answered something sent later.
async fn drain(node: &Rc<Node>, pick: &Pick) {
    loop {
        sleep(LINGER).await;
        let listed = node.state.borrow().router.targets.table.contains_key(&pick.backend);
        if !listed || node.backend(pick.http, PROBE_LIMIT).list().await.is_ok() {
            break;
        }
    }
    sleep(LINGER).await;
}

fn header(call: &Call, name: &str) -> String {
    let value = call.headers.iter().find(|(n, _)| *n == name);
    value.map(|(_, v)| v.clone()).unwrap_or_default()
}

fn call(node: &Node, request: &Request, pick: &Pick, attempt: usize) -> Call {
    let nonce: u32 = node.state.borrow_mut().rng.random();
    let id = format!("{}.{attempt}.{nonce:08x}", request.id);
    let mut headers = vec![("x-request-id", id)];
    if let Some(key) = &request.key {
        headers.push(("x-key", key.to_string()));
    }
    Call {
        peer: pick.http,
        method: Method::Post,
        path: format!("/v1/serve/{}", request.service),
        headers,
        body: request.body.clone(),
        // Longer than the caller waits: the slot is busy until the end.
        timeout: Duration::from_millis(node.settings.timing.deadline * 2),
    }
}

/// Judges an exchange: an answer counts only when it is whole and echoes the
/// identifier of this very copy.
fn judge(
    node: &Node,
    pick: &Pick,
    id: &str,
    answer: http::Result<(u16, Vec<u8>, http_types::Response)>,
    took: f64,
) -> Tried {
    let mut state = node.state.borrow_mut();
    let time = now().mono;
    let targets = &mut state.router.targets;
    let features = node.mode.features;
    match answer {
        Ok((status, body, response)) => {
            let value = |name| response.header(name).map(|v| v.as_str().to_owned());
            if value("x-not-run").is_some() {
                targets.failed(&pick.backend, time, features);
                return Tried::NotRun;
            }
            if value("x-request-id").as_deref() != Some(id) {
                event!("answer_dropped", request = id, backend = pick.backend);
                return Tried::Doubt;
            }
            targets.answered(&pick.backend, time, took);
            Tried::Whole { status, body }
        }
        Err(e) => {
            event!("attempt_failed", request = id, backend = pick.backend, error = e);
            targets.failed(&pick.backend, time, features);
            if e.unsent() { Tried::NotRun } else { Tried::Doubt }
        }
    }
}
