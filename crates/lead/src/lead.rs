use std::collections::{BTreeMap, BTreeSet};

use base::{Millis, Name, Now, event};
use job::{Job, JobRecord, Queue, Spec, State, StepId, TaskId};
use port::{Item, Pace, Peer, Start, Stop};

use crate::{Worker, advice::Policy, journal::Journal, learn::Learn, room::Reservation};

/// Bits of a run's number that count within one epoch.
const RUN_BITS: u32 = 28;
/// Time for which a job is shown after its end.
const KEEP: Millis = 600_000;
/// Time between two runs of the systems that look at every worker.
const WATCH_PERIOD: Millis = 30;
/// Time between two records of what has been learned.
const LEARNED_PERIOD: Millis = 3_000;
/// Drift of workers' clocks against which waits are stretched.
const DRIFT: f64 = 1.03;

/// Bounds that the scheduler keeps to, in milliseconds unless said.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Length of the leases given to workers.
    pub lease: Millis,
    /// Time for which a leader without contact to others goes on renewing.
    pub solo: Millis,
    /// Factor by which a task takes longer away from its rack.
    pub remote: f64,
    /// Time that a resumed task takes to load its checkpoint.
    pub restore: Millis,
    /// Time for which a serving task may miss its target beside tasks that fill.
    pub impact: Millis,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { lease: 5_000, solo: 2_000, remote: 1.5, restore: 600, impact: 4_000 }
    }
}

/// An order to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Order {
    /// Start a run.
    Start(Peer, Start),
    /// Stop a run.
    Stop(Peer, Stop),
    /// Pace a run.
    Pace(Peer, Pace),
    /// Ask a worker for its lists at once.
    Look(Name),
    /// Ask which of some workers the policy of a queue allows for a step.
    Ask(StepId, Vec<Name>),
}

/// What becomes of a submission or a cancelling.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Submitted {
    /// It is durable already.
    Known,
    /// It is durable once this batch is.
    Waiting(u64),
    /// There is no such job.
    NoJob,
}

/// The leader of a cell.
#[derive(Debug)]
pub struct Lead {
    /// Epoch of the leadership, which is the fencing token.
    pub epoch: u64,
    /// Jobs by identifier.
    pub jobs: BTreeMap<Name, Job>,
    /// Workers by identifier.
    pub workers: BTreeMap<Name, Worker>,
    /// Why another leader is known to have taken over, once one has.
    pub deposed: Option<String>,
    pub(crate) bounds: Bounds,
    pub(crate) journal: Journal,
    pub(crate) waiting: BTreeMap<Name, Vec<TaskId>>,
    pub(crate) orders: Vec<Order>,
    pub(crate) learn: Learn,
    pub(crate) policies: BTreeMap<StepId, Policy>,
    /// Usual run time of a task, in milliseconds, by queue.
    pub(crate) usual: BTreeMap<Name, f64>,
    /// When runs were last looked at for taking too long.
    pub(crate) looked: Millis,
    /// Worker at which the last search for a place ended.
    pub(crate) searched: Name,
    /// When the load was last reported.
    pub(crate) reported: Millis,
    /// Since when tasks of each step have waited.
    pub(crate) waits: BTreeMap<StepId, Millis>,
    /// When that was last noted.
    pub(crate) waits_noted: Millis,
    /// Workers whose room is kept for a step.
    pub(crate) reserved: BTreeMap<Name, Reservation>,
    /// When room was last made.
    pub(crate) room_made: Millis,
    watched: Millis,
    runs: u64,
    kept: Millis,
    settles: Millis,
    settled: bool,
    timed: BTreeSet<Name>,
}

impl Lead {
    /// Opens the leadership of an epoch with what the store holds.
    pub fn open(epoch: u64, items: &[Item], bounds: Bounds, now: Now) -> Lead {
        let wait = (bounds.lease + bounds.solo) as f64 * DRIFT;
        let mut lead = Lead {
            epoch,
            jobs: BTreeMap::new(),
            workers: BTreeMap::new(),
            deposed: None,
            bounds,
            journal: Journal::open(),
            waiting: BTreeMap::new(),
            orders: Vec::new(),
            learn: Learn::default(),
            policies: BTreeMap::new(),
            usual: BTreeMap::new(),
            looked: now.mono,
            searched: "".into(),
            reported: 0,
            waits: BTreeMap::new(),
            waits_noted: 0,
            reserved: BTreeMap::new(),
            room_made: 0,
            watched: 0,
            runs: 0,
            kept: now.mono,
            settles: now.mono + wait as Millis,
            settled: false,
            timed: BTreeSet::new(),
        };
        lead.restore(items, now);
        lead
    }

    /// Takes a submission in.
    pub fn submit(&mut self, id: &Name, queue: &Queue, spec: Spec, now: Now) -> Submitted {
        if let Some(job) = self.jobs.get(id) {
            let mark = self.journal.mark(id);
            return if job.stored { Submitted::Known } else { Submitted::Waiting(mark) };
        }
        let record = JobRecord { queue: queue.clone(), spec, accepted: now.unix };
        self.jobs.insert(id.clone(), Job::new(id.clone(), record));
        Submitted::Waiting(self.journal.job(id))
    }

    /// Takes a submission back that is not on its way to the store; `false`
    /// where it may become durable.
    pub fn withdraw(&mut self, id: &Name) -> bool {
        let unsent = self.journal.take_back(id);
        if unsent {
            self.jobs.remove(id);
        }
        unsent
    }

    /// Takes a cancelling in.
    pub fn cancel(&mut self, id: &Name, now: Now) -> Submitted {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.stored) else {
            return Submitted::NoJob;
        };
        if job.over() {
            let mark = self.journal.mark(id);
            return if job.end_stored { Submitted::Known } else { Submitted::Waiting(mark) };
        }
        job.cancel_asked = true;
        // The record of the cancelling says when, so that the next leader keeps the
        // job for as long as any other.
        job.ended = now.unix;
        Submitted::Waiting(self.journal.progress(id))
    }

    /// State of a job to show.
    pub fn state(&self, id: &str) -> Option<State> {
        self.jobs.get(id).filter(|job| job.stored).map(Job::state)
    }

    /// Jobs of a queue for which no task has started.
    pub fn pending(&self, queue: &str) -> u64 {
        let of = |job: &&Job| &*job.queue.name == queue && job.stored;
        let waits = |job: &&Job| !job.started && !job.over();
        self.jobs.values().filter(of).filter(waits).count() as u64
    }

    /// Room that a whole worker's worth of an image which fills is known to take
    /// from one that serves.
    pub fn known_harm(&self, serves: &Name, fills: &Name) -> f64 {
        self.learn.harm(serves, fills)
    }

    /// Starts what a job that is durable may run.
    pub(crate) fn activate(&mut self, id: &Name, now: Now) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.stored = true;
        if job.over() {
            return;
        }
        let mut occs: BTreeSet<u32> = job.open.keys().copied().collect();
        occs.extend(job.begin(now.unix));
        if job.next < job.occurrences() {
            self.timed.insert(id.clone());
        } else {
            self.timed.remove(id);
        }
        for occ in occs {
            self.open_steps(id, occ);
        }
    }

    /// Puts the tasks of steps whose dependencies are done into the queue.
    pub(crate) fn open_steps(&mut self, id: &Name, occ: u32) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let mut tasks = Vec::new();
        for step in job.open_steps(occ) {
            let count = job.spec.steps[step as usize].count;
            tasks.extend((0..count).map(|index| TaskId { job: id.clone(), occ, step, index }));
        }
        for task in tasks {
            self.enqueue(&task);
        }
    }

    /// Puts a task into the queue if it is to run.
    pub(crate) fn enqueue(&mut self, id: &TaskId) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        if job.over() || !job.stored {
            return;
        }
        let Some(task) = job.task_mut(id) else { return };
        if task.done || task.queued || !task.on.is_empty() {
            return;
        }
        task.queued = true;
        self.waiting.entry(id.job.clone()).or_default().push(id.clone());
    }

    /// Begins occurrences that have become due and forgets old jobs.
    pub(crate) fn run_clock(&mut self, now: Now) {
        let due: Vec<Name> = self.timed.iter().cloned().collect();
        for id in due {
            let next = self.jobs.get(&id).map(|job| job.due(job.next));
            if next.is_some_and(|due| due <= now.unix) {
                self.journal.progress(&id);
                self.activate(&id, now);
            }
        }
        if now.mono >= self.kept + LEARNED_PERIOD {
            self.kept = now.mono;
            self.journal.learned();
            for (image, room, harm) in self.learn.lines() {
                event!("learned", serves = image, room = format!("{room:.2}"), harm = harm);
            }
        }
        let old = |job: &&Job| job.end_stored && job.ended + KEEP < now.unix;
        let old: Vec<Name> = self.jobs.values().filter(old).map(|job| job.id.clone()).collect();
        for id in old {
            self.jobs.remove(&id);
            self.journal.forget_job(&id);
        }
    }

    /// Ends a job: nothing of it waits or runs any more.
    pub(crate) fn end(&mut self, id: &Name, now: Now) {
        self.waiting.remove(id);
        self.policies.retain(|step, _| step.job != *id);
        self.timed.remove(id);
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.ended == 0 {
            job.ended = now.unix;
        }
        let mut runs = Vec::new();
        for (occ, state) in &job.open {
            for (step, state) in state.steps.iter().enumerate() {
                for (index, task) in state.tasks.iter().enumerate() {
                    let id = TaskId {
                        job: id.clone(),
                        occ: *occ,
                        step: step as u32,
                        index: index as u32,
                    };
                    runs.extend(task.on.iter().map(|worker| (worker.clone(), id.clone())));
                }
            }
        }
        for (worker, task) in runs {
            self.stop(&worker, &task, "job_over");
        }
    }

    /// Puts a cancelling that is durable into force.
    pub(crate) fn apply_cancel(&mut self, id: &Name, now: Now) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.over() {
            return;
        }
        job.cancelled = true;
        event!("cancelled", job = id);
        self.end(id, now);
    }

    /// A number for a new run.
    pub(crate) fn next_run(&mut self) -> u64 {
        self.runs += 1;
        (self.epoch << RUN_BITS) | self.runs
    }

    /// Whether a run was numbered by this leader.
    pub(crate) fn own_run(&self, run: u64) -> bool {
        run >> RUN_BITS == self.epoch
    }

    /// Whether every worker of a predecessor has listed its runs, or their leases
    /// have expired for certain.
    pub(crate) fn settled(&mut self, now: Now) -> bool {
        if !self.settled {
            let all = self.workers.values().all(|worker| worker.synced);
            self.settled = (all && !self.workers.is_empty()) || now.mono >= self.settles;
            if self.settled {
                event!("settled", epoch = self.epoch, all_listed = all);
            }
        }
        self.settled
    }

    /// Takes the orders that have been decided.
    pub fn orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// Runs the systems that depend on time, then places what waits.
    pub fn tick(&mut self, now: Now) {
        if now.mono >= self.watched + WATCH_PERIOD {
            self.watched = now.mono;
            self.run_clock(now);
            self.watch(now);
            self.guard(now);
            self.unstick(now);
        }
        self.place(now);
        self.note_waits(now);
        self.make_room(now);
        self.report_load(now);
    }
}
