//! The HTTP interface of an entry VM.

use std::rc::Rc;

use base::{Millis, Name, now};
use cell::Outcome;
use http::{Request, Response, json};
use http_types::Method;
use rand::Rng;
use serde::Serialize;
use wire::msg::{Enter, EnterReply};

use crate::{config, jobs, keys, node::Node, report, serve};

/// Maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 200;

/// Body of the response to a request without an answer of a backend server.
#[derive(Debug, Serialize)]
struct FailureBody<'a> {
    outcome: &'a str,
    request: &'a str,
    reason: &'a str,
}

/// Handles one HTTP request of a caller, an operator or the load balancer.
pub(crate) async fn handle(node: Rc<Node>, req: Request) -> Option<Response> {
    node.state.borrow_mut().inflight += 1;
    let response = route(&node, &req).await;
    node.state.borrow_mut().inflight -= 1;
    let shutting_down = node.state.borrow().shutting_down;
    Some(if shutting_down { response.with_header("connection", "close") } else { response })
}

async fn route(node: &Rc<Node>, req: &Request) -> Response {
    let parts: Vec<&str> = req.path.trim_matches('/').split('/').collect();
    let domain = req.header("x-domain");
    match (req.method, parts.as_slice()) {
        (Method::Get, ["healthz"]) => health(node),
        (Method::Get, ["metrics"]) => Response::new(200, "text/plain", node.metrics.render()),
        (Method::Post, ["v1", "serve", service]) => serve_request(node, service, req).await,
        (Method::Post, ["v1", "jobs"]) => jobs::submit(node, req).await,
        (Method::Get, ["v1", "jobs", id]) => jobs::find(node, &decode_id(id), domain).await,
        (Method::Get, ["v1", "explain", id]) => jobs::find(node, &decode_id(id), domain).await,
        (Method::Post, ["v1", "jobs", id, "cancel"]) => jobs::cancel(node, id, domain).await,
        (Method::Get, ["v1", "config"]) => json(200, &node.state.borrow().config),
        (Method::Post, ["v1", "config"]) => config::publish(node, req).await,
        (Method::Get, ["v1", "status"]) => json(200, &report::status(node)),
        (_, ["healthz" | "metrics", ..] | ["v1", ..]) => Response::error(405, "no such call"),
        _ => Response::error(404, "no such path"),
    }
}

/// Decodes the `%23` that stands for the `#` of a task identifier in a path.
fn decode_id(id: &str) -> String {
    id.replace("%23", "#")
}

/// Health check of the load balancer. Succeeds once the VM has a configuration
/// and slots, and fails while it shuts down.
fn health(node: &Node) -> Response {
    let state = node.state.borrow();
    if state.shutting_down {
        return Response::error(503, "shutting down");
    }
    if state.config.version == 0 || !state.router.targets.has_slots() {
        return Response::error(503, "not ready: no configuration or no slots yet");
    }
    Response::new(200, "text/plain", "ok\n")
}

/// `POST /v1/serve/SERVICE`.
async fn serve_request(node: &Rc<Node>, service: &str, req: &Request) -> Response {
    let known = node.state.borrow().config.document.service(service).is_some();
    if !known {
        return Response::error(404, format!("service: not known: {service:?}"));
    }
    let key = match req.header("idempotency-key").map(parse_key) {
        Some(Err(problem)) => return Response::error(400, problem),
        Some(Ok(key)) => Some(key),
        None => None,
    };
    let left = match parse_timeout(node, req) {
        Ok(left) => left,
        Err(problem) => return Response::error(400, problem),
    };
    let nonce: u64 = node.state.borrow_mut().rng.random();
    let request = serve::Request {
        id: format!("{}-{nonce:016x}", node.me.vm).into(),
        service: service.into(),
        caller: req.header("x-caller").unwrap_or("anonymous").into(),
        body: req.body.clone(),
        idempotent: req.header("x-idempotent") == Some("1"),
        urgent: req.header("x-priority") == Some("high"),
        key: None,
        until: now().mono + left,
    };
    match key {
        Some(key) => serve_keyed(node, request, key, left, req.header("x-domain")).await,
        None => outcome_response(&request.id, serve::serve(node, &request).await),
    }
}

/// Checks an idempotency key and prefixes it, so that it cannot collide with a
/// key of a job.
fn parse_key(key: &str) -> Result<Name, String> {
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(format!("idempotency-key: write 1 to {MAX_KEY_BYTES} bytes"));
    }
    Ok(format!("request:{key}").into())
}

/// Returns the time the caller grants, up to the configured deadline.
fn parse_timeout(node: &Node, req: &Request) -> Result<Millis, String> {
    let max = node.settings.timing.deadline;
    let Some(text) = req.header("x-timeout-ms") else { return Ok(max) };
    match text.parse::<Millis>() {
        Ok(ms) if ms > 0 => Ok(ms.min(max)),
        _ => Err(format!("x-timeout-ms: not a number of milliseconds above zero: {text:?}")),
    }
}

/// Serves a request with an idempotency key through the shard of the key.
async fn serve_keyed(
    node: &Rc<Node>,
    request: serve::Request,
    key: Name,
    left: Millis,
    domain: Option<&str>,
) -> Response {
    let enter = Enter {
        cell: keys::shard(node, &key, domain),
        key,
        service: request.service.clone(),
        body: request.body.clone(),
        left,
    };
    base::event!("keyed", request = request.id, key = enter.key, shard = enter.cell);
    match keys::enter(node, &enter).await {
        Some(EnterReply::Outcome(outcome)) => outcome_response(&request.id, outcome),
        Some(EnterReply::Conflict) => {
            Response::error(409, "idempotency-key: in use for another request")
        }
        Some(EnterReply::Pending) => failure(504, "pending", &request.id, "repeat with this key"),
        Some(EnterReply::NotPrimary) | None => {
            failure(503, "not_run", &request.id, "the home of the key cannot be reached")
        }
    }
}

fn outcome_response(id: &str, outcome: Outcome) -> Response {
    match outcome {
        Outcome::Answer { status, body } => Response::new(status, "application/json", body)
            .with_header("x-outcome", "answer")
            .with_header("x-request-id", id),
        Outcome::NotRun => failure(503, "not_run", id, "no backend server has seen it"),
        Outcome::Unknown => {
            failure(504, "unknown", id, "it was sent once, no whole answer came; not repeated")
        }
    }
}

fn failure(status: u16, outcome: &str, request: &str, reason: &str) -> Response {
    json(status, &FailureBody { outcome, request, reason })
        .with_header("x-outcome", outcome)
        .with_header("x-request-id", request)
}
