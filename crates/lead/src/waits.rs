use std::collections::BTreeMap;

use base::{Millis, Name, Now, Size, event};
use job::{Job, StepId, TaskId};

use crate::{Lead, Worker, load::Kind, search::Need};

/// Time between two looks at what waits.
const PERIOD: Millis = 50;
/// Wait from which a step is reported.
const LONG: Millis = 1_000;
/// Steps reported at a time, those that have waited longest.
const MAX_LINES: usize = 12;

/// Why the tasks of a step wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Why {
    /// No usable worker is of the service and has the label.
    NoWorker,
    /// No worker is large enough, however idle.
    TooLarge,
    /// Every worker with room has as many tasks of the step as it may have.
    Apart,
    /// Processors would do, memory or accelerators do not.
    Memory,
    /// The free pieces would do together; none is large enough.
    Scattered,
    /// What is free does not suffice for what waits.
    Full,
    /// There is a place, but a task that serves would miss its target.
    Harm,
    /// There is a place, but the policy of the queue has not allowed it yet.
    Ticket,
    /// There is a place, but it is reserved for a step that has waited longer.
    Reserved,
    /// There is a place; others go first.
    Order,
}

impl Why {
    fn word(self) -> &'static str {
        match self {
            Why::NoWorker => "no_worker",
            Why::TooLarge => "too_large",
            Why::Apart => "apart",
            Why::Memory => "memory",
            Why::Scattered => "scattered",
            Why::Full => "full",
            Why::Harm => "harm",
            Why::Ticket => "ticket",
            Why::Reserved => "reserved",
            Why::Order => "order",
        }
    }
}

/// Tasks of a step that wait, and what keeps them.
#[derive(Debug, Clone, PartialEq)]
pub struct Wait {
    /// Tasks that wait.
    pub tasks: usize,
    /// Size of one.
    pub size: Size,
    /// Time since the first of them was queued.
    pub waited: Millis,
    /// Reason.
    pub why: Why,
    /// Largest free piece of a worker that they may run on, in thousandths of a core.
    pub largest: u64,
    /// All free pieces of such workers, in thousandths of a core.
    pub room: u64,
}

/// What the workers offer that a task may run on.
#[derive(Debug, Default)]
struct Seen {
    workers: usize,
    /// Workers that are large enough, however idle.
    whole: usize,
    /// Workers with enough free processors.
    wide: usize,
    /// Workers with enough of everything.
    roomy: usize,
    /// Places that are reserved for others.
    reserved: usize,
    /// Places for the task.
    places: usize,
    largest: u64,
    room: u64,
}

impl Seen {
    fn look(&mut self, worker: &Worker, need: &Need<'_>, reserved: bool) {
        let piece = worker.piece(need.step.fills);
        self.workers += 1;
        self.whole += usize::from(need.step.size.fits(worker.entry.size));
        self.wide += usize::from(need.step.size.cpu <= piece);
        self.roomy += usize::from(need.has_room(worker));
        let place = need.allowed(worker);
        self.reserved += usize::from(place && reserved);
        self.places += usize::from(place && !reserved);
        self.largest = self.largest.max(piece);
        self.room += piece;
    }

    fn why(&self, need: &Need<'_>, tasks: usize) -> Why {
        match () {
            () if self.workers == 0 => Why::NoWorker,
            () if self.whole == 0 => Why::TooLarge,
            () if self.places > 0 && need.step.fills => Why::Harm,
            () if self.places > 0 && need.advised => Why::Ticket,
            () if self.places > 0 => Why::Order,
            () if self.reserved > 0 => Why::Reserved,
            () if self.roomy > 0 => Why::Apart,
            () if self.wide > 0 => Why::Memory,
            () if self.room >= need.step.size.cpu * tasks as u64 => Why::Scattered,
            () => Why::Full,
        }
    }
}

impl Lead {
    /// Notes since when the tasks of each step have waited.
    pub(crate) fn note_waits(&mut self, now: Now) {
        if now.mono < self.waits_noted + PERIOD {
            return;
        }
        self.waits_noted = now.mono;
        let mut waits = BTreeMap::new();
        for tasks in self.waiting.values() {
            let mut last = None;
            for task in tasks.iter() {
                let step = (task.occ, task.step);
                if last != Some(step) {
                    last = Some(step);
                    let id = task.step_id();
                    let since = self.waits.get(&id).copied().unwrap_or(now.mono);
                    waits.insert(id, since);
                }
            }
        }
        self.waits = waits;
    }

    /// Time for which tasks of a step have waited.
    pub(crate) fn waited(&self, id: &StepId, now: Now) -> Millis {
        self.waits.get(id).map_or(0, |since| now.mono.saturating_sub(*since))
    }

    /// Longest time for which a task of a job has waited.
    pub(crate) fn longest_wait(&self, job: &Name, now: Now) -> Millis {
        let first = StepId { job: job.clone(), occ: 0, step: 0 };
        let of_job = self.waits.range(first..).take_while(|(id, _)| id.job == *job);
        of_job.map(|(_, since)| now.mono.saturating_sub(*since)).max().unwrap_or(0)
    }

    /// Why the tasks of a step wait; `None` where none does.
    pub fn wait(&self, id: &StepId, now: Now) -> Option<Wait> {
        let tasks = self.waiting.get(&id.job)?;
        let of_step = |task: &&TaskId| (task.occ, task.step) == (id.occ, id.step);
        let first = tasks.iter().find(of_step)?;
        let tasks = tasks.iter().filter(of_step).count();
        let step = self.jobs.get(&id.job)?.step(first)?;
        let (size, waited) = (step.size, self.waited(id, now));
        let (why, largest, room) = self.keeps(first, tasks, now)?;
        Some(Wait { tasks, size, waited, why, largest, room })
    }

    /// What keeps a task from starting, the largest piece and the whole room of
    /// the workers that it may run on.
    fn keeps(&self, id: &TaskId, tasks: usize, now: Now) -> Option<(Why, u64, u64)> {
        let need = self.need(id)?;
        let stored = self.stored();
        let able = self.workers.values().filter(|w| w.usable(stored, now.mono) && need.suits(w));
        let mut seen = Seen::default();
        for worker in able {
            seen.look(worker, &need, self.reserved(&worker.entry.id, id, now));
        }
        Some((seen.why(&need, tasks), seen.largest, seen.room))
    }

    /// Logs why the steps wait that have waited longest.
    pub(crate) fn report_waits(&self, now: Now) {
        let mut long: Vec<(Millis, &StepId)> =
            self.waits.iter().map(|(id, since)| (*since, id)).collect();
        long.retain(|(since, _)| now.mono >= since + LONG);
        if long.is_empty() {
            return;
        }
        long.sort_unstable();
        let steps = long.len();
        let order = self.order(now);
        for (_, id) in long.into_iter().take(MAX_LINES) {
            let (Some(wait), Some(job)) = (self.wait(id, now), self.jobs.get(&id.job)) else {
                continue;
            };
            self.report_wait(id, job, &wait, &order, steps);
        }
    }

    fn report_wait(&self, id: &StepId, job: &Job, wait: &Wait, order: &[Name], steps: usize) {
        let ahead = order.iter().position(|other| *other == id.job).unwrap_or(0);
        let first = order.first().cloned().unwrap_or_default();
        let kind = job.spec.steps.get(id.step as usize).map_or("", |step| Kind::of(step).word());
        event!(
            "waits",
            job = id.job,
            occ = id.occ,
            step = id.step,
            kind = kind,
            queue = job.queue.name,
            tasks = wait.tasks,
            cpu = wait.size.cpu,
            memory = wait.size.memory,
            ms = wait.waited,
            why = wait.why.word(),
            largest = wait.largest,
            room = wait.room,
            ahead = ahead,
            first = first,
            steps = steps
        );
    }
}
