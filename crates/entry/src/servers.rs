//! Calls to the backend servers of own cells: listings, renewals, starts and
//! stops of tasks.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use async_std::task::{JoinHandle, sleep, spawn_local};
use base::{Millis, Name, Now, event, now};
use cell::{Cell, Op, Role, ServerState, Settled, answered, settle, stopped};
use plat::{
    Acknowledge, Listing, RefuseReason, Renew, RunState, Start, StartAnswer, Stop, TaskReport,
};

use crate::node::{Node, State};

/// Timeout of a control call to a backend server.
pub(crate) const CONTROL_TIMEOUT: Duration = Duration::from_millis(800);
/// Period in ms at which the tasks of a server are listed while it has any.
const LIST_PERIOD: Millis = 500;
/// Period in ms at which a server without tasks is listed.
const IDLE_LIST_PERIOD: Millis = 1000;
/// Period of the loop that starts listings and renewals.
const LOOP_PERIOD: Duration = Duration::from_millis(100);
/// Number of early failures since the last success after which a server is
/// quarantined.
const FAILURE_THRESHOLD: u32 = 3;
/// Duration of the first quarantine in ms. It doubles with each further failure, up
/// to 16 times this value.
const FIRST_QUARANTINE: Millis = 10_000;
/// Run time in ms below which a failure counts against the server.
const EARLY_FAILURE: Millis = 5000;

/// Progress of the periodic calls to one server.
#[derive(Debug, Default, Clone, Copy)]
struct Poll {
    /// Start of the latest listing, on the monotonic clock.
    listed: Millis,
    /// Time of the latest renewal, on the monotonic clock.
    renewed: Millis,
    /// A listing is in flight.
    busy: bool,
}

/// Spawns the loop that lists the tasks on the servers of own cells and renews
/// their leases.
pub(crate) fn spawn(node: &Rc<Node>) -> JoinHandle<()> {
    let node = Rc::clone(node);
    spawn_local(async move {
        let polls: Rc<std::cell::RefCell<BTreeMap<Name, Poll>>> = Rc::default();
        loop {
            for (cell, backend) in due_listings(&node, &mut polls.borrow_mut()) {
                let (node, polls) = (Rc::clone(&node), Rc::clone(&polls));
                spawn_local(async move {
                    list_server(&node, &cell, &backend).await;
                    if let Some(poll) = polls.borrow_mut().get_mut(&backend) {
                        poll.busy = false;
                    }
                });
            }
            for (cell, backend) in due_renewals(&node, &mut polls.borrow_mut()) {
                renew(&node, &cell, &backend);
            }
            sleep(LOOP_PERIOD).await;
        }
    })
}

/// Returns the cells of which this process is the primary.
fn owned_cells(state: &State) -> impl Iterator<Item = &Cell> {
    state.cells.values().filter(|cell| cell.role == Role::Primary)
}

/// Returns the cell and identifier of each server whose listing is due.
fn due_listings(node: &Node, polls: &mut BTreeMap<Name, Poll>) -> Vec<(Name, Name)> {
    let state = node.state.borrow();
    let time = now().mono;
    let mut due = Vec::new();
    for cell in owned_cells(&state).filter(|cell| time >= cell.settled()) {
        let committed = cell.table.commitments();
        for server in cell.servers.values().filter(|s| s.state != ServerState::Gone) {
            let poll = polls.entry(server.id.clone()).or_default();
            let idle = !committed.contains_key(&server.id) && server.listed.is_some();
            let period = if idle { IDLE_LIST_PERIOD } else { LIST_PERIOD };
            if !poll.busy && time >= poll.listed + period {
                poll.listed = time;
                poll.busy = true;
                due.push((cell.id.clone(), server.id.clone()));
            }
        }
    }
    due
}

/// Lists the tasks on a server and reconciles its cell with them.
async fn list_server(node: &Rc<Node>, id: &Name, backend: &Name) {
    let asked = now();
    let Some(http) = address(node, id, backend) else { return };
    let Ok(listing) = node.backend(http, CONTROL_TIMEOUT).list().await else {
        metrics::counter!("list_failures").increment(1);
        return;
    };
    let settled = {
        let mut state = node.state.borrow_mut();
        update_estimates(&mut state, id, backend, &listing, now());
        let Some(cell) = state.cells.get_mut(id) else { return };
        let settled = settle(cell, backend, &listing, asked, now());
        state.dirty.insert(id.clone());
        settled
    };
    apply_settled(node, id, backend, settled).await;
    node.start_replication();
}

/// Stops and acknowledges tasks as the reconciliation requires.
async fn apply_settled(node: &Rc<Node>, id: &Name, backend: &Name, settled: Settled) {
    let Some(http) = address(node, id, backend) else { return };
    for (task, attempt) in settled.stops {
        stop(node, id, backend, Stop { task, attempt, checkpoint: true });
    }
    if !settled.forget.is_empty() {
        let done = Acknowledge { tasks: settled.forget };
        let _ = node.backend(http, CONTROL_TIMEOUT).acknowledge(&done).await;
    }
}

fn address(node: &Node, id: &Name, backend: &Name) -> Option<std::net::SocketAddr> {
    let state = node.state.borrow();
    Some(state.cells.get(id)?.servers.get(backend)?.http)
}

/// Updates the estimates of run times and interference, and counts failures.
fn update_estimates(state: &mut State, id: &Name, backend: &Name, listing: &Listing, time: Now) {
    let Some(cell) = state.cells.get_mut(id) else { return };
    for report in &listing.tasks {
        let Some(task) = cell.table.tasks.get(&report.task) else { continue };
        let current = task.attempt == report.attempt && task.backend() == Some(backend);
        if current {
            let ran = time.unix.saturating_sub(task.since);
            record_end(&mut state.estimates, cell, backend, report, ran, time);
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
        state.estimates.record_service_time(service, &kinds);
    }
}

/// Records the end of a run.
fn record_end(
    estimates: &mut sched::Estimates,
    cell: &mut Cell,
    backend: &Name,
    report: &TaskReport,
    ran: Millis,
    time: Now,
) {
    let Some(server) = cell.servers.get_mut(backend) else { return };
    match report.state {
        RunState::Finished => {
            estimates.record_runtime(&report.kind, ran);
            server.failures = 0;
        }
        RunState::Failed if ran < EARLY_FAILURE => {
            server.failures += 1;
            if server.failures >= FAILURE_THRESHOLD {
                let doublings = (server.failures - FAILURE_THRESHOLD).min(4);
                server.shunned = time.mono + (FIRST_QUARANTINE << doublings);
                event!("server_quarantined", backend = backend, failures = server.failures);
            }
        }
        _ => {}
    }
}

/// Sends starts to a server and applies the replies.
pub(crate) fn start(node: &Rc<Node>, id: &Name, backend: Name, starts: Vec<Start>) {
    let Some(http) = address(node, id, &backend) else { return };
    let (node, id) = (Rc::clone(node), id.clone());
    spawn_local(async move {
        metrics::counter!("starts").increment(starts.len() as u64);
        let replies = node.backend(http, CONTROL_TIMEOUT).start(&starts).await;
        let time = now();
        {
            let mut state = node.state.borrow_mut();
            let Some(cell) = state.cells.get_mut(&id) else { return };
            for (i, start) in starts.iter().enumerate() {
                let reply = replies.as_ref().map(|a| a.get(i).copied());
                if let Some(op) = start_outcome(cell, start, reply) {
                    cell.commit(op, time);
                }
            }
            state.dirty.insert(id.clone());
        }
        node.start_replication();
    });
}

/// Returns the change that follows from the reply to a start. A lost reply proves
/// nothing: the next listing shows whether the task started.
fn start_outcome(
    cell: &Cell,
    start: &Start,
    reply: Result<Option<StartAnswer>, &http::Error>,
) -> Option<Op> {
    let (task, attempt) = (&start.task, start.attempt);
    match reply {
        Ok(Some(reply)) => {
            if let StartAnswer::Refused(reason) = reply {
                let reason = format!("{reason:?}");
                event!("start_refused", task = task, attempt = attempt, reason = reason);
            }
            answered(cell, start, reply)
        }
        Ok(None) => None,
        // The start was not sent, so the server cannot run it.
        Err(e) if e.is_unsent() => answered(cell, start, StartAnswer::Refused(RefuseReason::Late)),
        Err(e) => {
            event!("start_in_doubt", task = task, attempt = attempt, error = e);
            None
        }
    }
}

/// Stops a task, after a checkpoint if requested, and applies the reply.
pub(crate) fn stop(node: &Rc<Node>, id: &Name, backend: &Name, stop: Stop) {
    let Some(http) = address(node, id, backend) else { return };
    let (node, id, backend) = (Rc::clone(node), id.clone(), backend.clone());
    spawn_local(async move {
        let Ok(reply) = node.backend(http, CONTROL_TIMEOUT).stop(&stop).await else { return };
        let time = now();
        {
            let mut state = node.state.borrow_mut();
            let Some(cell) = state.cells.get_mut(&id) else { return };
            if let Some(op) = stopped(cell, &backend, &stop, reply) {
                cell.commit(op, time);
            }
            state.dirty.insert(id.clone());
        }
        node.start_replication();
    });
}

/// Returns the cell and identifier of each server whose renewal is due.
fn due_renewals(node: &Node, polls: &mut BTreeMap<Name, Poll>) -> Vec<(Name, Name)> {
    let state = node.state.borrow();
    let time = now().mono;
    let period = node.settings.timing.task_lease / 3;
    let mut due = Vec::new();
    for cell in owned_cells(&state) {
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

/// Renews the leases of all tasks on a server in one message. Neither the lease of
/// the cell nor the log is needed, so that tasks survive an outage.
fn renew(node: &Rc<Node>, id: &Name, backend: &Name) {
    let Some(http) = address(node, id, backend) else { return };
    let lease = now().unix + node.settings.timing.task_lease;
    let tasks = {
        let state = node.state.borrow();
        let Some(cell) = state.cells.get(id) else { return };
        let here = cell.table.tasks.values().filter(|t| t.backend() == Some(backend));
        here.map(|t| (t.id.clone(), t.attempt)).collect()
    };
    let client = node.backend(http, CONTROL_TIMEOUT);
    spawn_local(async move {
        // The next listing shows tasks that are missing on the server.
        let _ = client.renew(&Renew { tasks, lease }).await;
    });
}
