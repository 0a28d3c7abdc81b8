use std::rc::Rc;

use base::{Millis, Name, now};
use cell::Outcome;
use http::{Answer, Ask, json};
use http_types::Method;
use rand::Rng;
use serde::Serialize;
use wire::msg::{Enter, EnterReply};

use crate::{
    config, jobs, keys,
    node::Node,
    report,
    serve::{self, Request},
};

/// Length of an idempotency key at most, in bytes.
const MAX_KEY: usize = 200;

#[derive(Debug, Serialize)]
struct NoAnswer<'a> {
    outcome: &'a str,
    request: &'a str,
    reason: &'a str,
}

/// Answers one HTTP request of a caller, an operator or the balancer.
pub(crate) async fn answer(node: Rc<Node>, ask: Ask) -> Option<Answer> {
    node.state.borrow_mut().inflight += 1;
    let answer = route(&node, &ask).await;
    node.state.borrow_mut().inflight -= 1;
    let shutting = node.state.borrow().shutting;
    Some(if shutting { answer.with("connection", "close") } else { answer })
}

async fn route(node: &Rc<Node>, ask: &Ask) -> Answer {
    let parts: Vec<&str> = ask.path.trim_matches('/').split('/').collect();
    let domain = ask.header("x-domain");
    match (ask.method, parts.as_slice()) {
        (Method::Get, ["healthz"]) => health(node),
        (Method::Get, ["metrics"]) => Answer::new(200, "text/plain", node.metrics.render()),
        (Method::Post, ["v1", "serve", service]) => serve_request(node, service, ask).await,
        (Method::Post, ["v1", "jobs"]) => jobs::submit(node, ask).await,
        (Method::Get, ["v1", "jobs", id]) => jobs::find(node, &decoded(id), domain).await,
        (Method::Get, ["v1", "explain", id]) => jobs::find(node, &decoded(id), domain).await,
        (Method::Post, ["v1", "jobs", id, "cancel"]) => jobs::cancel(node, id, domain).await,
        (Method::Get, ["v1", "config"]) => json(200, &node.state.borrow().config),
        (Method::Post, ["v1", "config"]) => config::publish(node, ask).await,
        (Method::Get, ["v1", "status"]) => json(200, &report::status(node)),
        (_, ["healthz" | "metrics", ..] | ["v1", ..]) => Answer::fault(405, "no such call"),
        _ => Answer::fault(404, "no such path"),
    }
}

/// A `#` in a task identifier is written `%23` in a path.
fn decoded(id: &str) -> String {
    id.replace("%23", "#")
}

/// The balancer takes a VM out while it is shutting down, and puts it in once
/// it has a configuration and slots.
fn health(node: &Node) -> Answer {
    let state = node.state.borrow();
    if state.shutting {
        return Answer::fault(503, "shutting down");
    }
    if state.config.version == 0 || !state.router.targets.any() {
        return Answer::fault(503, "not ready: no configuration or no slots yet");
    }
    Answer::new(200, "text/plain", "ok\n")
}

async fn serve_request(node: &Rc<Node>, service: &str, ask: &Ask) -> Answer {
    let known = node.state.borrow().config.document.service(service).is_some();
    if !known {
        return Answer::fault(404, format!("service: not known: {service:?}"));
    }
    let key = match ask.header("idempotency-key").map(checked) {
        Some(Err(wrong)) => return Answer::fault(400, wrong),
        Some(Ok(key)) => Some(key),
        None => None,
    };
    let left = match deadline(node, ask) {
        Ok(left) => left,
        Err(wrong) => return Answer::fault(400, wrong),
    };
    let nonce: u64 = node.state.borrow_mut().rng.random();
    let request = Request {
        id: format!("{}-{nonce:016x}", node.me.vm).into(),
        service: service.into(),
        caller: ask.header("x-caller").unwrap_or("anonymous").into(),
        body: ask.body.clone(),
        idempotent: ask.header("x-idempotent") == Some("1"),
        urgent: ask.header("x-priority") == Some("high"),
        key: None,
        until: now().mono + left,
    };
    match key {
        Some(key) => keyed(node, request, key, left, ask.header("x-domain")).await,
        None => finish(&request.id, serve::serve(node, &request).await),
    }
}

fn checked(key: &str) -> Result<Name, String> {
    if key.is_empty() || key.len() > MAX_KEY {
        return Err(format!("idempotency-key: write 1 to {MAX_KEY} bytes"));
    }
    Ok(format!("request:{key}").into())
}

fn deadline(node: &Node, ask: &Ask) -> Result<Millis, String> {
    let most = node.settings.timing.deadline;
    let Some(text) = ask.header("x-timeout-ms") else { return Ok(most) };
    match text.parse::<Millis>() {
        Ok(ms) if ms > 0 => Ok(ms.min(most)),
        _ => Err(format!("x-timeout-ms: not a number of milliseconds above zero: {text:?}")),
    }
}

async fn keyed(
    node: &Rc<Node>,
    request: Request,
    key: Name,
    left: Millis,
    domain: Option<&str>,
) -> Answer {
    let enter = Enter {
        cell: keys::shard(node, &key, domain),
        key,
        service: request.service.clone(),
        body: request.body.clone(),
        left,
    };
    base::event!("keyed", request = request.id, key = enter.key, shard = enter.cell);
    match keys::enter(node, &enter).await {
        Some(EnterReply::Outcome(outcome)) => finish(&request.id, outcome),
        Some(EnterReply::Conflict) => {
            Answer::fault(409, "idempotency-key: in use for another request")
        }
        Some(EnterReply::Pending) => no_answer(504, "pending", &request.id, "repeat with this key"),
        Some(EnterReply::NotPrimary) | None => {
            no_answer(503, "not_run", &request.id, "the home of the key cannot be reached")
        }
    }
}

fn finish(id: &str, outcome: Outcome) -> Answer {
    match outcome {
        Outcome::Answer { status, body } => Answer::new(status, "application/json", body)
            .with("x-outcome", "answer")
            .with("x-request-id", id),
        Outcome::NotRun => no_answer(503, "not_run", id, "no backend server has seen it"),
        Outcome::Unknown => {
            no_answer(504, "unknown", id, "it was sent once, no whole answer came; not repeated")
        }
    }
}

fn no_answer(status: u16, outcome: &str, request: &str, reason: &str) -> Answer {
    json(status, &NoAnswer { outcome, request, reason })
        .with("x-outcome", outcome)
        .with("x-request-id", request)
}
