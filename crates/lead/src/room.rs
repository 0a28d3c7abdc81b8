use std::collections::{BTreeMap, BTreeSet};

use base::{Millis, Name, Now, Size, event};
use job::{Step, StepId, TaskId};

use crate::{Lead, Run, RunState, Worker, load::Kind, search::Need};

/// Time between two looks at what needs room.
const PERIOD: Millis = 60;
/// Longest time for which a worker is reserved. Lasting tasks that wait may take the room
/// afterwards, so that none waits for long beside room that nothing uses.
const RESERVED: Millis = 1_000;
/// Part of the workers that may be reserved at a time.
const RESERVED_MOST: f64 = 0.05;
/// Wait up to which nothing is moved for a task that would fit where plain ones end.
const PATIENCE: Millis = 200;
/// Wait of a lasting task from which only one worker is reserved at a time, so that what is
/// free is never kept from it for long.
const STRAINED: Millis = 5_000;
/// Part of a lasting step that may be away where its caller names no limit.
const AWAY_MOST: f64 = 0.25;
/// The same for the sake of a task that has waited for long.
const AWAY_LONG: f64 = 0.5;
/// Wait from which that holds.
const LONG: Millis = 6_000;
/// Tasks that are moved for one that waits, at most.
const MOVES_MOST: usize = 3;

/// A worker whose room is kept for a step.
#[derive(Debug, Clone)]
pub(crate) struct Reservation {
    step: StepId,
    until: Millis,
}

/// A step whose tasks find no place.
#[derive(Debug)]
struct Short {
    step: StepId,
    /// A task that waits.
    first: TaskId,
    /// Tasks that wait and for which no worker is reserved.
    tasks: usize,
    /// When the first of them was queued.
    since: Millis,
}

/// A lasting task that is at work.
#[derive(Debug, Clone)]
struct Movable {
    task: TaskId,
    size: Size,
    priority: u32,
}

/// Lasting tasks by worker, and how many more of each step may be moved.
#[derive(Debug, Clone, Default)]
struct Movables {
    on: BTreeMap<Name, Vec<Movable>>,
    left: BTreeMap<StepId, u32>,
}

/// How room for a task is made on a worker.
#[derive(Debug)]
struct Plan {
    worker: Name,
    moves: Vec<Movable>,
    /// Processors of the tasks that are moved, and those left over.
    cost: (u64, u64),
}

impl Lead {
    /// Whether the room of a worker is kept for another step.
    pub(crate) fn reserved(&self, worker: &Name, id: &TaskId, now: Now) -> bool {
        let Some(Reservation { step, until }) = self.reserved.get(worker) else { return false };
        now.mono < *until && (&step.job, step.occ, step.step) != (&id.job, id.occ, id.step)
    }

    /// Makes room for plain tasks that find no place: lasting tasks are moved off a
    /// worker, which is reserved meanwhile. A lasting task loses the moments of the move, a
    /// plain one that waits for its end would be late.
    pub(crate) fn make_room(&mut self, now: Now) {
        if now.mono < self.room_made + PERIOD {
            return;
        }
        self.room_made = now.mono;
        let waits = &self.waits;
        // A worker that was reserved is open for one round before it is reserved again.
        self.reserved.retain(|_, r| now.mono < r.until + PERIOD && waits.contains_key(&r.step));
        let most = match self.strained(now) {
            true => 1,
            false => (self.workers.len() as f64 * RESERVED_MOST).ceil() as usize,
        };
        let short = self.short_steps(now);
        let is_long = |short: &Short| now.mono >= short.since + LONG;
        let (long, other): (Vec<Short>, Vec<Short>) = short.into_iter().partition(is_long);
        self.make_room_for(&long, AWAY_LONG, most, now);
        self.make_room_for(&other, AWAY_MOST, most, now);
    }

    /// Makes room for some steps, with so large a part of any lasting step away and so
    /// many workers reserved at the most.
    fn make_room_for(&mut self, short: &[Short], away: f64, most: usize, now: Now) {
        if short.is_empty() || self.reserved.len() >= most {
            return;
        }
        let mut movables = self.movables(away);
        for short in short {
            let left = most.saturating_sub(self.reserved.len());
            for plan in self.plans(short, left, &mut movables, now) {
                self.reserve_room(plan, &short.step, now);
            }
        }
    }

    /// Whether a lasting task has waited for long.
    fn strained(&self, now: Now) -> bool {
        let lasting = |id: &StepId| {
            let step = self.jobs.get(&id.job).and_then(|j| j.spec.steps.get(id.step as usize));
            step.is_some_and(|step| step.lasting)
        };
        self.waits.iter().any(|(id, since)| now.mono >= since + STRAINED && lasting(id))
    }

    /// Steps of plain tasks that find no place, the longest wait first.
    fn short_steps(&mut self, now: Now) -> Vec<Short> {
        let settled = self.settled(now);
        let mut short: Vec<Short> = Vec::new();
        for (step, since) in &self.waits {
            let (Some(job), Some(tasks)) = (self.jobs.get(&step.job), self.waiting.get(&step.job))
            else {
                continue;
            };
            let mut of_step = tasks.iter().filter(|t| (t.occ, t.step) == (step.occ, step.step));
            let Some(first) = of_step.next() else { continue };
            let plain = job.step(first).is_some_and(|s| Kind::of(s) == Kind::Plain && !s.lasting);
            if !plain || (job.inherited && !settled) {
                continue;
            }
            let reserved = self.reserved.values().filter(|r| r.step == *step).count();
            let tasks = (1 + of_step.count()).saturating_sub(reserved);
            let (step, first, since) = (step.clone(), first.clone(), *since);
            short.push(Short { step, first, tasks, since });
        }
        short.sort_by(|a, b| (a.since, &a.step).cmp(&(b.since, &b.step)));
        short
    }

    /// Lasting tasks that are at work, by worker, and how many of each step may be
    /// moved now with such a part of it away at the most.
    fn movables(&self, away: f64) -> Movables {
        let mut movables = Movables::default();
        for (name, worker) in &self.workers {
            let at_work = |run: &Run| run.state == RunState::Running && run.percent >= 100;
            let runs = worker.runs.iter().filter(|(_, run)| run.lasting && at_work(run));
            let movable = |(task, run): (&TaskId, &Run)| {
                let priority = self.jobs.get(&task.job)?.queue.priority;
                Some(Movable { task: task.clone(), size: run.size, priority })
            };
            let list: Vec<Movable> = runs.filter_map(movable).collect();
            for one in &list {
                *movables.left.entry(one.task.step_id()).or_default() += 1;
            }
            movables.on.insert(name.clone(), list);
        }
        movables.left.retain(|id, count| {
            let step = self.jobs.get(&id.job).and_then(|j| j.spec.steps.get(id.step as usize));
            *count = step.map_or(0, |step| may_move(step, *count, away));
            *count > 0
        });
        movables
    }

    /// How room is made for the tasks of a step, on so many workers at most; for a
    /// gang on all that it needs or none.
    fn plans(&self, short: &Short, most: usize, movables: &mut Movables, now: Now) -> Vec<Plan> {
        let job = self.jobs.get(&short.step.job);
        let gang = job.and_then(|job| job.step(&short.first)).is_some_and(|step| step.gang);
        if gang && short.tasks > most {
            return Vec::new();
        }
        if now.mono < short.since + PATIENCE && self.comes_free(&short.first, now) {
            return Vec::new();
        }
        let before = gang.then(|| movables.clone());
        let mut plans = Vec::new();
        while plans.len() < short.tasks.min(most)
            && let Some(plan) = self.plan(&short.first, movables, now)
        {
            movables.take(&plan);
            plans.push(plan);
        }
        if let Some(before) = before.filter(|_| plans.len() < short.tasks) {
            *movables = before;
            plans.clear();
        }
        plans
    }

    /// Whether a task would fit on a worker once the plain tasks there have ended.
    fn comes_free(&self, id: &TaskId, now: Now) -> bool {
        let Some(need) = self.need(id) else { return false };
        let stored = self.stored();
        self.workers.values().any(|worker| {
            let ends = worker.runs.values().filter(|run| !run.lasting && !run.fills);
            let free = ends.fold(worker.free(), |free, run| free.plus(run.size));
            let open = worker.usable(stored, now.mono) && !self.reserved(&worker.entry.id, id, now);
            open && need.suits(worker) && need.apart(worker) && need.step.size.fits(free)
        })
    }

    /// The worker on which room for a task is made at the least cost.
    fn plan(&self, id: &TaskId, movables: &Movables, now: Now) -> Option<Plan> {
        let need = self.need(id)?;
        let priority = self.jobs.get(&id.job)?.queue.priority;
        let stored = self.stored();
        let plans = movables.on.iter().filter_map(|(name, list)| {
            let worker = self.workers.get(name)?;
            let usable = worker.usable(stored, now.mono) && !self.reserved.contains_key(name);
            let open = usable && (!need.advised || self.ticket(id, name, now).is_some());
            if !open || !need.suits(worker) || !need.apart(worker) {
                return None;
            }
            plan_on(worker, &need, list, &movables.left, priority)
        });
        plans.min_by_key(|plan| plan.cost)
    }

    /// Reserves a worker for a step and moves what is in the way.
    fn reserve_room(&mut self, plan: Plan, step: &StepId, now: Now) {
        let Plan { worker, moves, cost } = plan;
        event!(
            "make_room",
            worker = worker,
            job = step.job,
            step = step.step,
            waited = self.waited(step, now),
            moves = moves.len(),
            cpu = cost.0
        );
        metrics::counter!("tasks_moved").increment(moves.len() as u64);
        let until = now.mono + RESERVED;
        self.reserved.insert(worker.clone(), Reservation { step: step.clone(), until });
        for Movable { task, .. } in moves {
            self.stop(&worker, &task, "makes_room");
        }
    }
}

impl Movables {
    /// Takes out what a plan uses.
    fn take(&mut self, plan: &Plan) {
        self.on.remove(&plan.worker);
        for one in &plan.moves {
            let step = one.task.step_id();
            let left = self.left.get(&step).map_or(0, |left| left - 1);
            match left {
                0 => self.left.remove(&step),
                _ => self.left.insert(step, left),
            };
        }
    }
}

/// Tasks of a lasting step that may be moved while so many are at work. The only task
/// of a step stays.
fn may_move(step: &Step, works: u32, away: f64) -> u32 {
    let part = (f64::from(step.count) * away) as u32;
    let most = match step.unavailable {
        0 => part.max(1).min(step.count.saturating_sub(1)),
        limit => limit,
    };
    most.saturating_sub(step.count.saturating_sub(works))
}

/// The tasks that have to leave a worker so that one fits: the smallest that does
/// alone, else the largest and so on, one of a step.
fn plan_on(
    worker: &Worker,
    need: &Need<'_>,
    list: &[Movable],
    left: &BTreeMap<StepId, u32>,
    priority: u32,
) -> Option<Plan> {
    let may = |one: &&Movable| one.priority >= priority && left.contains_key(&one.task.step_id());
    let mut open: Vec<&Movable> = list.iter().filter(may).collect();
    let mut steps = BTreeSet::new();
    let (mut free, size) = (worker.free(), need.step.size);
    let mut moves: Vec<Movable> = Vec::new();
    while !size.fits(free) {
        if moves.len() >= MOVES_MOST {
            return None;
        }
        let enough = |one: &&&Movable| size.fits(free.plus(one.size));
        let one = open.iter().filter(enough).min_by_key(|one| one.size.cpu);
        let one = (*one.or_else(|| open.iter().max_by_key(|one| one.size.cpu))?).clone();
        steps.insert(one.task.step_id());
        open.retain(|other| !steps.contains(&other.task.step_id()));
        free = free.plus(one.size);
        moves.push(one);
    }
    let cpu = moves.iter().map(|one| one.size.cpu).sum();
    let left = free.cpu - size.cpu;
    Some(Plan { worker: worker.entry.id.clone(), moves, cost: (cpu, left) })
}
