//! Reports on the process, its jobs and its tasks.

use std::collections::BTreeMap;

use base::{Millis, Name, Now, Size, now};
use cell::{Cell, Phase, Role, ServerState};
use plat::Kind;
use serde::Serialize;

use crate::node::{DecisionRecord, Node, State};

/// Maximum number of decisions in the status report.
const MAX_DECISIONS: usize = 50;

/// Response to `GET /v1/status`.
#[derive(Debug, Serialize)]
pub(crate) struct Status {
    vm: Name,
    incarnation: u64,
    domain: Name,
    region: Name,
    version: &'static str,
    uptime_ms: Millis,
    log_reachable: bool,
    list_asof: Millis,
    config_version: u64,
    config_since: Millis,
    journal_waiting: usize,
    shutting_down: bool,
    entries: Vec<EntryVm>,
    cells: Vec<CellReport>,
    targets: Vec<TargetReport>,
    decisions: Vec<DecisionReport>,
}

#[derive(Debug, Serialize)]
struct EntryVm {
    vm: Name,
    domain: Name,
    heard_ms_ago: Option<Millis>,
    config_version: Option<u64>,
}

#[derive(Debug, Serialize)]
struct CellReport {
    cell: Name,
    epoch: u64,
    primary: String,
    backup: String,
    role: &'static str,
    deciding: bool,
    tasks: BTreeMap<&'static str, u32>,
    servers: Vec<ServerReport>,
}

#[derive(Debug, Serialize)]
struct ServerReport {
    vm: Name,
    state: &'static str,
    size: Size,
    committed: Size,
    slots_held: u32,
}

#[derive(Debug, Serialize)]
struct TargetReport {
    backend: Name,
    slots: u32,
    inflight: u32,
    latency_ms: Option<f64>,
}

#[derive(Debug, Serialize)]
struct DecisionReport {
    at: Millis,
    cell: Name,
    what: &'static str,
    task: Name,
    candidates: usize,
    chosen: Name,
    why: String,
}

/// Reports the state of this process and its view of the other entry VMs.
pub(crate) fn status(node: &Node) -> Status {
    let state = node.state.borrow();
    let time = now();
    Status {
        vm: node.me.vm.clone(),
        incarnation: node.me.incarnation,
        domain: node.settings.domain.clone(),
        region: node.settings.region.clone(),
        version: env!("CARGO_PKG_VERSION"),
        uptime_ms: time.mono - state.started.mono,
        log_reachable: state.log_up(time),
        list_asof: state.members.asof(),
        config_version: state.config.version,
        config_since: state.config_applied_at,
        journal_waiting: state.journal.len(),
        shutting_down: state.shutting_down,
        entries: entries(&state, time.mono),
        cells: state.cells.values().map(|cell| cell_report(cell, time)).collect(),
        targets: targets(&state),
        decisions: state.decisions.iter().rev().take(MAX_DECISIONS).map(decision_report).collect(),
    }
}

fn entries(state: &State, time: Millis) -> Vec<EntryVm> {
    let entry = |vm: &plat::Vm| EntryVm {
        vm: vm.id.clone(),
        domain: vm.domain.clone(),
        heard_ms_ago: state.members.member(&vm.id).map(|m| time.saturating_sub(m.heard)),
        config_version: match vm.id == state.members.me.vm {
            true => Some(state.config.version),
            false => state.peer_versions.get(&vm.id).map(|(version, _)| *version),
        },
    };
    state.members.vms(Kind::Entry).map(entry).collect()
}

fn cell_report(cell: &Cell, time: Now) -> CellReport {
    let mut tasks = BTreeMap::new();
    for task in cell.table.tasks.values() {
        *tasks.entry(phase_name(&task.phase)).or_default() += 1;
    }
    let committed = cell.table.commitments();
    let server = |s: &cell::Server| ServerReport {
        vm: s.id.clone(),
        state: match s.state {
            ServerState::Live if s.leaving(time.unix) => "leaving",
            ServerState::Live => "live",
            ServerState::Leaving => "leaving",
            ServerState::Gone => "gone",
        },
        size: s.size,
        committed: committed.get(&s.id).copied().unwrap_or_default(),
        slots_held: cell.table.credits.used(&s.id),
    };
    let record = cell.record.as_ref();
    CellReport {
        cell: cell.id.clone(),
        epoch: cell.epoch(),
        primary: record.map_or_else(String::new, |r| r.primary.to_string()),
        backup: record
            .and_then(|r| r.backup.as_ref())
            .map_or_else(String::new, ToString::to_string),
        role: match cell.role {
            Role::Idle => "idle",
            Role::Backup => "backup",
            Role::Primary => "primary",
            Role::Resigned => "resigned",
        },
        deciding: cell.deciding(time.mono),
        tasks,
        servers: cell.servers.values().map(server).collect(),
    }
}

fn targets(state: &State) -> Vec<TargetReport> {
    let held = state.router.targets.by_id.iter().filter(|(_, t)| t.slots > 0);
    held.map(|(id, t)| TargetReport {
        backend: id.clone(),
        slots: t.slots,
        inflight: t.inflight,
        latency_ms: t.latency(),
    })
    .collect()
}

fn decision_report(decision: &DecisionRecord) -> DecisionReport {
    DecisionReport {
        at: decision.at,
        cell: decision.cell.clone(),
        what: decision.what,
        task: decision.task.clone(),
        candidates: decision.candidates,
        chosen: decision.chosen.clone(),
        why: decision.why.clone(),
    }
}

/// Returns the name of a phase.
pub(crate) fn phase_name(phase: &Phase) -> &'static str {
    match phase {
        Phase::Queued => "queued",
        Phase::Parked(_) => "parked",
        Phase::Assigned(_) => "starting",
        Phase::Running(_) => "running",
        Phase::Stopping(_) => "stopping",
        Phase::Unlocated => "being located",
        Phase::Finished => "finished",
        Phase::Failed => "failed",
        Phase::Cancelled => "cancelled",
    }
}

/// Response to `GET /v1/jobs/ID`.
#[derive(Debug, Serialize)]
struct JobReport<'a> {
    id: &'a str,
    cell: &'a str,
    outcome: &'a str,
    team: &'a str,
    kind: &'a str,
    tasks: u32,
    phases: BTreeMap<String, u32>,
}

/// Response to `GET /v1/explain/TASK`.
#[derive(Debug, Serialize)]
struct TaskReport<'a> {
    id: &'a str,
    cell: &'a str,
    phase: &'a str,
    backend: Option<&'a Name>,
    reason: String,
    attempt: u32,
    checkpoint_ms: Millis,
    failures: u32,
    evictions: u32,
    since: Millis,
    decisions: Vec<DecisionReport>,
}

/// Describes a job or a task of a cell as JSON. Returns `None` if the cell does
/// not have it.
pub(crate) fn describe(state: &State, cell: &Cell, id: &str) -> Option<String> {
    if let Some((job, accepted)) = cell.table.jobs.get(id) {
        let report = JobReport {
            id,
            cell: &cell.id,
            outcome: if *accepted { "accepted" } else { "pending" },
            team: &job.team,
            kind: &job.kind,
            tasks: job.tasks,
            phases: phases(cell, id),
        };
        return serde_json::to_string(&report).ok();
    }
    let task = cell.table.tasks.get(id)?;
    let about = state.decisions.iter().filter(|d| &*d.task == id).map(decision_report);
    let report = TaskReport {
        id,
        cell: &cell.id,
        phase: phase_name(&task.phase),
        backend: task.backend(),
        reason: reason(state, cell, task),
        attempt: task.attempt,
        checkpoint_ms: task.checkpoint,
        failures: task.failures,
        evictions: task.evictions,
        since: task.since,
        decisions: about.collect(),
    };
    serde_json::to_string(&report).ok()
}

/// Explains the phase of a task.
fn reason(state: &State, cell: &Cell, task: &cell::Task) -> String {
    let accepted = cell.table.jobs.get(&task.job).is_some_and(|(_, accepted)| *accepted);
    match &task.phase {
        Phase::Queued if !accepted => "its job waits for the log".to_owned(),
        Phase::Queued => {
            let ahead = cell.table.tasks.values().filter(|t| t.phase == Phase::Queued).count();
            let free = cell.servers.values().filter(|s| s.usable(now().unix)).count();
            format!("waits for room or quota: {ahead} tasks queued, {free} servers take work")
        }
        Phase::Parked(why) => why.to_string(),
        Phase::Unlocated => {
            "both copies of its state were lost; servers are being asked".to_owned()
        }
        _ => {
            let last = state.decisions.iter().rev().find(|d| d.task == task.id);
            last.map_or_else(String::new, |d| format!("{}: {}", d.what, d.why))
        }
    }
}

/// Counts the tasks of a job by phase.
fn phases(cell: &Cell, job: &str) -> BTreeMap<String, u32> {
    let mut counts = BTreeMap::new();
    for task in cell.table.tasks.values().filter(|t| &*t.job == job) {
        *counts.entry(phase_name(&task.phase).to_owned()).or_default() += 1;
    }
    counts
}
