use std::collections::BTreeSet;

use base::{Name, Now, Size};
use plat::{Listing, RunState, Start, StartAnswer, Stop, StopAnswer, TaskReport};

use crate::{Cell, Op, Phase, Role, ServerState};

/// What a listing calls for at the backend server.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Settled {
    /// Attempts to stop: unknown ones, and those whose stop was not confirmed.
    pub stops: Vec<(Name, u32)>,
    /// Ended attempts whose outcome is on the log, to be forgotten.
    pub forget: Vec<(Name, u32)>,
}

/// Compares a server's listing, asked for at `asked`, with the table and
/// commits what follows from it.
pub fn settle(cell: &mut Cell, backend: &Name, listing: &Listing, asked: Now, now: Now) -> Settled {
    let mut settled = Settled::default();
    if !cell.servers.contains_key(backend) || asked.mono < cell.settled() {
        return settled;
    }
    if !cell.authority(now.mono) || !cell.is_ready() {
        return settled;
    }
    for op in missing(cell, backend, listing, asked) {
        cell.commit(op, now);
    }
    for report in &listing.tasks {
        take(cell, backend, report, now, &mut settled);
    }
    note(cell, backend, listing, asked, now);
    locate(cell, now);
    settled
}

/// Ends every attempt on servers that are gone. One on a server that is merely
/// silent is kept, also when its lease has run out: it may have finished.
pub fn reap(cell: &mut Cell, now: Now) {
    if !cell.authority(now.mono) || !cell.is_ready() {
        return;
    }
    let gone = |task: &&crate::Task| {
        let server = task.backend().and_then(|b| cell.servers.get(b));
        server.is_some_and(|s| s.state == ServerState::Gone)
    };
    let over = |t: &crate::Task| ended(&t.id, t.attempt, t.checkpoint, false);
    let ops: Vec<_> = cell.table.tasks.values().filter(gone).map(over).collect();
    for op in ops {
        cell.commit(op, now);
    }
    locate(cell, now);
}

/// What an answer to a start proves, once it was the only copy: it runs, or it
/// never will.
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

/// What an answer to a stop proves: the attempt does not run any more.
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

/// Attempts of the table that the server does not know.
fn missing(cell: &Cell, backend: &Name, listing: &Listing, asked: Now) -> Vec<Op> {
    let known: BTreeSet<(&Name, u32)> =
        listing.tasks.iter().map(|report| (&report.task, report.attempt)).collect();
    let here = cell.table.tasks.values().filter(|task| task.backend() == Some(backend));
    let mut ops = Vec::new();
    for task in here.filter(|task| !known.contains(&(&task.id, task.attempt))) {
        let over = match &task.phase {
            // A start on its way may still be received before its deadline.
            Phase::Assigned(_) => match cell.sent.get(&task.id) {
                Some(before) => asked.unix > before + cell.setup.skew,
                // Not sent by this process: only a predecessor can have.
                None => !cell.start_waits(&task.id),
            },
            _ => asked.unix > task.since,
        };
        if over {
            ops.push(ended(&task.id, task.attempt, task.checkpoint, false));
        }
    }
    ops
}

/// Takes in one reported attempt.
fn take(cell: &mut Cell, backend: &Name, report: &TaskReport, now: Now, settled: &mut Settled) {
    let id = (report.task.clone(), report.attempt);
    let Some(task) = cell.table.tasks.get(&report.task) else {
        return orphan(report, id, settled);
    };
    if task.phase == Phase::Unlocated {
        return found(cell, backend, report, now);
    }
    let current = task.attempt == report.attempt && task.backend() == Some(backend);
    if !current {
        if report.state == RunState::Running || !pending(cell, &id) {
            orphan(report, id, settled);
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

/// An attempt that the table does not have at this server.
fn orphan(report: &TaskReport, id: (Name, u32), settled: &mut Settled) {
    match report.state {
        RunState::Running => settled.stops.push(id),
        _ => settled.forget.push(id),
    }
}

/// An attempt of a task whose whereabouts were lost.
fn found(cell: &mut Cell, backend: &Name, report: &TaskReport, now: Now) {
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

/// Once every server has been listed or is out, a task that was found on none
/// runs nowhere.
fn locate(cell: &mut Cell, now: Now) {
    let lost = |task: &&crate::Task| task.phase == Phase::Unlocated;
    if !cell.table.tasks.values().any(|task| lost(&task)) {
        return;
    }
    let open =
        |server: &crate::Server| server.listed.is_none() && server.state != ServerState::Gone;
    if cell.servers.is_empty() || cell.servers.values().any(open) {
        return;
    }
    let over = |t: &crate::Task| ended(&t.id, t.attempt, t.checkpoint, false);
    let ops: Vec<_> = cell.table.tasks.values().filter(lost).map(over).collect();
    for op in ops {
        cell.commit(op, now);
    }
}

fn pending(cell: &Cell, id: &(Name, u32)) -> bool {
    cell.unlogged().any(|op| match op {
        Op::Ended { task, attempt, .. } | Op::Done { task, attempt, .. } => {
            *task == id.0 && *attempt == id.1
        }
        _ => false,
    })
}

fn note(cell: &mut Cell, backend: &Name, listing: &Listing, asked: Now, now: Now) {
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
    server.listed = Some(asked.mono);
    server.heard = now.mono;
    server.says_leaving = listing.leaving;
    if listing.usage.asof > 0 {
        server.usage = listing.usage.clone();
    }
}

fn ended(task: &Name, attempt: u32, checkpoint: u64, evicted: bool) -> Op {
    Op::Ended { task: task.clone(), attempt, checkpoint, evicted }
}
