use std::collections::BTreeMap;

use base::{Millis, Name, Now, Size, event};
use job::{Job, StepId, TaskId};

use crate::{Lead, Worker, load::TaskKind, search::Requirements};

/// Interval between updates of the waiting times, in milliseconds.
const UPDATE_INTERVAL: Millis = 50;
/// Waiting time from which a step is reported, in milliseconds.
const REPORT_THRESHOLD: Millis = 1_000;
/// Limit of steps in one report; those that have waited longest come first.
const MAX_REPORTED_STEPS: usize = 12;

/// Why the tasks of a step wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitReason {
    /// No usable worker belongs to the service and carries the required label.
    NoWorker,
    /// No worker is large enough, even when empty.
    TooLarge,
    /// Every worker with enough free capacity holds as many tasks of the step as it may.
    PerWorkerLimit,
    /// Some worker has enough free CPU, but too little memory or too few accelerators.
    Memory,
    /// The free CPU would suffice in total, but no single worker has enough.
    Fragmented,
    /// The free CPU is less than the waiting tasks request.
    Full,
    /// A worker has enough free capacity, but a service task there would miss its latency
    /// target.
    Interference,
    /// A worker has enough free capacity, but the policy service has not issued a ticket for
    /// it yet.
    Ticket,
    /// A worker has enough free capacity, but is reserved for a step that has waited longer.
    Reserved,
    /// A worker has enough free capacity, but is isolated, or the task may crash it and waits for an
    /// isolated one.
    Isolation,
    /// A worker has enough free capacity, but a run that an earlier leader started may still be
    /// going on.
    Takeover,
    /// A worker has enough free capacity; other jobs come first in the scheduling order.
    SchedulingOrder,
}

impl WaitReason {
    fn label(self) -> &'static str {
        match self {
            WaitReason::NoWorker => "no_worker",
            WaitReason::TooLarge => "too_large",
            WaitReason::PerWorkerLimit => "apart",
            WaitReason::Memory => "memory",
            WaitReason::Fragmented => "scattered",
            WaitReason::Full => "full",
            WaitReason::Interference => "harm",
            WaitReason::Ticket => "ticket",
            WaitReason::Reserved => "reserved",
            WaitReason::Isolation => "isolation",
            WaitReason::Takeover => "takeover",
            WaitReason::SchedulingOrder => "order",
        }
    }
}

/// Waiting tasks of a step, and the reason why they wait.
#[derive(Debug, Clone, PartialEq)]
pub struct WaitStatus {
    /// Number of waiting tasks.
    pub tasks: usize,
    /// How many of them may crash their workers and wait for isolated ones.
    pub suspects: usize,
    /// Requested size of each task.
    pub size: Size,
    /// Time since the first of them was queued, in milliseconds.
    pub waited: Millis,
    /// Why they wait.
    pub reason: WaitReason,
    /// Largest free CPU of any worker they may run on, in thousandths of a core.
    pub free_max: u64,
    /// Total free CPU of those workers, in thousandths of a core.
    pub free_total: u64,
}

/// Capacity of the workers that a task may run on.
#[derive(Debug, Default)]
struct CapacityScan {
    workers: usize,
    /// Workers that are large enough when empty.
    large_enough: usize,
    /// Workers with enough free CPU.
    enough_cpu: usize,
    /// Workers with enough free capacity of every kind.
    enough_capacity: usize,
    /// Workers that meet all requirements but are reserved for other steps.
    reserved: usize,
    /// Workers that meet all requirements but that the task may not share, because either may crash
    /// the other.
    isolated: usize,
    /// Workers that meet all requirements and are neither.
    available: usize,
    free_max: u64,
    free_total: u64,
}

impl CapacityScan {
    fn add(&mut self, worker: &Worker, req: &Requirements<'_>, reserved: bool, shared: bool) {
        let free = worker.free_cpu(req.step.best_effort);
        self.workers += 1;
        self.large_enough += usize::from(req.step.size.fits(worker.info.size));
        self.enough_cpu += usize::from(req.step.size.cpu <= free);
        self.enough_capacity += usize::from(req.fits_on(worker));
        let accepted = req.accepts(worker);
        self.reserved += usize::from(accepted && reserved);
        self.isolated += usize::from(accepted && !reserved && !shared);
        self.available += usize::from(accepted && !reserved && shared);
        self.free_max = self.free_max.max(free);
        self.free_total = self.free_total.saturating_add(free);
    }

    fn reason(&self, req: &Requirements<'_>, tasks: usize) -> WaitReason {
        match () {
            () if self.workers == 0 => WaitReason::NoWorker,
            () if self.large_enough == 0 => WaitReason::TooLarge,
            () if self.available > 0 && req.step.best_effort => WaitReason::Interference,
            () if self.available > 0 && req.needs_ticket => WaitReason::Ticket,
            () if self.available > 0 => WaitReason::SchedulingOrder,
            () if self.isolated > 0 => WaitReason::Isolation,
            () if self.reserved > 0 => WaitReason::Reserved,
            () if self.enough_capacity > 0 => WaitReason::PerWorkerLimit,
            () if self.enough_cpu > 0 => WaitReason::Memory,
            () if self.free_total >= req.step.size.cpu.saturating_mul(tasks as u64) => {
                WaitReason::Fragmented
            }
            () => WaitReason::Full,
        }
    }
}

impl Lead {
    /// Updates since when each step has had waiting tasks.
    pub(crate) fn update_waits(&mut self, now: Now) {
        if now.mono < self.waits_updated + UPDATE_INTERVAL {
            return;
        }
        self.waits_updated = now.mono;
        let mut waits = BTreeMap::new();
        for tasks in self.waiting.values() {
            let mut last = None;
            for task in tasks.iter() {
                let step = (task.occurrence, task.step);
                if last != Some(step) {
                    last = Some(step);
                    let id = task.step_id();
                    let since = self.waiting_since.get(&id).copied().unwrap_or(now.mono);
                    waits.insert(id, since);
                }
            }
        }
        self.waiting_since = waits;
        self.searched.retain(|id, _| self.waiting_since.contains_key(id));
    }

    /// Returns how long tasks of a step have waited, in milliseconds.
    pub(crate) fn waited(&self, id: &StepId, now: Now) -> Millis {
        self.waiting_since.get(id).map_or(0, |since| now.mono.saturating_sub(*since))
    }

    /// Returns the longest wait among the steps of a job, in milliseconds.
    pub(crate) fn longest_wait(&self, job: &Name, now: Now) -> Millis {
        let first = StepId { job: job.clone(), occurrence: 0, step: 0 };
        let of_job = self.waiting_since.range(first..).take_while(|(id, _)| id.job == *job);
        of_job.map(|(_, since)| now.mono.saturating_sub(*since)).max().unwrap_or(0)
    }

    /// Whether an inherited job's wait since `since` began under an earlier leader, so that its
    /// length is not known.
    pub(crate) fn wait_is_inherited(&self, job: &Job, since: Millis) -> bool {
        job.inherited && (!self.settled || since <= self.settled_at)
    }

    /// Returns the waiting tasks of a step and the reason; `None` if none wait.
    pub fn wait_status(&self, id: &StepId, now: Now) -> Option<WaitStatus> {
        let tasks = self.waiting.get(&id.job)?;
        let of_step = |task: &&TaskId| (task.occurrence, task.step) == (id.occurrence, id.step);
        let suspects = tasks.iter().filter(of_step).filter(|task| self.suspects.contains(*task));
        let suspects = suspects.count();
        // The reason of a task that may run anywhere is the one that would hold up the others, too.
        let free = |task: &&TaskId| of_step(task) && !self.suspects.contains(*task);
        let first = tasks.iter().find(free).or_else(|| tasks.iter().find(of_step))?;
        let tasks = tasks.iter().filter(of_step).count();
        let step = self.jobs.get(&id.job)?.step(first)?;
        let (size, waited) = (step.size, self.waited(id, now));
        let (reason, free_max, free_total) = self.explain_wait(first, tasks, now)?;
        Some(WaitStatus { tasks, suspects, size, waited, reason, free_max, free_total })
    }

    /// Returns why a task waits, and the largest and the total free CPU of the workers it may
    /// run on.
    fn explain_wait(&self, id: &TaskId, tasks: usize, now: Now) -> Option<(WaitReason, u64, u64)> {
        let req = self.requirements(id)?;
        let stored = self.durable_batch();
        let matching =
            self.workers.values().filter(|w| w.usable(stored, now.mono) && req.matches(w));
        let mut scan = CapacityScan::default();
        for worker in matching {
            let reserved = self.reserved(&worker.info.id, id, now);
            scan.add(worker, &req, reserved, self.may_share(id, worker, now));
        }
        let reason = match scan.reason(&req, tasks) {
            _ if scan.available + scan.isolated > 0 && self.is_held_for_earlier(id) => {
                WaitReason::Takeover
            }
            _ if scan.available > 0 && self.suspects.contains(id) => WaitReason::Isolation,
            reason => reason,
        };
        Some((reason, scan.free_max, scan.free_total))
    }

    /// Whether a task waits until the runs of earlier leaders are known.
    fn is_held_for_earlier(&self, id: &TaskId) -> bool {
        !self.settled && self.jobs.get(&id.job).is_some_and(|job| job.inherited)
    }

    /// Logs why the steps with the longest waits are waiting.
    pub(crate) fn report_waits(&self, now: Now) {
        let mut long: Vec<(Millis, &StepId)> =
            self.waiting_since.iter().map(|(id, since)| (*since, id)).collect();
        long.retain(|(since, _)| now.mono >= since + REPORT_THRESHOLD);
        if long.is_empty() {
            return;
        }
        long.sort_unstable();
        let steps = long.len();
        let order = self.scheduling_order(now);
        for (_, id) in long.into_iter().take(MAX_REPORTED_STEPS) {
            let (Some(wait), Some(job)) = (self.wait_status(id, now), self.jobs.get(&id.job))
            else {
                continue;
            };
            self.report_wait(id, job, &wait, &order, steps);
        }
    }

    fn report_wait(&self, id: &StepId, job: &Job, wait: &WaitStatus, order: &[Name], steps: usize) {
        let ahead = order.iter().position(|other| *other == id.job).unwrap_or(0);
        let first = order.first().cloned().unwrap_or_default();
        let kind =
            job.spec.steps.get(id.step as usize).map_or("", |step| TaskKind::of(step).label());
        event!(
            "waits",
            job = id.job,
            occ = id.occurrence,
            step = id.step,
            kind = kind,
            queue = job.queue.name,
            tasks = wait.tasks,
            suspects = wait.suspects,
            cpu = wait.size.cpu,
            memory = wait.size.memory,
            ms = wait.waited,
            why = wait.reason.label(),
            free_max = wait.free_max,
            free_total = wait.free_total,
            ahead = ahead,
            first = first,
            steps = steps
        );
    }
}
