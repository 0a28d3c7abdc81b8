use std::collections::BTreeMap;

use base::{Millis, Name, Now, Size};
use cell::{Server, Table};
use conf::Document;

use crate::{Estimates, place, protect, queue};

/// Scheduling mechanisms in use. Without any of them, tasks start first come first
/// served on the first server with enough free capacity, and the newest task is
/// evicted to protect a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Urgent jobs go first, then teams by their weighted share.
    pub fair_share: bool,
    /// Smaller tasks may start ahead of a task that does not fit.
    pub backfill: bool,
    /// Placement minimises learned interference.
    pub interference: bool,
    /// Tasks are not started on a VM that is returned before they end.
    pub return_times: bool,
    /// The worst neighbour of a slow service is throttled instead of evicting the
    /// newest one.
    pub throttle: bool,
    /// Servers on which tasks keep failing get no new ones for some time.
    pub quarantine: bool,
}

impl Policy {
    /// All mechanisms.
    pub const FULL: Policy = Policy {
        fair_share: true,
        backfill: true,
        interference: true,
        return_times: true,
        throttle: true,
        quarantine: true,
    };
    /// No mechanism: the baseline of comparisons.
    pub const BASELINE: Policy = Policy {
        fair_share: false,
        backfill: false,
        interference: false,
        return_times: false,
        throttle: false,
        quarantine: false,
    };
}

/// Input of the decisions for one cell.
#[derive(Debug)]
pub struct View<'a> {
    /// Jobs and tasks of the cell.
    pub table: &'a Table,
    /// Backend servers of the cell, by VM identifier.
    pub servers: &'a BTreeMap<Name, Server>,
    /// The configuration document in force.
    pub document: &'a Document,
    /// Resources that each team holds in other cells.
    pub remote_usage: &'a BTreeMap<Name, Size>,
    /// Estimates of run times and interference.
    pub estimates: &'a Estimates,
    /// Speed last requested for each task, in percent; 100 where there is none.
    pub speeds: &'a BTreeMap<Name, u64>,
    /// Scheduling mechanisms in use.
    pub policy: Policy,
    /// Time of the decisions.
    pub now: Now,
}

/// A task to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// Identifier of the task.
    pub task: Name,
    /// Number of the new attempt, from 1.
    pub attempt: u32,
    /// VM identifier of the backend server to start it on.
    pub backend: Name,
}

/// A task to evict.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Eviction {
    /// Identifier of the task.
    pub task: Name,
    /// Number of its running attempt.
    pub attempt: u32,
}

/// A task to throttle, or to restore to full speed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Speed {
    /// Identifier of the task.
    pub task: Name,
    /// Number of its running attempt.
    pub attempt: u32,
    /// VM identifier of the backend server that runs it.
    pub backend: Name,
    /// New speed in percent of full speed.
    pub percent: u64,
}

/// A decision and its reason, for the log and for `explain`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// Kind of decision: `place`, `park`, `throttle` or `evict`.
    pub what: &'static str,
    /// Identifier of the task.
    pub task: Name,
    /// Number of servers considered.
    pub candidates: usize,
    /// VM identifier of the server, empty if there is none.
    pub chosen: Name,
    /// Reason in words.
    pub why: String,
}

/// Decisions of one scheduling step.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    /// Tasks to start.
    pub assignments: Vec<Assignment>,
    /// Tasks to park, each with its reason; an empty reason queues a parked task
    /// again.
    pub parked: Vec<(Name, Name)>,
    /// Tasks to evict.
    pub evictions: Vec<Eviction>,
    /// Tasks to throttle or to restore to full speed.
    pub speeds: Vec<Speed>,
    /// Reasons for the entries above.
    pub decisions: Vec<Decision>,
}

/// Maximum number of tasks that one step starts in a cell.
const MAX_ASSIGNMENTS: usize = 200;
/// Maximum number of tasks that one step skips because they do not fit.
const MAX_SKIPPED: usize = 200;

/// Runs one scheduling step for a cell: throttles and evicts tasks, then starts
/// waiting ones.
pub fn plan(view: &View<'_>) -> Plan {
    let mut plan = Plan::default();
    protect::protect(view, &mut plan);
    start_tasks(view, &mut plan);
    plan
}

/// The server kept for the first task that does not fit. Tasks behind it may only
/// run there if they end by then.
struct Reservation {
    backend: Name,
    /// When the task is expected to start, in Unix milliseconds.
    at: Millis,
}

fn start_tasks(view: &View<'_>, plan: &mut Plan) {
    let mut capacity = place::Capacity::new(view);
    let mut queue = queue::Queue::new(view);
    let mut reservation: Option<Reservation> = None;
    let mut skipped = 0;
    while let Some(task) = queue.dequeue() {
        if plan.assignments.len() >= MAX_ASSIGNMENTS || skipped >= MAX_SKIPPED {
            return;
        }
        let Some(job) = view.table.job(task) else { continue };
        if let Some(reason) = capacity.unplaceable(job.size) {
            park(task, reason, plan);
            continue;
        }
        let end = view.now.unix + view.estimates.expected_runtime(&job.kind, job.work);
        let excluded = |backend: &Name| {
            reservation.as_ref().is_some_and(|r| r.backend == *backend && end > r.at)
        };
        match capacity.choose(view, job, &excluded) {
            Some(choice) => {
                let attempt = task.attempt + 1;
                plan.assignments.push(Assignment {
                    task: task.id.clone(),
                    attempt,
                    backend: choice.backend.clone(),
                });
                plan.decisions.push(Decision {
                    what: "place",
                    task: task.id.clone(),
                    candidates: choice.candidates,
                    chosen: choice.backend.clone(),
                    why: choice.why,
                });
                capacity.allocate(&choice.backend, job);
                queue.charge(job);
            }
            None if !view.policy.backfill => return,
            None => {
                skipped += 1;
                queue.skip_job(job);
                if reservation.is_none() {
                    reservation = capacity
                        .earliest_fit(view, job.size)
                        .map(|(backend, at)| Reservation { backend, at });
                }
            }
        }
    }
}

fn park(task: &cell::Task, reason: String, plan: &mut Plan) {
    plan.parked.push((task.id.clone(), reason.as_str().into()));
    plan.decisions.push(Decision {
        what: "park",
        task: task.id.clone(),
        candidates: 0,
        chosen: "".into(),
        why: reason,
    });
}
