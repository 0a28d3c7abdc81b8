use std::{collections::BTreeMap, rc::Rc, time::Duration};

use async_std::task::{JoinHandle, sleep, spawn_local};
use base::{Millis, Name, Now, event, now};
use cell::{Cell, Op, Role, ServerState, Settled, answered, settle, stopped};
use plat::{
    Acknowledge, Listing, RefuseReason, Renew, RunState, Start, StartAnswer, Stop, TaskReport,
};

use crate::node::{Node, State};

/// Time within which a backend server must answer a control call.
pub(crate) const CALL_LIMIT: Duration = Duration::from_millis(800);
/// Period at which a server with tasks is listed.
const LIST_PERIOD: Millis = 500;
/// Period at which a server without tasks is listed.
const QUIET_PERIOD: Millis = 1000;
/// Period of the loop itself.
const STEP: Duration = Duration::from_millis(100);
/// Failures in a row after which a server is set aside.
const FAILURES: u32 = 3;
/// First time for which it is set aside; it doubles up to 16 times.
const ASIDE: Millis = 10_000;
/// A task that fails within this time speaks against its server.
const SOON: Millis = 5000;

#[derive(Debug, Default, Clone, Copy)]
struct Poll {
    listed: Millis,
    renewed: Millis,
    busy: bool,
}

/// Lists the servers of the own cells and renews their tasks, for ever.
pub(crate) fn spawn(node: &Rc<Node>) -> JoinHandle<()> {
    let node = Rc::clone(node);
    spawn_local(async move {
        let polls: Rc<std::cell::RefCell<BTreeMap<Name, Poll>>> = Rc::default();
        loop {
            for (cell, backend) in due(&node, &mut polls.borrow_mut()) {
                let (node, polls) = (Rc::clone(&node), Rc::clone(&polls));
                spawn_local(async move {
                    list(&node, &cell, &backend).await;
                    if let Some(poll) = polls.borrow_mut().get_mut(&backend) {
                        poll.busy = false;
                    }
                });
            }
            for (cell, backend) in renewals(&node, &mut polls.borrow_mut()) {
                renew(&node, &cell, &backend);
            }
            sleep(STEP).await;
        }
    })
}

fn owned(state: &State) -> impl Iterator<Item = &Cell> {
    state.cells.values().filter(|cell| cell.role == Role::Primary)
}

fn due(node: &Node, polls: &mut BTreeMap<Name, Poll>) -> Vec<(Name, Name)> {
    let state = node.state.borrow();
    let time = now().mono;
    let mut due = Vec::new();
    for cell in owned(&state).filter(|cell| time >= cell.settled()) {
        let committed = cell.table.commitments();
        for server in cell.servers.values().filter(|s| s.state != ServerState::Gone) {
            let poll = polls.entry(server.id.clone()).or_default();
            let quiet = !committed.contains_key(&server.id) && server.listed.is_some();
            let period = if quiet { QUIET_PERIOD } else { LIST_PERIOD };
            if !poll.busy && time >= poll.listed + period {
                poll.listed = time;
                poll.busy = true;
                due.push((cell.id.clone(), server.id.clone()));
            }
        }
    }
    due
}

async fn list(node: &Rc<Node>, id: &Name, backend: &Name) {
    let asked = now();
    let Some(http) = address(node, id, backend) else { return };
    let Ok(listing) = node.backend(http, CALL_LIMIT).list().await else {
        metrics::counter!("list_failures").increment(1);
        return;
    };
    let settled = {
        let mut state = node.state.borrow_mut();
        learn(&mut state, id, backend, &listing, now());
        let Some(cell) = state.cells.get_mut(id) else { return };
        let settled = settle(cell, backend, &listing, asked, now());
        state.dirty.insert(id.clone());
        settled
    };
    carry_out(node, id, backend, settled).await;
    node.changed();
}

async fn carry_out(node: &Rc<Node>, id: &Name, backend: &Name, settled: Settled) {
    let Some(http) = address(node, id, backend) else { return };
    for (task, attempt) in settled.stops {
        stop(node, id, backend, Stop { task, attempt, checkpoint: true });
    }
    if !settled.forget.is_empty() {
        let done = Acknowledge { tasks: settled.forget };
        let _ = node.backend(http, CALL_LIMIT).acknowledge(&done).await;
    }
}

fn address(node: &Node, id: &Name, backend: &Name) -> Option<std::net::SocketAddr> {
    let state = node.state.borrow();
    Some(state.cells.get(id)?.servers.get(backend)?.http)
}

/// Learns run times, usage and interference, and counts failures.
fn learn(state: &mut State, id: &Name, backend: &Name, listing: &Listing, time: Now) {
    let Some(cell) = state.cells.get_mut(id) else { return };
    for report in &listing.tasks {
        let Some(task) = cell.table.tasks.get(&report.task) else { continue };
        let current = task.attempt == report.attempt && task.backend() == Some(backend);
        if current {
            let ran = time.unix.saturating_sub(task.since);
            outcome(&mut state.learn, cell, backend, report, ran, time);
        }
    }
    let seen = cell.servers.get(backend).map_or(0, |s| s.usage.asof);
    if listing.usage.asof <= seen {
        return;
    }
    let kind = |task: &Name| {
        let entry = cell.table.tasks.get(task)?;
        cell.table.job(entry).map(|job| job.kind.clone())
    };
    let kinds: Vec<Name> = listing.usage.tasks.iter().filter_map(|u| kind(&u.task)).collect();
    if let Some(service) = listing.usage.service {
        state.learn.service(service, &kinds);
    }
}

fn outcome(
    learn: &mut sched::Learn,
    cell: &mut Cell,
    backend: &Name,
    report: &TaskReport,
    ran: Millis,
    time: Now,
) {
    let Some(server) = cell.servers.get_mut(backend) else { return };
    match report.state {
        RunState::Finished => {
            learn.runtime(&report.kind, ran);
            server.failures = 0;
        }
        RunState::Failed if ran < SOON => {
            server.failures += 1;
            if server.failures >= FAILURES {
                let doublings = (server.failures - FAILURES).min(4);
                server.shunned = time.mono + (ASIDE << doublings);
                event!("shunned", backend = backend, failures = server.failures);
            }
        }
        _ => {}
    }
}

/// Sends starts to a server and takes in the answers.
pub(crate) fn start(node: &Rc<Node>, id: &Name, backend: Name, starts: Vec<Start>) {
    let Some(http) = address(node, id, &backend) else { return };
    let (node, id) = (Rc::clone(node), id.clone());
    spawn_local(async move {
        metrics::counter!("starts").increment(starts.len() as u64);
        let answers = node.backend(http, CALL_LIMIT).start(&starts).await;
        let time = now();
        {
            let mut state = node.state.borrow_mut();
            let Some(cell) = state.cells.get_mut(&id) else { return };
            for (i, start) in starts.iter().enumerate() {
                let answer = answers.as_ref().map(|a| a.get(i).copied());
                if let Some(op) = outcome_of(cell, start, answer) {
                    cell.commit(op, time);
                }
            }
            state.dirty.insert(id.clone());
        }
        node.changed();
    });
}

/// What became of a start; a lost answer proves nothing, and the next listing
/// settles it.
fn outcome_of(
    cell: &Cell,
    start: &Start,
    answer: Result<Option<StartAnswer>, &http::Error>,
) -> Option<Op> {
    let (task, attempt) = (&start.task, start.attempt);
    match answer {
        Ok(Some(answer)) => {
            if let StartAnswer::Refused(reason) = answer {
                let reason = format!("{reason:?}");
                event!("start_refused", task = task, attempt = attempt, reason = reason);
            }
            answered(cell, start, answer)
        }
        Ok(None) => None,
        // Nothing was sent: the server will never run it.
        Err(e) if e.unsent() => answered(cell, start, StartAnswer::Refused(RefuseReason::Late)),
        Err(e) => {
            event!("start_in_doubt", task = task, attempt = attempt, error = e);
            None
        }
    }
}

/// Sends a checkpoint and stop and takes in the answer.
pub(crate) fn stop(node: &Rc<Node>, id: &Name, backend: &Name, stop: Stop) {
    let Some(http) = address(node, id, backend) else { return };
    let (node, id, backend) = (Rc::clone(node), id.clone(), backend.clone());
    spawn_local(async move {
        let Ok(answer) = node.backend(http, CALL_LIMIT).stop(&stop).await else { return };
        let time = now();
        {
            let mut state = node.state.borrow_mut();
            let Some(cell) = state.cells.get_mut(&id) else { return };
            if let Some(op) = stopped(cell, &backend, &stop, answer) {
                cell.commit(op, time);
            }
            state.dirty.insert(id.clone());
        }
        node.changed();
    });
}

fn renewals(node: &Node, polls: &mut BTreeMap<Name, Poll>) -> Vec<(Name, Name)> {
    let state = node.state.borrow();
    let time = now().mono;
    let period = node.settings.timing.task_lease / 3;
    let mut due = Vec::new();
    for cell in owned(&state) {
        for backend in cell.table.commitments().into_keys() {
            let poll = polls.entry(backend.clone()).or_default();
            if time >= poll.renewed + period {
                poll.renewed = time;
                due.push((cell.id.clone(), backend));
            }
        }
    }
    due
}

/// Renews every task on a server in one message. It goes on without lease and
/// without log, so that running work outlives an outage.
fn renew(node: &Rc<Node>, id: &Name, backend: &Name) {
    let Some(http) = address(node, id, backend) else { return };
    let lease = now().unix + node.settings.timing.task_lease;
    let tasks = {
        let state = node.state.borrow();
        let Some(cell) = state.cells.get(id) else { return };
        let here = cell.table.tasks.values().filter(|t| t.backend() == Some(backend));
        here.map(|t| (t.id.clone(), t.attempt)).collect()
    };
    let client = node.backend(http, CALL_LIMIT);
    spawn_local(async move {
        // A task that is missing is noticed by the next listing.
        let _ = client.renew(&Renew { tasks, lease }).await;
    });
}
