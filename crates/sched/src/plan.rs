use std::collections::BTreeMap;

use base::{Millis, Name, Now, Size};
use cell::{Server, Table};
use conf::Document;

use crate::{Learn, place, protect, queue};

/// Mechanisms in use. The baseline has none of them: first come first served,
/// first fit on declared sizes, evict the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// Urgent jobs and weighted shares decide the order.
    pub shares: bool,
    /// Smaller tasks may pass a head that does not fit.
    pub backfill: bool,
    /// Learned interference decides the place.
    pub pairs: bool,
    /// Tasks are not started on a VM that goes back before they end.
    pub returns: bool,
    /// Throttle before evicting, and evict what loses least.
    pub throttle: bool,
    /// Servers that fail what they start get nothing for a while.
    pub shun: bool,
}

impl Policy {
    /// Every mechanism.
    pub const FULL: Policy = Policy {
        shares: true,
        backfill: true,
        pairs: true,
        returns: true,
        throttle: true,
        shun: true,
    };
    /// The plain baseline to compare with.
    pub const BASELINE: Policy = Policy {
        shares: false,
        backfill: false,
        pairs: false,
        returns: false,
        throttle: false,
        shun: false,
    };
}

/// What the decisions of one cell are made from.
#[derive(Debug)]
pub struct View<'a> {
    /// The cell's table.
    pub table: &'a Table,
    /// Its backend servers.
    pub servers: &'a BTreeMap<Name, Server>,
    /// The document in force.
    pub document: &'a Document,
    /// What teams hold in other cells.
    pub elsewhere: &'a BTreeMap<Name, Size>,
    /// What has been learned.
    pub learn: &'a Learn,
    /// Speeds asked for so far, in percent, by task.
    pub speeds: &'a BTreeMap<Name, u64>,
    /// Mechanisms in use.
    pub policy: Policy,
    /// The time.
    pub now: Now,
}

/// A task to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assign {
    /// Task.
    pub task: Name,
    /// Attempt.
    pub attempt: u32,
    /// Backend server.
    pub backend: Name,
}

/// A task to evict.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Eviction {
    /// Task.
    pub task: Name,
    /// Attempt.
    pub attempt: u32,
}

/// A task to slow or to let run freely.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Speed {
    /// Task.
    pub task: Name,
    /// Attempt.
    pub attempt: u32,
    /// Backend server.
    pub backend: Name,
    /// Percent of full speed.
    pub percent: u64,
}

/// Why something was decided, for the log and for `explain`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// What was decided: `place`, `wait`, `park`, `throttle` or `evict`.
    pub what: &'static str,
    /// The task.
    pub task: Name,
    /// Servers looked at.
    pub candidates: usize,
    /// The server, empty where there is none.
    pub chosen: Name,
    /// The reason.
    pub why: String,
}

/// Decisions of one step.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Plan {
    /// Tasks to start.
    pub assigns: Vec<Assign>,
    /// Tasks to park with the reason, or to queue again with an empty one.
    pub parks: Vec<(Name, Name)>,
    /// Tasks to evict.
    pub evictions: Vec<Eviction>,
    /// Tasks to slow or speed up.
    pub speeds: Vec<Speed>,
    /// Reasons.
    pub decisions: Vec<Decision>,
}

/// Most tasks started by one step of a cell.
const MAX_ASSIGNS: usize = 200;
/// Tasks looked at behind a head that does not fit.
const MAX_BACKFILL: usize = 200;

/// Decides for one cell.
pub fn plan(view: &View<'_>) -> Plan {
    let mut plan = Plan::default();
    protect::protect(view, &mut plan);
    start(view, &mut plan);
    plan
}

/// The head of the queue that does not fit, and where it is going to.
struct Head {
    backend: Name,
    at: Millis,
}

fn start(view: &View<'_>, plan: &mut Plan) {
    let mut rooms = place::Rooms::open(view);
    let mut queue = queue::Queue::open(view);
    let mut head: Option<Head> = None;
    let mut passed = 0;
    while let Some(task) = queue.next() {
        if plan.assigns.len() >= MAX_ASSIGNS || passed >= MAX_BACKFILL {
            return;
        }
        let Some(job) = view.table.job(task) else { continue };
        if let Some(reason) = rooms.never(job.size) {
            park(task, reason, plan);
            continue;
        }
        let ends = view.now.unix + view.learn.expect(&job.kind, job.work);
        let barred =
            |backend: &Name| head.as_ref().is_some_and(|h| h.backend == *backend && ends > h.at);
        match rooms.choose(view, job, &barred) {
            Some(choice) => {
                let attempt = task.attempt + 1;
                plan.assigns.push(Assign {
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
                rooms.commit(&choice.backend, job);
                queue.started(job);
            }
            None if !view.policy.backfill => return,
            None => {
                passed += 1;
                queue.blocked(job);
                if head.is_none() {
                    head = rooms.soonest(view, job.size).map(|(backend, at)| Head { backend, at });
                }
            }
        }
    }
}

fn park(task: &cell::Task, reason: String, plan: &mut Plan) {
    plan.parks.push((task.id.clone(), reason.as_str().into()));
    plan.decisions.push(Decision {
        what: "park",
        task: task.id.clone(),
        candidates: 0,
        chosen: "".into(),
        why: reason,
    });
}
