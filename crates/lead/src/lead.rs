use std::{
    cell::Cell,
    collections::{BTreeMap, BTreeSet},
};

use base::{Millis, Name, Now, event};
use job::{Job, JobRecord, Queue, Spec, State, StepId, TaskId};
use port::{Item, Start, Stop, Throttle, WorkerAddr};

use crate::{
    Worker,
    audit::Phases,
    doubt::StartsInDoubt,
    evidence::Return,
    interference::InterferenceModel,
    journal::Journal,
    policy::StepPolicy,
    preemption::Reservation,
    worker::{MAX_REPLY_TIME, expiry},
};

/// Low bits of a run id, which count the runs of one epoch; the epoch is above them.
const RUN_COUNTER_BITS: u32 = 28;
/// Waiting tasks of a job up to which further occurrences begin.
const MAX_WAITING_TASKS: usize = 500;
/// Most occurrences of a job in progress.
const MAX_IN_PROGRESS: usize = 20_000;
/// Time for which a job can be queried after its end.
const JOB_RETENTION: Millis = 600_000;
/// Time between two runs of the steps of a tick that go through every worker.
const WORKER_CHECK_PERIOD: Millis = 30;
/// Time between two records of the interference model.
const MODEL_SAVE_PERIOD: Millis = 3_000;
/// Most workers that a log line names.
const MAX_NAMES: usize = 12;
/// Factor by which waits are extended, to allow for the drift of worker clocks.
const CLOCK_DRIFT_FACTOR: f64 = 1.03;

/// Limits and cost estimates that the scheduler works with; times in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Duration of the leases granted to workers.
    pub lease: Millis,
    /// Longest lease that a worker accepts.
    pub max_lease: Millis,
    /// Time for which a leader without contact to other VMs goes on renewing leases.
    pub isolation_limit: Millis,
    /// Factor by which a task takes longer outside the rack that holds its data.
    pub remote_factor: f64,
    /// Time that a resumed task needs to load its checkpoint.
    pub restore_time: Millis,
    /// Longest time for which a service task may miss its latency target because of
    /// best-effort tasks on the same worker.
    pub max_impact: Millis,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            lease: 5_000,
            max_lease: 10_000,
            isolation_limit: 2_000,
            remote_factor: 1.5,
            restore_time: 600,
            max_impact: 4_000,
        }
    }
}

/// A command to carry out, towards a worker or the policy service.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Start a run.
    Start(WorkerAddr, Start),
    /// Stop a run.
    Stop(WorkerAddr, Stop),
    /// Set the speed limit of a run.
    Throttle(WorkerAddr, Throttle),
    /// Poll a worker for its runs and completions at once.
    Poll(Name),
    /// Ask the policy service which of these workers may run a step.
    AskPolicy(StepId, Vec<Name>),
}

/// Result of a submission or cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Submitted {
    /// The change is durable already.
    Durable,
    /// The change becomes durable with the journal batch of this number.
    Pending(u64),
    /// No durable job has this id.
    NoJob,
}

/// State of the leader of a cell.
#[derive(Debug)]
pub struct Lead {
    /// Epoch of the leadership, the high bits of its fencing tokens.
    pub epoch: u64,
    /// Jobs by identifier.
    pub jobs: BTreeMap<Name, Job>,
    /// Workers by identifier.
    pub workers: BTreeMap<Name, Worker>,
    /// Evidence that another leader has taken over; `None` while there is none.
    pub deposed: Option<String>,
    pub(crate) bounds: Bounds,
    pub(crate) journal: Journal,
    /// Tasks to be placed, by job.
    pub(crate) waiting: BTreeMap<Name, Vec<TaskId>>,
    /// Workers of which a relay may have to be told something.
    pub(crate) touched: BTreeSet<Name>,
    /// Commands decided since the last call of [`Lead::take_commands`].
    pub(crate) commands: Vec<Command>,
    /// Interference between images on the same worker.
    pub(crate) model: InterferenceModel,
    /// Tickets and requests to the policy service, by step.
    pub(crate) policies: BTreeMap<StepId, StepPolicy>,
    /// Typical run time of a task in milliseconds, by queue.
    pub(crate) typical_runtime: BTreeMap<Name, f64>,
    /// When runs were last checked for stragglers.
    pub(crate) stragglers_checked: Millis,
    /// Worker chosen by the last search, where the next one begins.
    pub(crate) search_cursor: Name,
    /// Last job in the name order whose turn it was in a placement pass.
    pub(crate) turn_cursor: Name,
    /// When jobs last had their turn.
    pub(crate) turn_at: Millis,
    /// When the load was last logged.
    pub(crate) load_reported: Millis,
    /// Number of workers compared with tasks so far.
    pub(crate) evaluated: Cell<u64>,
    /// Number of the current placement pass.
    pub(crate) pass: u64,
    /// Steps for which no worker was found: the pass and the time of the last search of all
    /// workers.
    pub(crate) searched: BTreeMap<StepId, (u64, Millis)>,
    /// Since when the tasks of each step have waited for a worker.
    pub(crate) waiting_since: BTreeMap<StepId, Millis>,
    /// When `waiting_since` was last updated.
    pub(crate) waits_updated: Millis,
    /// Workers whose free capacity is reserved for one step.
    pub(crate) reservations: BTreeMap<Name, Reservation>,
    /// When steps without a place were last checked for preemption.
    pub(crate) preemption_checked: Millis,
    /// When workers were last checked.
    workers_checked: Millis,
    /// Runs numbered in this epoch.
    run_count: u64,
    /// Fencing tokens raised in this epoch, on any worker: one that is forgotten and returns must
    /// not get a lower token.
    pub(crate) raise_count: u64,
    /// When the interference model was last recorded.
    model_saved: Millis,
    /// When the leases granted by earlier leaders have certainly expired.
    pub(crate) settle_deadline: Millis,
    /// When the commands of earlier leaders have certainly been carried out, but for those that
    /// are late by more than the time for a reply.
    pub(crate) commands_end: Millis,
    /// The same on workers that have restarted under an earlier leader, which may have granted them
    /// the longest lease.
    pub(crate) long_leases_end: Millis,
    /// Whether the runs of earlier leaders are known, see [`Lead::settled`].
    pub(crate) settled: bool,
    /// When they became known.
    pub(crate) settled_at: Millis,
    /// Newest time at which the store had shown that no other VM had claimed.
    pub(crate) unclaimed_at: Millis,
    /// Jobs with occurrences that have not begun.
    recurring: BTreeSet<Name>,
    /// Jobs with occurrences that an earlier leader has begun and that are not due yet.
    early: BTreeSet<Name>,
    /// Tasks that may crash their workers and are started in isolation.
    pub(crate) suspects: BTreeSet<TaskId>,
    /// Workers that get no tasks but suspects.
    pub(crate) isolated: BTreeSet<Name>,
    /// Workers on which suspects are to start.
    pub(crate) planned: BTreeMap<TaskId, Name>,
    /// Crashes of workers that came back recently.
    pub(crate) returns: Vec<Return>,
    /// Start commands without a reply.
    pub(crate) starts_in_doubt: StartsInDoubt,
    /// Phases of the tasks at the last audit.
    pub(crate) phases: Phases,
}

impl Lead {
    /// Takes up the leadership of an epoch, from the records in the store.
    pub fn open(epoch: u64, items: &[Item], bounds: Bounds, now: Now) -> Lead {
        let wait = (bounds.lease + bounds.isolation_limit) as f64 * CLOCK_DRIFT_FACTOR;
        let mut lead = Lead {
            epoch,
            jobs: BTreeMap::new(),
            workers: BTreeMap::new(),
            deposed: None,
            bounds,
            journal: Journal::open(),
            waiting: BTreeMap::new(),
            touched: BTreeSet::new(),
            commands: Vec::new(),
            model: InterferenceModel::default(),
            policies: BTreeMap::new(),
            typical_runtime: BTreeMap::new(),
            stragglers_checked: now.mono,
            search_cursor: "".into(),
            turn_cursor: "".into(),
            turn_at: 0,
            load_reported: 0,
            evaluated: Cell::new(0),
            pass: 0,
            searched: BTreeMap::new(),
            waiting_since: BTreeMap::new(),
            waits_updated: 0,
            reservations: BTreeMap::new(),
            preemption_checked: 0,
            workers_checked: 0,
            run_count: 0,
            raise_count: 0,
            model_saved: now.mono,
            settle_deadline: now.mono + wait as Millis,
            commands_end: now.mono + bounds.isolation_limit + MAX_REPLY_TIME,
            long_leases_end: now.mono
                + bounds.isolation_limit
                + MAX_REPLY_TIME
                + expiry(bounds.max_lease),
            settled: false,
            settled_at: 0,
            unclaimed_at: now.mono,
            recurring: BTreeSet::new(),
            early: BTreeSet::new(),
            suspects: BTreeSet::new(),
            isolated: BTreeSet::new(),
            planned: BTreeMap::new(),
            returns: Vec::new(),
            starts_in_doubt: StartsInDoubt::default(),
            phases: Phases::new(),
        };
        lead.restore(items, now);
        lead
    }

    /// Adds a job, unless its id is known already.
    pub fn submit(&mut self, id: &Name, queue: &Queue, spec: Spec, now: Now) -> Submitted {
        if let Some(known) = self.submitted(id) {
            return known;
        }
        let record = JobRecord { queue: queue.clone(), spec, accepted_at: now.unix };
        self.jobs.insert(id.clone(), Job::new(id.clone(), record));
        Submitted::Pending(self.journal.add_job(id))
    }

    /// Withdraws a submission that has not been sent to the store. Returns `false` if it
    /// has been, so that it may become durable.
    pub fn withdraw(&mut self, id: &Name) -> bool {
        let unsent = self.journal.remove_job(id);
        if unsent {
            self.jobs.remove(id);
        }
        unsent
    }

    /// Cancels a job. The cancellation takes effect once it is durable.
    pub fn cancel(&mut self, id: &Name, now: Now) -> Submitted {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.stored) else {
            return Submitted::NoJob;
        };
        if job.is_terminal() {
            let batch = self.journal.batch_of(id);
            return if job.end_stored { Submitted::Durable } else { Submitted::Pending(batch) };
        }
        job.cancel_requested = true;
        // The time is part of the record, so that the next leader retains the job for as
        // long as any other.
        job.ended_at = now.unix;
        Submitted::Pending(self.journal.add_progress(id))
    }

    /// Returns the result of submitting a job that is known already, `None` for any other id.
    pub fn submitted(&self, id: &Name) -> Option<Submitted> {
        let job = self.jobs.get(id)?;
        let pending = || Submitted::Pending(self.journal.batch_of(id));
        Some(if job.stored { Submitted::Durable } else { pending() })
    }

    /// Returns the state of a durable job as shown to callers.
    pub fn state(&self, id: &str) -> Option<State> {
        self.jobs.get(id).filter(|job| job.stored).map(Job::state)
    }

    /// Returns the number of durable jobs in a queue of which no task has started.
    pub fn pending(&self, queue: &str) -> u64 {
        let in_queue = |job: &&Job| &*job.queue.name == queue && job.stored;
        let not_started = |job: &&Job| !job.started && !job.is_terminal();
        self.jobs.values().filter(in_queue).filter(not_started).count() as u64
    }

    /// Returns the estimated headroom that a service image loses beside a best-effort image
    /// which uses a whole worker.
    pub fn learned_interference(&self, service: &Name, best_effort: &Name) -> f64 {
        self.model.interference(service, best_effort)
    }

    /// Marks a job as durable and queues the tasks that may run.
    pub(crate) fn activate(&mut self, id: &Name, now: Now) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        job.stored = true;
        if job.is_terminal() {
            return;
        }
        let occs: Vec<u32> = job.in_progress.keys().copied().collect();
        for occ in occs {
            self.resume(id, occ, now);
        }
        self.begin_due(id, now);
    }

    /// Resumes an occurrence that an earlier leader has begun: its tasks are queued once it is due,
    /// since that leader's clock may have been ahead.
    fn resume(&mut self, id: &Name, occ: u32, now: Now) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.hold_early(occ, now.unix) {
            self.early.insert(id.clone());
        }
        self.open_steps(id, occ);
    }

    /// Queues the tasks of a job's occurrences that were begun early and are due now.
    fn resume_due(&mut self, id: &Name, now: Now) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let tasks = job.release_due(now.unix);
        if !job.in_progress.values().any(|occurrence| occurrence.early) {
            self.early.remove(id);
        }
        tasks.iter().for_each(|task| self.enqueue(task));
    }

    /// Begins occurrences that are due, in their order, as long as few tasks of the job wait.
    /// Returns whether any has begun.
    fn begin_due(&mut self, id: &Name, now: Now) -> bool {
        let mut begun = false;
        loop {
            let waiting = self.waiting.get(id).map_or(0, Vec::len);
            let Some(job) = self.jobs.get_mut(id) else { return begun };
            let room = waiting < MAX_WAITING_TASKS && job.in_progress.len() < MAX_IN_PROGRESS;
            let next = if room { job.begin(now.unix, 1).pop() } else { None };
            let Some(occ) = next else { break };
            begun = true;
            self.open_steps(id, occ);
        }
        let Some(job) = self.jobs.get(id) else { return begun };
        if !job.is_terminal() && job.next_occurrence < job.occurrences() {
            self.recurring.insert(id.clone());
        } else {
            self.recurring.remove(id);
        }
        begun
    }

    /// Begins the occurrence of a task that a worker has listed. An earlier leader may have begun it
    /// by a clock that is ahead, and its record may not be durable.
    pub(crate) fn begin_listed(&mut self, id: &TaskId, now: Now) {
        let Some(job) = self.jobs.get_mut(&id.job).filter(|job| job.stored) else { return };
        let begun = job.begin_through(id.occurrence);
        if !begun.is_empty() {
            event!("begun_by_earlier", task = id);
            self.journal.add_progress(&id.job);
        }
        for occ in begun {
            self.resume(&id.job, occ, now);
        }
    }

    /// Queues the tasks of the steps whose dependencies are done.
    pub(crate) fn open_steps(&mut self, id: &Name, occ: u32) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let mut tasks = Vec::new();
        for step in job.open_steps(occ) {
            let count = job.spec.steps[step as usize].count;
            tasks.extend((0..count).map(|index| TaskId {
                job: id.clone(),
                occurrence: occ,
                step,
                index,
            }));
        }
        for task in tasks {
            self.enqueue(&task);
        }
    }

    /// Queues a task unless it is done, queued or running.
    pub(crate) fn enqueue(&mut self, id: &TaskId) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let early = job.in_progress.get(&id.occurrence).is_some_and(|state| state.early);
        if job.is_terminal() || !job.stored || early {
            return;
        }
        let Some(task) = job.task_mut(id) else { return };
        if task.done || task.queued || !task.workers.is_empty() {
            return;
        }
        task.queued = true;
        self.waiting.entry(id.job.clone()).or_default().push(id.clone());
    }

    /// Begins occurrences that are due, records the interference model and removes jobs whose
    /// retention has passed.
    pub(crate) fn run_timers(&mut self, now: Now) {
        let due: Vec<Name> = self.recurring.iter().cloned().collect();
        for id in due {
            let next = self.jobs.get(&id).map(|job| job.due(job.next_occurrence));
            if next.is_some_and(|due| due <= now.unix) && self.begin_due(&id, now) {
                self.journal.add_progress(&id);
            }
        }
        for id in self.early.clone() {
            self.resume_due(&id, now);
        }
        if now.mono >= self.model_saved + MODEL_SAVE_PERIOD {
            self.model_saved = now.mono;
            self.journal.add_model();
            for (image, headroom, interference) in self.model.summaries() {
                event!(
                    "learned",
                    image = image,
                    headroom = format!("{headroom:.2}"),
                    interference = interference
                );
            }
        }
        let old = |job: &&Job| job.end_stored && job.ended_at + JOB_RETENTION < now.unix;
        let old: Vec<Name> = self.jobs.values().filter(old).map(|job| job.id.clone()).collect();
        for id in old {
            if let Some(job) = self.jobs.remove(&id) {
                self.journal.delete_job(&job);
            }
        }
    }

    /// Removes a task from the queue: a run of it exists, or may exist.
    pub(crate) fn dequeue(&mut self, id: &TaskId) {
        let task = self.jobs.get_mut(&id.job).and_then(|job| job.task_mut(id));
        if let Some(task) = task.filter(|task| task.queued) {
            task.queued = false;
            if let Some(waiting) = self.waiting.get_mut(&id.job) {
                waiting.retain(|task| task != id);
            }
        }
    }

    /// Ends a job: removes its tasks from the queue and stops its runs.
    pub(crate) fn end_job(&mut self, id: &Name, now: Now) {
        self.waiting.remove(id);
        self.policies.retain(|step, _| step.job != *id);
        self.recurring.remove(id);
        self.early.remove(id);
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.ended_at == 0 {
            job.ended_at = now.unix;
        }
        let mut runs = Vec::new();
        for (occ, state) in &job.in_progress {
            for (step, state) in state.steps.iter().enumerate() {
                for (index, task) in state.tasks.iter().enumerate() {
                    let id = TaskId {
                        job: id.clone(),
                        occurrence: *occ,
                        step: step as u32,
                        index: index as u32,
                    };
                    runs.extend(task.workers.iter().map(|worker| (worker.clone(), id.clone())));
                }
            }
        }
        for (worker, task) in runs {
            self.stop(&worker, &task, "job_over");
        }
    }

    /// Applies a cancellation that has become durable. It counts although the job has ended
    /// since, as it does for the next leader, unless callers may have seen that end.
    pub(crate) fn apply_cancel(&mut self, id: &Name, now: Now) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.end_stored {
            return;
        }
        job.cancelled = true;
        event!("cancelled", job = id);
        self.end_job(id, now);
    }

    /// Allocates the id of a new run.
    pub(crate) fn next_run_id(&mut self) -> u64 {
        self.run_count += 1;
        (self.epoch << RUN_COUNTER_BITS) | self.run_count
    }

    /// Returns whether a run was started by this leader.
    pub(crate) fn own_run(&self, run_id: u64) -> bool {
        run_id >> RUN_COUNTER_BITS == self.epoch
    }

    /// Returns whether the runs of earlier leaders are known: every worker has listed its
    /// runs and completions, or its record has its last runs, or the leases that those leaders and this one granted have certainly
    /// expired. Another leader that had taken over before their end would have renewed them.
    pub fn settled(&mut self, now: Now) -> bool {
        if !self.settled {
            let known = |worker: &Worker| worker.listed_all || worker.closed;
            let unlisted = self.workers.values().filter(|worker| !known(worker));
            let last_end = unlisted.map(Worker::unlisted_until).max();
            let all = last_end.is_none();
            let expired = self.unclaimed_at >= self.settle_deadline.max(last_end.unwrap_or(0));
            self.settled = (all && !self.workers.is_empty()) || expired;
            if self.settled {
                self.settled_at = now.mono;
                let names = |filter: &dyn Fn(&Worker) -> bool| {
                    let workers = self.workers.iter().filter(|(_, worker)| filter(worker));
                    let names: Vec<&str> = workers.map(|(id, _)| &**id).take(MAX_NAMES).collect();
                    names.join(",")
                };
                event!(
                    "settled",
                    epoch = self.epoch,
                    all_listed = all,
                    workers = self.workers.len(),
                    silent = names(&|worker| !worker.synced),
                    unlisted = names(&|worker| worker.synced && !worker.listed_all),
                    closed = names(&|worker| worker.closed),
                    unclaimed = now.mono.saturating_sub(self.unclaimed_at)
                );
            }
        }
        self.settled
    }

    /// Returns whether the members of the cell may be changed: no earlier leader still decides by the
    /// words of the present ones. That all workers have listed their runs does not show it.
    pub fn may_change_members(&self, now: Now) -> bool {
        !self.settles_by_time(now)
    }

    /// Returns whether leases of earlier leaders may still be valid.
    pub(crate) fn settles_by_time(&self, now: Now) -> bool {
        now.mono < self.settle_deadline
    }

    /// Returns how many times a worker has been compared with a task so far.
    pub fn evaluations(&self) -> u64 {
        self.evaluated.get()
    }

    /// Returns the commands decided since the last call.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Runs everything that depends on time, then places the waiting tasks. No other leader had
    /// taken over at `unclaimed_at`.
    pub fn tick(&mut self, now: Now, unclaimed_at: Millis) {
        self.unclaimed_at = unclaimed_at;
        if now.mono >= self.workers_checked + WORKER_CHECK_PERIOD {
            self.workers_checked = now.mono;
            self.run_timers(now);
            self.check_workers(now, unclaimed_at);
            self.check_suspects(now);
            self.enforce_targets(now);
            self.handle_stragglers(now);
        }
        self.place_tasks(now);
        self.update_waits(now);
        self.preempt(now);
        self.report_load(now);
    }
}
