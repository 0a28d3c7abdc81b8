//! Submission, cancellation and lookup of jobs.

use std::{rc::Rc, time::Duration};

use async_std::task::sleep;
use base::{Millis, Name, event, now};
use cell::{JOB_KEY, Job, Op, Outcome, Peer, Role};
use http::{Request, Response, json};
use rand::Rng;
use serde::{Deserialize, Serialize};
use wire::{
    Method,
    msg::{Enter, EnterReply, Lookup, LookupReply, Submit, SubmitReply},
};

use crate::{control, home::Home, keys, node::Node, report};

/// Time within which the record of a job is expected in the log, in ms.
const ACCEPT_TIMEOUT: Millis = 1500;
/// Timeout for the reply of a peer.
const REPLY_TIMEOUT: Duration = Duration::from_millis(2500);
/// Pause between two checks whether a job is accepted.
const POLL_PAUSE: Duration = Duration::from_millis(5);
/// Length of the journal above which new jobs are rejected.
const MAX_JOURNAL_LEN: usize = 20_000;
/// Maximum number of tasks of a job.
const MAX_TASKS: u32 = 10_000;
/// Maximum length of a job identifier in bytes.
const MAX_ID_BYTES: usize = 100;

/// Error for an identifier that is unknown to its shard.
const UNKNOWN: &str = "not known: never submitted, or longer ago than outcomes are kept";
/// Error for a job that is unknown to its cell.
const ENDED: &str =
    "not known to its cell: not accepted, or ended longer ago than outcomes are kept";

/// Body of `POST /v1/jobs`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct NewJob {
    /// Identifier that makes a repeated submission idempotent. Generated if absent.
    #[serde(default)]
    id: Option<Name>,
    team: Name,
    kind: Name,
    /// Number of tasks.
    #[serde(default = "one")]
    tasks: u32,
    #[serde(default)]
    command: Name,
}

fn one() -> u32 {
    1
}

/// Response to the submission or cancellation of a job.
#[derive(Debug, Serialize)]
struct JobResponse<'a> {
    id: &'a str,
    outcome: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
}

fn job_response(status: u16, id: &str, outcome: &str, reason: Option<String>) -> Response {
    event!("job", job = id, outcome = outcome, reason = reason.as_deref().unwrap_or(""));
    json(status, &JobResponse { id, outcome, reason })
}

/// `POST /v1/jobs`: submits a job.
pub(crate) async fn submit(node: &Rc<Node>, req: &Request) -> Response {
    let new: NewJob = match req.decode() {
        Ok(new) => new,
        Err(refusal) => return refusal,
    };
    let id = new.id.clone().unwrap_or_else(|| generate_id(node));
    let job = match build_job(node, &new, &id) {
        Ok(job) => job,
        Err(reason) => return Response::error(400, reason),
    };
    let Some(shard) = home_shard(node, &id, req.header("x-domain")) else {
        return job_response(
            503,
            &id,
            "not_accepted",
            Some("no configuration is known".to_owned()),
        );
    };
    let body = serde_json::to_vec(&new).unwrap_or_default();
    let enter = Enter {
        cell: shard,
        key: format!("{JOB_KEY}{id}").into(),
        service: format!("{JOB_KEY}{}", new.kind).into(),
        body,
        left: ACCEPT_TIMEOUT,
    };
    match keys::enter(node, &enter).await {
        None => {
            job_response(503, &id, "not_accepted", Some("its home cannot be reached".to_owned()))
        }
        Some(EnterReply::Conflict) => {
            job_response(409, &id, "refused", Some("the id is in use for another job".to_owned()))
        }
        Some(EnterReply::Outcome(Outcome::Answer { body, .. })) => {
            let Some(home) = Home::parse(&body) else {
                return Response::error(500, "the id's home cannot be read");
            };
            // The cell may have dropped a job of this age. Submitting it again
            // could run it twice.
            let remembered = node.settings.timing.retention / 2;
            if now().unix > home.at + remembered {
                return find(node, &id, req.header("x-domain")).await;
            }
            let submit = Submit { cell: home.cell, job: Some(job), id: id.clone() };
            submit_response(node, &submit).await
        }
        Some(_) => job_response(202, &id, "pending", None),
    }
}

async fn submit_response(node: &Rc<Node>, submit: &Submit) -> Response {
    match send_to_primary(node, submit).await {
        SubmitReply::Accepted => job_response(201, &submit.id, "accepted", None),
        SubmitReply::Refused(reason) => job_response(503, &submit.id, "not_accepted", Some(reason)),
        _ => job_response(202, &submit.id, "pending", None),
    }
}

fn generate_id(node: &Node) -> Name {
    let nonce: u64 = node.state.borrow_mut().rng.random();
    format!("{}-{nonce:016x}", node.me.vm).into()
}

fn home_shard(node: &Node, id: &str, domain: Option<&str>) -> Option<Name> {
    let known = node.state.borrow().config.version > 0;
    known.then(|| keys::shard(node, id, domain))
}

fn build_job(node: &Node, new: &NewJob, id: &Name) -> Result<Job, String> {
    let state = node.state.borrow();
    let document = &state.config.document;
    let is_valid = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if id.is_empty() || id.len() > MAX_ID_BYTES || !id.chars().all(is_valid) {
        return Err(format!("id: write up to {MAX_ID_BYTES} letters, digits, '-', '_' and '.'"));
    }
    let kind = document.kind(&new.kind).ok_or(format!("kind: not known: {:?}", new.kind))?;
    document.team(&new.team).ok_or(format!("team: not known: {:?}", new.team))?;
    if new.tasks == 0 || new.tasks > MAX_TASKS {
        return Err(format!("tasks: write a number from 1 to {MAX_TASKS}"));
    }
    Ok(Job {
        id: id.clone(),
        team: new.team.clone(),
        kind: new.kind.clone(),
        class: kind.class,
        size: kind.size,
        work: kind.work_ms,
        tasks: new.tasks,
        attempts: kind.attempts,
        submitted: now().unix,
        command: new.command.clone(),
    })
}

/// Sends a submission or cancellation to the primary of a cell, repeatedly until
/// it replies or the time is up. Submissions are idempotent by job identifier.
async fn send_to_primary(node: &Rc<Node>, submit: &Submit) -> SubmitReply {
    let until = now().mono + ACCEPT_TIMEOUT * 2;
    while now().mono < until {
        let primary = primary(node, &submit.cell);
        let reply = match primary {
            Some(peer) if peer == node.me => Some(handle_submit(node, submit.clone()).await),
            Some(peer) => match node.link(&peer.vm) {
                Some(link) => link.call(Method::Submit, submit, REPLY_TIMEOUT).await.ok(),
                None => None,
            },
            None => None,
        };
        match reply {
            None | Some(SubmitReply::NotPrimary) => sleep(POLL_PAUSE * 20).await,
            Some(reply) => return reply,
        }
    }
    SubmitReply::Pending
}

fn primary(node: &Node, cell: &str) -> Option<Peer> {
    node.state.borrow().registry.get(cell).map(|r| r.primary.clone())
}

/// Handles a submission or cancellation as the primary of the job's cell.
pub(crate) async fn handle_submit(node: &Rc<Node>, submit: Submit) -> SubmitReply {
    {
        let mut state = node.state.borrow_mut();
        let time = now();
        let full = state.journal.len() > MAX_JOURNAL_LEN;
        let Some(cell) = state.cells.get_mut(&submit.cell) else { return SubmitReply::NotPrimary };
        if cell.role != Role::Primary || !cell.is_ready() || !cell.authority(time.mono) {
            return SubmitReply::NotPrimary;
        }
        let known = cell.table.jobs.contains_key(&submit.id);
        match submit.job {
            None if !known => return SubmitReply::Unknown,
            None => {
                cell.commit(Op::Cancel(submit.id.clone()), time);
            }
            Some(_) if !known && full => {
                return SubmitReply::Refused("too much waits for the log".to_owned());
            }
            Some(job) => {
                cell.commit(Op::Submit(job), time);
            }
        }
    }
    control::replicate(node);
    wait_accepted(node, &submit.cell, &submit.id).await
}

/// Waits until the record of a job is in the log.
async fn wait_accepted(node: &Rc<Node>, cell: &Name, id: &Name) -> SubmitReply {
    let until = now().mono + ACCEPT_TIMEOUT;
    while now().mono < until {
        match is_accepted(node, cell, id) {
            None => return SubmitReply::NotPrimary,
            Some(true) => return SubmitReply::Accepted,
            Some(false) => sleep(POLL_PAUSE).await,
        }
    }
    SubmitReply::Pending
}

/// Returns whether a job is accepted, or `None` if it is unknown here.
fn is_accepted(node: &Node, cell: &Name, id: &Name) -> Option<bool> {
    let state = node.state.borrow();
    let (_, accepted) = state.cells.get(cell)?.table.jobs.get(id)?;
    Some(*accepted)
}

/// Looks up the cell of a job in the shard of its identifier. Returns `None`
/// without a configuration.
async fn cell_of(node: &Rc<Node>, id: &str, domain: Option<&str>) -> Option<LookupReply> {
    let shard = home_shard(node, id, domain)?;
    let key = Name::from(format!("{JOB_KEY}{id}"));
    let reply = lookup_at_primary(node, &Lookup { cell: shard, id: key }).await;
    Some(match reply {
        LookupReply::Found(text) => match Home::parse(text.as_bytes()) {
            Some(home) => LookupReply::Found(home.cell.to_string()),
            None => LookupReply::Unknown,
        },
        other => other,
    })
}

async fn lookup_at_primary(node: &Rc<Node>, lookup: &Lookup) -> LookupReply {
    match primary(node, &lookup.cell) {
        Some(peer) if peer == node.me => handle_lookup(node, lookup),
        Some(peer) => match node.link(&peer.vm) {
            Some(link) => {
                let reply = link.call(Method::Lookup, lookup, REPLY_TIMEOUT).await;
                reply.unwrap_or(LookupReply::NotPrimary)
            }
            None => LookupReply::NotPrimary,
        },
        None => LookupReply::NotPrimary,
    }
}

/// `GET /v1/jobs/ID` and `GET /v1/explain/TASK`: describes a job or a task.
pub(crate) async fn find(node: &Rc<Node>, id: &str, domain: Option<&str>) -> Response {
    let job = id.split('#').next().unwrap_or(id);
    let cell = match cell_of(node, job, domain).await {
        Some(LookupReply::Found(cell)) => cell.into(),
        Some(LookupReply::Unknown) => return Response::error(404, UNKNOWN),
        _ => return Response::error(503, "its home cannot be reached; ask again"),
    };
    match lookup_at_primary(node, &Lookup { cell, id: id.into() }).await {
        LookupReply::Found(text) => Response::new(200, "application/json", text),
        LookupReply::Unknown => Response::error(410, ENDED),
        LookupReply::NotPrimary => Response::error(503, "its cell has no primary now; ask again"),
    }
}

/// `POST /v1/jobs/ID/cancel`: cancels a job.
pub(crate) async fn cancel(node: &Rc<Node>, id: &str, domain: Option<&str>) -> Response {
    let cell = match cell_of(node, id, domain).await {
        Some(LookupReply::Found(cell)) => cell.into(),
        Some(LookupReply::Unknown) => return Response::error(404, UNKNOWN),
        _ => return Response::error(503, "its home cannot be reached; ask again"),
    };
    let submit = Submit { cell, job: None, id: id.into() };
    match send_to_primary(node, &submit).await {
        SubmitReply::Unknown => Response::error(410, ENDED),
        SubmitReply::Accepted => job_response(200, id, "cancelled", None),
        _ => job_response(202, id, "pending", None),
    }
}

/// Handles a lookup as the primary of a cell or shard.
pub(crate) fn handle_lookup(node: &Node, lookup: &Lookup) -> LookupReply {
    let state = node.state.borrow();
    let Some(cell) = state.cells.get(&lookup.cell) else { return LookupReply::NotPrimary };
    if cell.role != Role::Primary || !cell.is_ready() {
        return LookupReply::NotPrimary;
    }
    if let Some(entry) = cell.table.keys.get(&lookup.id) {
        return match &entry.outcome {
            Some(Outcome::Answer { body, .. }) => {
                LookupReply::Found(String::from_utf8_lossy(body).into_owned())
            }
            _ => LookupReply::Unknown,
        };
    }
    match report::describe(&state, cell, &lookup.id) {
        Some(text) => LookupReply::Found(text),
        None => LookupReply::Unknown,
    }
}
