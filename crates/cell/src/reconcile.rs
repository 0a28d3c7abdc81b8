use std::collections::BTreeSet;

use base::{Name, Now, Size};
use plat::{Listing, RunState, Start, StartAnswer, Stop, StopAnswer, TaskReport};

use crate::{Cell, Op, Phase, Role, ServerState};

/// Requests to send to a backend server after its listing was processed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Settled {
    /// Attempts to stop: those that the table does not place there, and those
    /// whose stop is not yet confirmed.
    pub stops: Vec<(Name, u32)>,
    /// Ended attempts whose outcome is on the log, which the server may forget.
    pub forget: Vec<(Name, u32)>,
}

/// Compares a server's listing, requested at `requested`, with the table and
/// commits the resulting changes.
pub fn settle(
    cell: &mut Cell,
    backend: &Name,
    listing: &Listing,
    requested: Now,
    now: Now,
) -> Settled {
    let mut settled = Settled::default();
    if !cell.servers.contains_key(backend) || requested.mono < cell.settled() {
        return settled;
    }
    if !cell.authority(now.mono) || !cell.is_ready() {
        return settled;
    }
    for op in missing_attempts(cell, backend, listing, requested) {
        cell.commit(op, now);
    }
    for report in &listing.tasks {
        apply_report(cell, backend, report, now, &mut settled);
    }
    update_server(cell, backend, listing, requested, now);
    end_unlocated(cell, now);
    settled
}

/// Ends every attempt on servers that are gone. An attempt on a silent server is
/// kept, even after its lease has expired, because it may have finished.
pub fn reap(cell: &mut Cell, now: Now) {
    if !cell.authority(now.mono) || !cell.is_ready() {
        return;
    }
    let gone = |task: &&crate::Task| {
        let server = task.backend().and_then(|b| cell.servers.get(b));
        server.is_some_and(|s| s.state == ServerState::Gone)
    };
    let end_op = |t: &crate::Task| ended(&t.id, t.attempt, t.checkpoint, false);
    let ops: Vec<_> = cell.table.tasks.values().filter(gone).map(end_op).collect();
    for op in ops {
        cell.commit(op, now);
    }
    end_unlocated(cell, now);
}

/// Returns the change that the reply to a start proves: the attempt runs, or it
/// never will. The start must have been sent only once.
pub fn answered(cell: &Cell, start: &Start, answer: StartAnswer) -> Option<Op> {
    let task = cell.table.tasks.get(&start.task)?;
    let open = matches!(task.phase, Phase::Assigned(_)) && task.attempt == start.attempt;
    if !open || cell.role != Role::Primary {
        return None;
    }
    let (task, attempt) = (start.task.clone(), start.attempt);
    Some(match answer {
        StartAnswer::Started => Op::Started { task, attempt },
        StartAnswer::Refused(_) => ended(&task, attempt, start.checkpoint, false),
    })
}

/// Returns the change that the reply to a stop proves: the attempt no longer
/// runs.
pub fn stopped(cell: &Cell, backend: &Name, stop: &Stop, answer: StopAnswer) -> Option<Op> {
    let task = cell.table.tasks.get(&stop.task)?;
    let open = task.phase == Phase::Stopping(backend.clone()) && task.attempt == stop.attempt;
    if !open || cell.role != Role::Primary {
        return None;
    }
    let (id, attempt) = (stop.task.clone(), stop.attempt);
    Some(match answer {
        StopAnswer::Stopped { checkpoint } => ended(&id, attempt, checkpoint, true),
        StopAnswer::Finished => Op::Done { task: id, attempt, ok: true },
        StopAnswer::Failed => Op::Done { task: id, attempt, ok: false },
        StopAnswer::Unknown => ended(&id, attempt, task.checkpoint, false),
    })
}

/// Returns changes that end the attempts missing from the server's listing.
fn missing_attempts(cell: &Cell, backend: &Name, listing: &Listing, requested: Now) -> Vec<Op> {
    let known: BTreeSet<(&Name, u32)> =
        listing.tasks.iter().map(|report| (&report.task, report.attempt)).collect();
    let here = cell.table.tasks.values().filter(|task| task.backend() == Some(backend));
    let mut ops = Vec::new();
    for task in here.filter(|task| !known.contains(&(&task.id, task.attempt))) {
        let not_running = match &task.phase {
            // A start in flight may still be received before its deadline.
            Phase::Assigned(_) => match cell.sent.get(&task.id) {
                Some(before) => requested.unix > before + cell.setup.skew,
                // Only a predecessor can have sent it, unless the start is still queued.
                None => !cell.start_waits(&task.id),
            },
            _ => requested.unix > task.since,
        };
        if not_running {
            ops.push(ended(&task.id, task.attempt, task.checkpoint, false));
        }
    }
    ops
}

/// Applies the report of one attempt.
fn apply_report(
    cell: &mut Cell,
    backend: &Name,
    report: &TaskReport,
    now: Now,
    settled: &mut Settled,
) {
    let id = (report.task.clone(), report.attempt);
    let Some(task) = cell.table.tasks.get(&report.task) else {
        return reject_report(report, id, settled);
    };
    if task.phase == Phase::Unlocated {
        return apply_unlocated(cell, backend, report, now);
    }
    let current = task.attempt == report.attempt && task.backend() == Some(backend);
    if !current {
        if report.state == RunState::Running || !outcome_unlogged(cell, &id) {
            reject_report(report, id, settled);
        }
        return;
    }
    let phase = task.phase.clone();
    let evicted = matches!(phase, Phase::Stopping(_));
    let (task, attempt) = id.clone();
    match (report.state, phase) {
        (RunState::Running, Phase::Assigned(_)) => {
            cell.commit(Op::Started { task, attempt }, now);
        }
        (RunState::Running, Phase::Stopping(_)) => settled.stops.push(id),
        (RunState::Running, _) => {}
        (RunState::Finished, _) => {
            cell.commit(Op::Done { task, attempt, ok: true }, now);
        }
        (RunState::Failed, _) => {
            cell.commit(Op::Done { task, attempt, ok: false }, now);
        }
        (RunState::Stopped, _) => {
            cell.commit(ended(&task, attempt, report.checkpoint, evicted), now);
        }
    }
}

/// Stops an attempt that the table does not place on this server, or lets the
/// server forget it if it has ended.
fn reject_report(report: &TaskReport, id: (Name, u32), settled: &mut Settled) {
    match report.state {
        RunState::Running => settled.stops.push(id),
        _ => settled.forget.push(id),
    }
}

/// Applies the report of an attempt whose task is [`Phase::Unlocated`].
fn apply_unlocated(cell: &mut Cell, backend: &Name, report: &TaskReport, now: Now) {
    let (task, attempt) = (report.task.clone(), report.attempt);
    let op = match report.state {
        RunState::Running => Op::Adopt { task, attempt, backend: backend.clone() },
        RunState::Finished => {
            let attempt = cell.table.tasks.get(&task).map_or(attempt, |t| t.attempt.max(attempt));
            Op::Done { task, attempt, ok: true }
        }
        RunState::Stopped => Op::Checkpoint { task, checkpoint: report.checkpoint },
        RunState::Failed => return,
    };
    cell.commit(op, now);
}

/// Ends unlocated tasks once every server has been listed or is gone: a task found
/// on none of them does not run.
fn end_unlocated(cell: &mut Cell, now: Now) {
    let unlocated = |task: &&crate::Task| task.phase == Phase::Unlocated;
    if !cell.table.tasks.values().any(|task| unlocated(&task)) {
        return;
    }
    let open =
        |server: &crate::Server| server.listed.is_none() && server.state != ServerState::Gone;
    if cell.servers.is_empty() || cell.servers.values().any(open) {
        return;
    }
    let end_op = |t: &crate::Task| ended(&t.id, t.attempt, t.checkpoint, false);
    let ops: Vec<_> = cell.table.tasks.values().filter(unlocated).map(end_op).collect();
    for op in ops {
        cell.commit(op, now);
    }
}

/// Returns whether the outcome of an attempt is not yet on the log.
fn outcome_unlogged(cell: &Cell, id: &(Name, u32)) -> bool {
    cell.unlogged().any(|op| match op {
        Op::Ended { task, attempt, .. } | Op::Done { task, attempt, .. } => {
            *task == id.0 && *attempt == id.1
        }
        _ => false,
    })
}

/// Updates the primary's view of a server from its listing.
fn update_server(cell: &mut Cell, backend: &Name, listing: &Listing, requested: Now, now: Now) {
    let mut foreign = Size::ZERO;
    for report in listing.tasks.iter().filter(|r| r.state == RunState::Running) {
        let task = cell.table.tasks.get(&report.task);
        let known = task.is_some_and(|t| t.backend() == Some(backend));
        if !known {
            foreign = foreign.plus(report.size);
        }
    }
    let Some(server) = cell.servers.get_mut(backend) else { return };
    server.foreign = foreign;
    server.listed = Some(requested.mono);
    server.heard = now.mono;
    server.says_leaving = listing.leaving;
    if listing.usage.asof > 0 {
        server.usage = listing.usage.clone();
    }
}

fn ended(task: &Name, attempt: u32, checkpoint: u64, evicted: bool) -> Op {
    Op::Ended { task: task.clone(), attempt, checkpoint, evicted }
}
