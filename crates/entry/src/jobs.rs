use std::{rc::Rc, time::Duration};

use async_std::task::sleep;
use base::{Millis, Name, event, now};
use cell::{JOB_KEY, Job, Op, Outcome, Peer, Role};
use http::{Answer, Ask, json};
use rand::Rng;
use serde::{Deserialize, Serialize};
use wire::{
    Method,
    msg::{Enter, EnterReply, Lookup, LookupReply, Submit, SubmitReply},
};

use crate::{control, home::Home, keys, node::Node, report};

/// Time within which a job's record is expected to be on the log.
const ACCEPT_TIME: Millis = 1500;
/// Time within which a peer must answer.
const LIMIT: Duration = Duration::from_millis(2500);
/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(5);
/// Parts of the journal beyond which no job is taken in.
const MAX_JOURNAL: usize = 20_000;
/// Tasks of one job at most.
const MAX_TASKS: u32 = 10_000;
/// Length of an identifier at most, in bytes.
const MAX_ID: usize = 100;

/// Said of an identifier that its home does not have.
const UNKNOWN: &str = "not known: never submitted, or longer ago than outcomes are kept";
/// Said of a job that its cell does not have.
const ENDED: &str =
    "not known to its cell: not accepted, or ended longer ago than outcomes are kept";

/// Body of `POST /v1/jobs`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct NewJob {
    /// Identifier by which the caller may repeat the submission.
    #[serde(default)]
    id: Option<Name>,
    team: Name,
    kind: Name,
    #[serde(default = "one")]
    tasks: u32,
    #[serde(default)]
    command: Name,
}

fn one() -> u32 {
    1
}

/// Answer to `POST /v1/jobs`.
#[derive(Debug, Serialize)]
struct Taken<'a> {
    id: &'a str,
    outcome: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
}

fn taken(status: u16, id: &str, outcome: &str, reason: Option<String>) -> Answer {
    event!("job", job = id, outcome = outcome, reason = reason.as_deref().unwrap_or(""));
    json(status, &Taken { id, outcome, reason })
}

/// `POST /v1/jobs`.
pub(crate) async fn submit(node: &Rc<Node>, ask: &Ask) -> Answer {
    let new: NewJob = match ask.decode() {
        Ok(new) => new,
        Err(refusal) => return refusal,
    };
    let id = new.id.clone().unwrap_or_else(|| fresh(node));
    let job = match job(node, &new, &id) {
        Ok(job) => job,
        Err(reason) => return Answer::fault(400, reason),
    };
    let Some(shard) = home(node, &id, ask.header("x-domain")) else {
        return taken(503, &id, "not_accepted", Some("no configuration is known".to_owned()));
    };
    let body = serde_json::to_vec(&new).unwrap_or_default();
    let enter = Enter {
        cell: shard,
        key: format!("{JOB_KEY}{id}").into(),
        service: format!("{JOB_KEY}{}", new.kind).into(),
        body,
        left: ACCEPT_TIME,
    };
    match keys::enter(node, &enter).await {
        None => taken(503, &id, "not_accepted", Some("its home cannot be reached".to_owned())),
        Some(EnterReply::Conflict) => {
            taken(409, &id, "refused", Some("the id is in use for another job".to_owned()))
        }
        Some(EnterReply::Outcome(Outcome::Answer { body, .. })) => {
            let Some(home) = Home::parse(&body) else {
                return Answer::fault(500, "the id's home cannot be read");
            };
            // A job that its cell may have forgotten is not taken in anew.
            let kept = node.settings.timing.retention / 2;
            if now().unix > home.at + kept {
                return find(node, &id, ask.header("x-domain")).await;
            }
            let submit = Submit { cell: home.cell, job: Some(job), id: id.clone() };
            answer_submit(node, &submit).await
        }
        Some(_) => taken(202, &id, "pending", None),
    }
}

async fn answer_submit(node: &Rc<Node>, submit: &Submit) -> Answer {
    match to_cell(node, submit).await {
        SubmitReply::Accepted => taken(201, &submit.id, "accepted", None),
        SubmitReply::Refused(reason) => taken(503, &submit.id, "not_accepted", Some(reason)),
        _ => taken(202, &submit.id, "pending", None),
    }
}

fn fresh(node: &Node) -> Name {
    let nonce: u64 = node.state.borrow_mut().rng.random();
    format!("{}-{nonce:016x}", node.me.vm).into()
}

fn home(node: &Node, id: &str, domain: Option<&str>) -> Option<Name> {
    let known = node.state.borrow().config.version > 0;
    known.then(|| keys::shard(node, id, domain))
}

fn job(node: &Node, new: &NewJob, id: &Name) -> Result<Job, String> {
    let state = node.state.borrow();
    let document = &state.config.document;
    let fits = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if id.is_empty() || id.len() > MAX_ID || !id.chars().all(fits) {
        return Err(format!("id: write up to {MAX_ID} letters, digits, '-', '_' and '.'"));
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

/// Sends to the primary of a cell until it answers or the time is up. A
/// submission is idempotent by the job's identifier.
async fn to_cell(node: &Rc<Node>, submit: &Submit) -> SubmitReply {
    let until = now().mono + ACCEPT_TIME * 2;
    while now().mono < until {
        let primary = primary(node, &submit.cell);
        let reply = match primary {
            Some(peer) if peer == node.me => Some(answer(node, submit.clone()).await),
            Some(peer) => match node.link(&peer.vm) {
                Some(link) => link.call(Method::Submit, submit, LIMIT).await.ok(),
                None => None,
            },
            None => None,
        };
        match reply {
            None | Some(SubmitReply::NotPrimary) => sleep(PAUSE * 20).await,
            Some(reply) => return reply,
        }
    }
    SubmitReply::Pending
}

fn primary(node: &Node, cell: &str) -> Option<Peer> {
    node.state.borrow().registry.get(cell).map(|r| r.primary.clone())
}

/// Takes a job in as the primary of its cell, or cancels one.
pub(crate) async fn answer(node: &Rc<Node>, submit: Submit) -> SubmitReply {
    {
        let mut state = node.state.borrow_mut();
        let time = now();
        let full = state.journal.len() > MAX_JOURNAL;
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
    control::pump(node);
    accepted(node, &submit.cell, &submit.id).await
}

async fn accepted(node: &Rc<Node>, cell: &Name, id: &Name) -> SubmitReply {
    let until = now().mono + ACCEPT_TIME;
    while now().mono < until {
        match standing(node, cell, id) {
            None => return SubmitReply::NotPrimary,
            Some(true) => return SubmitReply::Accepted,
            Some(false) => sleep(PAUSE).await,
        }
    }
    SubmitReply::Pending
}

/// Whether a job that is known is accepted.
fn standing(node: &Node, cell: &Name, id: &Name) -> Option<bool> {
    let state = node.state.borrow();
    let (_, accepted) = state.cells.get(cell)?.table.jobs.get(id)?;
    Some(*accepted)
}

/// The cell of a job, from the home of its identifier.
async fn cell_of(node: &Rc<Node>, id: &str, domain: Option<&str>) -> Option<LookupReply> {
    let shard = home(node, id, domain)?;
    let key = Name::from(format!("{JOB_KEY}{id}"));
    let reply = lookup_at(node, &Lookup { cell: shard, id: key }).await;
    Some(match reply {
        LookupReply::Found(text) => match Home::parse(text.as_bytes()) {
            Some(home) => LookupReply::Found(home.cell.to_string()),
            None => LookupReply::Unknown,
        },
        other => other,
    })
}

async fn lookup_at(node: &Rc<Node>, lookup: &Lookup) -> LookupReply {
    match primary(node, &lookup.cell) {
        Some(peer) if peer == node.me => look_up(node, lookup),
        Some(peer) => match node.link(&peer.vm) {
            Some(link) => {
                let reply = link.call(Method::Lookup, lookup, LIMIT).await;
                reply.unwrap_or(LookupReply::NotPrimary)
            }
            None => LookupReply::NotPrimary,
        },
        None => LookupReply::NotPrimary,
    }
}

/// `GET /v1/jobs/ID` and `GET /v1/explain/TASK`.
pub(crate) async fn find(node: &Rc<Node>, id: &str, domain: Option<&str>) -> Answer {
    let job = id.split('#').next().unwrap_or(id);
    let cell = match cell_of(node, job, domain).await {
        Some(LookupReply::Found(cell)) => cell.into(),
        Some(LookupReply::Unknown) => return Answer::fault(404, UNKNOWN),
        _ => return Answer::fault(503, "its home cannot be reached; ask again"),
    };
    match lookup_at(node, &Lookup { cell, id: id.into() }).await {
        LookupReply::Found(text) => Answer::new(200, "application/json", text),
        LookupReply::Unknown => Answer::fault(410, ENDED),
        LookupReply::NotPrimary => Answer::fault(503, "its cell has no primary now; ask again"),
    }
}

/// `POST /v1/jobs/ID/cancel`.
pub(crate) async fn cancel(node: &Rc<Node>, id: &str, domain: Option<&str>) -> Answer {
    let cell = match cell_of(node, id, domain).await {
        Some(LookupReply::Found(cell)) => cell.into(),
        Some(LookupReply::Unknown) => return Answer::fault(404, UNKNOWN),
        _ => return Answer::fault(503, "its home cannot be reached; ask again"),
    };
    let submit = Submit { cell, job: None, id: id.into() };
    match to_cell(node, &submit).await {
        SubmitReply::Unknown => Answer::fault(410, ENDED),
        SubmitReply::Accepted => taken(200, id, "cancelled", None),
        _ => taken(202, id, "pending", None),
    }
}

/// Answers a lookup as the primary of a cell or shard.
pub(crate) fn look_up(node: &Node, lookup: &Lookup) -> LookupReply {
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
