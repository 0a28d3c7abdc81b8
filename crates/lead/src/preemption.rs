use std::collections::{BTreeMap, BTreeSet};

use base::{Millis, Name, Now, Size, event};
use job::{Step, StepId, TaskId};

use crate::{Lead, Run, RunState, Worker, load::TaskKind, pass::Class, search::Requirements};

/// Interval between preemption rounds, in milliseconds.
const ROUND_INTERVAL: Millis = 60;
/// Longest time for which a worker stays reserved, in milliseconds. Afterwards waiting
/// long-running tasks may use its capacity, so that none waits long while capacity is left
/// unused.
const RESERVATION_TIMEOUT: Millis = 1_000;
/// Share of the workers that may be reserved at a time.
const MAX_RESERVED_SHARE: f64 = 0.05;
/// Waiting time in milliseconds below which nothing is preempted for a task that will fit
/// once plain tasks complete.
const PREEMPTION_DELAY: Millis = 200;
/// Wait of a long-running task, in milliseconds, after which only one worker is reserved at a
/// time, so that free capacity is not withheld from it for long.
const STARVATION_THRESHOLD: Millis = 5_000;
/// Share of a long-running step's tasks that may be unavailable if the step sets no limit.
const MAX_UNAVAILABLE_SHARE: f64 = 0.25;
/// The same on behalf of a task that has waited for `LONG_WAIT` or more.
const LONG_WAIT_UNAVAILABLE_SHARE: f64 = 0.5;
/// Waiting time from which `LONG_WAIT_UNAVAILABLE_SHARE` applies, in milliseconds.
const LONG_WAIT: Millis = 6_000;
/// Limit of tasks preempted on one worker for one waiting task.
const MAX_PREEMPTIONS: usize = 3;

/// Reservation of a worker's capacity for a step.
#[derive(Debug, Clone)]
pub(crate) struct Reservation {
    step: StepId,
    until: Millis,
}

/// A step whose waiting tasks could not be placed.
#[derive(Debug)]
struct UnplacedStep {
    step: StepId,
    /// The first waiting task.
    first: TaskId,
    /// Number of waiting tasks for which no worker is reserved.
    tasks: usize,
    /// When the first of them was queued.
    since: Millis,
}

/// A long-running task that has started up.
#[derive(Debug, Clone)]
struct PreemptibleTask {
    task: TaskId,
    size: Size,
    priority: u32,
}

/// Preemptible tasks by worker, and how many more tasks of each step may be preempted.
#[derive(Debug, Clone, Default)]
struct PreemptionPool {
    by_worker: BTreeMap<Name, Vec<PreemptibleTask>>,
    allowance: BTreeMap<StepId, u32>,
    /// Sizes and priorities of tasks for which no preemptions suffice, by what else they ask for. The
    /// pool only shrinks, so that none will.
    hopeless: BTreeMap<Class, Vec<(Size, u32)>>,
    /// Bounds on the room that preemptions can make on one worker of a service with a label, or on any
    /// one of the service.
    most_room: BTreeMap<(Name, Option<Name>), Size>,
}

/// Preemptions on one worker that make a waiting task fit there.
#[derive(Debug)]
struct Plan {
    worker: Name,
    preempted: Vec<PreemptibleTask>,
    /// CPU of the preempted tasks, and CPU left free once the waiting task has started.
    cost: (u64, u64),
}

impl Lead {
    /// Whether a worker is reserved for a step other than that of the task.
    pub(crate) fn reserved(&self, worker: &Name, id: &TaskId, now: Now) -> bool {
        let Some(Reservation { step, until }) = self.reservations.get(worker) else { return false };
        now.mono < *until
            && (&step.job, step.occurrence, step.step) != (&id.job, id.occurrence, id.step)
    }

    /// Whether a worker is reserved for a step of a job.
    pub(crate) fn holds_reservation(&self, job: &Name, now: Now) -> bool {
        self.reservations.values().any(|r| r.step.job == *job && now.mono < r.until)
    }

    /// Preempts long-running tasks for plain tasks that cannot be placed, and reserves the
    /// workers meanwhile. A long-running task loses only the time of the move, whereas a
    /// plain task that waited for its completion would be late.
    pub(crate) fn preempt(&mut self, now: Now) {
        if now.mono < self.preemption_checked + ROUND_INTERVAL {
            return;
        }
        self.preemption_checked = now.mono;
        let reserved: Vec<Name> = self.reservations.keys().cloned().collect();
        for id in reserved {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.improved = true;
            }
        }
        let waiting = &self.waiting_since;
        // Expired reservations are kept for one more round, so that the worker is open to all
        // steps before it can be reserved again.
        self.reservations
            .retain(|_, r| now.mono < r.until + ROUND_INTERVAL && waiting.contains_key(&r.step));
        let max_reserved = match self.long_running_starved(now) {
            true => 1,
            false => (self.workers.len() as f64 * MAX_RESERVED_SHARE).ceil() as usize,
        };
        let unplaced = self.unplaced_steps(now);
        let waited_long = |step: &UnplacedStep| now.mono >= step.since + LONG_WAIT;
        let (long, other): (Vec<UnplacedStep>, Vec<UnplacedStep>) =
            unplaced.into_iter().partition(waited_long);
        self.preempt_for(&long, LONG_WAIT_UNAVAILABLE_SHARE, max_reserved, now);
        self.preempt_for(&other, MAX_UNAVAILABLE_SHARE, max_reserved, now);
    }

    /// Preempts for the given steps, with at most `share` of any long-running step
    /// unavailable and at most `max_reserved` workers reserved.
    fn preempt_for(&mut self, steps: &[UnplacedStep], share: f64, max_reserved: usize, now: Now) {
        if steps.is_empty() || self.reservations.len() >= max_reserved {
            return;
        }
        let mut pool = self.preemption_pool(share);
        for step in steps {
            let remaining = max_reserved.saturating_sub(self.reservations.len());
            for plan in self.plan_step(step, remaining, &mut pool, now) {
                self.apply_plan(plan, &step.step, now);
            }
        }
    }

    /// Whether a long-running task has waited too long for more than one reservation.
    fn long_running_starved(&self, now: Now) -> bool {
        self.waiting_since.iter().any(|(id, since)| {
            let Some(job) = self.jobs.get(&id.job) else { return false };
            let step = job.spec.steps.get(id.step as usize);
            let long = now.mono >= since + STARVATION_THRESHOLD;
            step.is_some_and(|step| step.long_running)
                && (long || self.wait_is_inherited(job, *since))
        })
    }

    /// Returns the steps of plain tasks that could not be placed, the longest wait first.
    fn unplaced_steps(&mut self, now: Now) -> Vec<UnplacedStep> {
        let settled = self.settled(now);
        let mut unplaced: Vec<UnplacedStep> = Vec::new();
        for (step, since) in &self.waiting_since {
            let (Some(job), Some(tasks)) = (self.jobs.get(&step.job), self.waiting.get(&step.job))
            else {
                continue;
            };
            let of_step =
                tasks.iter().filter(|t| (t.occurrence, t.step) == (step.occurrence, step.step));
            let mut of_step = of_step.filter(|task| !self.suspects.contains(task));
            let Some(first) = of_step.next() else { continue };
            let plain = job
                .step(first)
                .is_some_and(|s| TaskKind::of(s) == TaskKind::Plain && !s.long_running);
            if !plain || (job.inherited && !settled) {
                continue;
            }
            let reserved = self.reservations.values().filter(|r| r.step == *step).count();
            let tasks = (1 + of_step.count()).saturating_sub(reserved);
            let (step, first, since) = (step.clone(), first.clone(), *since);
            unplaced.push(UnplacedStep { step, first, tasks, since });
        }
        unplaced.sort_by(|a, b| (a.since, &a.step).cmp(&(b.since, &b.step)));
        unplaced
    }

    /// Returns the long-running tasks that may be preempted, and how many of each step, with
    /// at most `share` of the step unavailable.
    fn preemption_pool(&self, share: f64) -> PreemptionPool {
        let mut pool = PreemptionPool::default();
        for (name, worker) in &self.workers {
            let is_up = |run: &Run| run.state == RunState::Running && run.percent >= 100;
            let runs = worker.runs.iter().filter(|(_, run)| run.long_running && is_up(run));
            let preemptible = |(task, run): (&TaskId, &Run)| {
                let priority = self.jobs.get(&task.job)?.queue.priority;
                Some(PreemptibleTask { task: task.clone(), size: run.allocation(), priority })
            };
            let list: Vec<PreemptibleTask> = runs.filter_map(preemptible).collect();
            for one in &list {
                *pool.allowance.entry(one.task.step_id()).or_default() += 1;
            }
            pool.by_worker.insert(name.clone(), list);
        }
        pool.allowance.retain(|id, count| {
            let step = self.jobs.get(&id.job).and_then(|j| j.spec.steps.get(id.step as usize));
            *count = step.map_or(0, |step| max_preemptible(step, *count, share));
            *count > 0
        });
        pool
    }

    /// Plans preemptions for the tasks of a step on at most `max_workers` workers; for a
    /// gang, on all the workers it needs or on none.
    fn plan_step(
        &self,
        unplaced: &UnplacedStep,
        max_workers: usize,
        pool: &mut PreemptionPool,
        now: Now,
    ) -> Vec<Plan> {
        let job = self.jobs.get(&unplaced.step.job);
        let Some(job) = job.filter(|_| max_workers > 0) else { return Vec::new() };
        let Some(step) = job.step(&unplaced.first) else { return Vec::new() };
        let (gang, queue) = (step.gang, &job.queue);
        if unplaced.tasks == 0
            || gang && unplaced.tasks > max_workers
            || pool.is_hopeless(&queue.service, step, queue.priority)
            || !step.size.fits(self.most_room(pool, &queue.service, step.requires.as_ref(), now))
        {
            return Vec::new();
        }
        if now.mono < unplaced.since + PREEMPTION_DELAY
            && self.fits_after_completions(&unplaced.first, now)
        {
            return Vec::new();
        }
        let before = gang.then(|| pool.clone());
        let mut plans = Vec::new();
        while plans.len() < unplaced.tasks.min(max_workers)
            && let Some(plan) = self.best_plan(&unplaced.first, pool, now)
        {
            pool.take(&plan);
            plans.push(plan);
        }
        let none = plans.is_empty();
        if let Some(before) = before.filter(|_| plans.len() < unplaced.tasks) {
            *pool = before;
            plans.clear();
        }
        if none && !step.has_own_workers(queue.needs_ticket) {
            let class = Class::of(&queue.service, step, step.requires.as_ref());
            pool.hopeless.entry(class).or_default().push((step.size, queue.priority));
        }
        plans
    }

    /// Returns a bound on the room that preemptions can make on one worker of a service with a label,
    /// as the pool was when it was first asked for.
    fn most_room(
        &self,
        pool: &mut PreemptionPool,
        service: &Name,
        label: Option<&Name>,
        now: Now,
    ) -> Size {
        let group = (service.clone(), label.cloned());
        if let Some(most) = pool.most_room.get(&group) {
            return *most;
        }
        let stored = self.durable_batch();
        let mut most = Size::ZERO;
        for (name, list) in &pool.by_worker {
            let Some(worker) = self.workers.get(name) else { continue };
            let matches = worker.info.service == *service
                && label.is_none_or(|label| worker.info.labels.contains(label));
            if matches && worker.usable(stored, now.mono) {
                let preemptible =
                    list.iter().filter(|one| pool.allowance.contains_key(&one.task.step_id()));
                most = most.max(preemptible.fold(worker.free(), |room, one| room.plus(one.size)));
            }
        }
        pool.most_room.insert(group, most);
        most
    }

    /// Whether a task would fit on some worker once the plain tasks there have completed.
    fn fits_after_completions(&self, id: &TaskId, now: Now) -> bool {
        let Some(req) = self.requirements(id) else { return false };
        let stored = self.durable_batch();
        self.workers.values().any(|worker| {
            let plain = worker.runs.values().filter(|run| !run.long_running && !run.best_effort);
            let kept = plain.fold(worker.used, |used, run| used.minus(run.allocation()));
            let free = worker.info.size.minus(kept);
            let open = worker.usable(stored, now.mono) && !self.reserved(&worker.info.id, id, now);
            open && req.matches(worker) && req.under_limit(worker) && req.step.size.fits(free)
        })
    }

    /// Returns the plan with the lowest cost for a task.
    fn best_plan(&self, id: &TaskId, pool: &PreemptionPool, now: Now) -> Option<Plan> {
        let req = self.requirements(id)?;
        let priority = self.jobs.get(&id.job)?.queue.priority;
        let stored = self.durable_batch();
        let plans = pool.by_worker.iter().filter_map(|(name, list)| {
            let worker = self.workers.get(name)?;
            self.evaluated.set(self.evaluated.get() + 1);
            let usable = worker.usable(stored, now.mono) && !self.reservations.contains_key(name);
            let open = usable && (!req.needs_ticket || self.ticket(id, name, now).is_some());
            if !open || !req.matches(worker) || !req.under_limit(worker) {
                return None;
            }
            plan_on_worker(worker, &req, list, &pool.allowance, priority)
        });
        plans.min_by_key(|plan| plan.cost)
    }

    /// Reserves a worker for a step and stops the tasks to be preempted.
    fn apply_plan(&mut self, plan: Plan, step: &StepId, now: Now) {
        let Plan { worker, preempted, cost } = plan;
        event!(
            "make_room",
            worker = worker,
            job = step.job,
            step = step.step,
            waited = self.waited(step, now),
            moves = preempted.len(),
            cpu = cost.0
        );
        metrics::counter!("tasks_moved").increment(preempted.len() as u64);
        let until = now.mono + RESERVATION_TIMEOUT;
        self.reservations.insert(worker.clone(), Reservation { step: step.clone(), until });
        for PreemptibleTask { task, .. } in preempted {
            self.stop(&worker, &task, "makes_room");
        }
    }
}

impl PreemptionPool {
    /// Whether no preemptions make room for a task of a step, since none did for one that needed no
    /// more and could preempt as many.
    fn is_hopeless(&self, service: &Name, step: &Step, priority: u32) -> bool {
        let covers = |label: Option<&Name>| {
            let failed = self.hopeless.get(&Class::of(service, step, label));
            failed.is_some_and(|failed| {
                failed.iter().any(|(size, other)| size.fits(step.size) && *other <= priority)
            })
        };
        covers(None) || step.requires.as_ref().is_some_and(|label| covers(Some(label)))
    }

    /// Removes the worker and the tasks used by a plan.
    fn take(&mut self, plan: &Plan) {
        self.by_worker.remove(&plan.worker);
        for one in &plan.preempted {
            let step = one.task.step_id();
            let left = self.allowance.get(&step).map_or(0, |left| left - 1);
            match left {
                0 => self.allowance.remove(&step),
                _ => self.allowance.insert(step, left),
            };
        }
    }
}

/// Returns how many tasks of a long-running step may be preempted while `available` of them
/// are up. If the step sets no limit, its only task is never preempted.
fn max_preemptible(step: &Step, available: u32, share: f64) -> u32 {
    let part = (f64::from(step.count) * share) as u32;
    let max_unavailable = match step.max_unavailable {
        0 => part.max(1).min(step.count.saturating_sub(1)),
        limit => limit,
    };
    max_unavailable.saturating_sub(step.count.saturating_sub(available))
}

/// Chooses the tasks to preempt on a worker: the smallest one that suffices alone, otherwise
/// the largest ones in turn, at most one of each step.
fn plan_on_worker(
    worker: &Worker,
    req: &Requirements<'_>,
    list: &[PreemptibleTask],
    allowance: &BTreeMap<StepId, u32>,
    priority: u32,
) -> Option<Plan> {
    let may_preempt = |one: &&PreemptibleTask| {
        one.priority >= priority && allowance.contains_key(&one.task.step_id())
    };
    let mut candidates: Vec<&PreemptibleTask> = list.iter().filter(may_preempt).collect();
    let mut steps = BTreeSet::new();
    let (total, size) = (worker.info.size, req.step.size);
    // The runs on a worker that has shrunk may take up more than its size.
    let fits_beside = |used: Size| used.fits(total) && size.fits(total.minus(used));
    let mut used = worker.used;
    let mut preempted: Vec<PreemptibleTask> = Vec::new();
    while !fits_beside(used) {
        if preempted.len() >= MAX_PREEMPTIONS {
            return None;
        }
        let enough = |one: &&&PreemptibleTask| fits_beside(used.minus(one.size));
        let one = candidates.iter().filter(enough).min_by_key(|one| one.size.cpu);
        let one = (*one.or_else(|| candidates.iter().max_by_key(|one| one.size.cpu))?).clone();
        steps.insert(one.task.step_id());
        candidates.retain(|other| !steps.contains(&other.task.step_id()));
        used = used.minus(one.size);
        preempted.push(one);
    }
    let cpu = preempted.iter().map(|one| one.size.cpu).sum();
    let leftover = total.minus(used).cpu - size.cpu;
    Some(Plan { worker: worker.info.id.clone(), preempted, cost: (cpu, leftover) })
}
