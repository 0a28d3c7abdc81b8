use std::{collections::BTreeMap, ops::Bound};

use base::{Name, Now, Size, event};
use job::{Step, TaskId};
use port::Start;

use crate::{Lead, Order, Run, Worker, load::Kind, pass::Pass};

/// Starts decided in one pass.
const MAX_STARTS: usize = 200;
/// Weight of idle processors against images that are alike, for tasks that serve.
const IDLE_WEIGHT: f64 = 0.3;
/// Weight of a worker that has failed the task before.
const AVOID_WEIGHT: f64 = 2.0;
/// Weight of harm against idle processors.
const HARM_WEIGHT: f64 = 1.0;
/// Part of the processors of tasks that serve which they leave idle.
const SERVING_IDLE: f64 = 0.5;

/// Workers with room that are compared for one task.
const MAX_CANDIDATES: usize = 96;

/// What a place is sought for.
struct Need<'a> {
    step: &'a Step,
    service: &'a Name,
    avoid: Option<&'a Name>,
    /// Workers that have a task of the step already, as often as they have one.
    beside: &'a [Name],
}

impl Lead {
    /// Starts the tasks that wait where there is room for them.
    pub(crate) fn place(&mut self, now: Now) {
        let settled = self.settled(now);
        let mut pass = Pass::default();
        for id in self.order(now) {
            if pass.starts >= MAX_STARTS {
                return;
            }
            if !settled && self.jobs.get(&id).is_some_and(|job| job.inherited) {
                continue;
            }
            if self.blocked(&id, &pass) {
                continue;
            }
            let tasks = self.waiting.remove(&id).unwrap_or_default();
            let left = self.place_job(tasks, &mut pass, now);
            if !left.is_empty() {
                self.waiting.insert(id, left);
            }
        }
    }

    /// Whether no task that waits of a job can find a place in this pass.
    fn blocked(&self, id: &Name, pass: &Pass) -> bool {
        let (Some(job), Some(tasks)) = (self.jobs.get(id), self.waiting.get(id)) else {
            return false;
        };
        let mut steps: Vec<u32> = tasks.iter().map(|task| task.step).collect();
        steps.dedup();
        steps.iter().all(|step| pass.blocks(&job.queue.service, &job.spec.steps[*step as usize]))
    }

    /// Starts tasks of one job; returns those left.
    fn place_job(&mut self, tasks: Vec<TaskId>, pass: &mut Pass, now: Now) -> Vec<TaskId> {
        let mut left = Vec::new();
        let mut full: Option<u32> = None;
        let mut gangs: BTreeMap<(u32, u32), Vec<TaskId>> = BTreeMap::new();
        for id in tasks {
            let open =
                self.jobs.get(&id.job).and_then(|job| job.task(&id)).is_some_and(|t| t.queued);
            if !open {
                continue;
            }
            let gang = self.jobs.get(&id.job).and_then(|job| job.step(&id)).is_some_and(|s| s.gang);
            if gang {
                gangs.entry((id.occ, id.step)).or_default().push(id);
                continue;
            }
            // Tasks of one step are alike: where one finds no place, none does.
            if full == Some(id.step) {
                left.push(id);
                continue;
            }
            match self.find(&id, now) {
                Some(worker) => {
                    self.start(&id, &worker, now);
                    pass.starts += 1;
                }
                None => {
                    self.find_failed(&id, pass, now);
                    full = Some(id.step);
                    left.push(id);
                }
            }
        }
        for members in gangs.into_values() {
            if self.place_gang(&members, now) {
                pass.starts += members.len();
            } else {
                self.find_failed(&members[0], pass, now);
                left.extend(members);
            }
        }
        left
    }

    /// Notes that a task finds no place, and asks for a ticket where it needs one.
    fn find_failed(&mut self, id: &TaskId, pass: &mut Pass, now: Now) {
        let Some(job) = self.jobs.get(&id.job) else { return };
        if let Some(step) = job.step(id) {
            pass.note(&job.queue.service, step, job.queue.advised);
        }
        if self.advised(id) {
            self.want_ticket(id, now);
        }
    }

    /// The best worker for a task.
    fn find(&self, id: &TaskId, now: Now) -> Option<Name> {
        self.find_where(id, now, &|_, _| true)
    }

    /// The best worker for a task among those that `open` lets through, given
    /// their identifier and what is free on them.
    pub(crate) fn find_where(
        &self,
        id: &TaskId,
        now: Now,
        open: &dyn Fn(&Name, Size) -> bool,
    ) -> Option<Name> {
        let job = self.jobs.get(&id.job)?;
        let step = job.step(id)?;
        let task = job.task(id)?;
        let siblings = &job.open.get(&id.occ)?.steps[id.step as usize].tasks;
        let beside: Vec<Name> = siblings.iter().flat_map(|t| t.on.iter().cloned()).collect();
        let need =
            Need { step, service: &job.queue.service, avoid: task.avoid.as_ref(), beside: &beside };
        let stored = self.stored();
        let harms: BTreeMap<&Name, f64> = self
            .learn
            .serving()
            .map(|serves| (serves, self.learn.harm(serves, &step.image)))
            .collect();
        let harm = |serves: &Name| match harms.get(serves) {
            Some(harm) => *harm,
            None => self.learn.harm(serves, &step.image),
        };
        // The search goes on where the last one ended, so that a part of a large
        // fleet is looked at each time.
        let from = self.searched.clone();
        let after = self.workers.range::<Name, _>((Bound::Excluded(&from), Bound::Unbounded));
        let before = self.workers.range::<Name, _>((Bound::Unbounded, Bound::Included(&from)));
        let usable = after.chain(before).map(|(_, w)| w).filter(|w| w.usable(stored, now.mono));
        let advised = job.queue.advised;
        let open = usable.filter(|w| open(&w.entry.id, w.free()));
        let open = open.filter(|w| !advised || self.ticket(id, &w.entry.id, now).is_some());
        let fits = open.filter(|w| need.allowed(w));
        let scored = fits.filter_map(|w| self.score(&need, w, &harm, now).map(|score| (score, w)));
        let scored = scored.take(MAX_CANDIDATES);
        let best = scored.max_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(_, worker)| worker.entry.id.clone())
    }

    /// Workers on which a task would fit but for the policy of its queue.
    pub(crate) fn fitting(&self, id: &TaskId, now: Now) -> Vec<Name> {
        let Some(job) = self.jobs.get(&id.job) else { return Vec::new() };
        let Some(step) = job.step(id) else { return Vec::new() };
        let need = Need { step, service: &job.queue.service, avoid: None, beside: &[] };
        let stored = self.stored();
        let usable = self.workers.values().filter(|w| w.usable(stored, now.mono));
        usable.filter(|w| need.allowed(w)).map(|w| w.entry.id.clone()).collect()
    }

    /// How good a place is, more is better; `None` where the task would harm what
    /// serves there.
    fn score(
        &self,
        need: &Need<'_>,
        worker: &Worker,
        harm: &dyn Fn(&Name) -> f64,
        now: Now,
    ) -> Option<f64> {
        let step = need.step;
        let cpu = worker.entry.size.cpu.max(1) as f64;
        let avoided = f64::from(need.avoid == Some(&worker.entry.id));
        let far = self.bounds.remote
            * f64::from(step.affinity.as_ref().is_some_and(|r| Some(r) != worker.rack()));
        let taken = worker.used.cpu + worker.filled + step.size.cpu;
        let idle = (cpu - taken as f64) / cpu;
        let fit = if step.target > 0 {
            worker.likeness(&step.image) + IDLE_WEIGHT * idle
        } else if step.fills {
            let unseen = |serves: &Name, fills: &Name| self.learn.harm(serves, fills);
            let (well, harm) = Lead::harm(worker, step.size.cpu, harm, &unseen, now);
            if !well {
                return None;
            }
            idle - HARM_WEIGHT * harm
        } else {
            idle
        };
        Some(fit - AVOID_WEIGHT * avoided - far - worker.slowness)
    }

    /// Orders a run of a task on a worker.
    fn start(&mut self, id: &TaskId, worker: &Name, now: Now) {
        let no = self.next_run();
        let saved = self.jobs.get(&id.job).and_then(|job| job.task(id)).map(|t| t.saved.clone());
        self.start_run(id, worker, no, saved.unwrap_or_default(), now);
    }

    /// Orders the run of a number, resumed from a checkpoint.
    pub(crate) fn start_run(&mut self, id: &TaskId, worker: &Name, no: u64, saved: Name, now: Now) {
        let (token, lease) = (self.epoch, self.bounds.lease);
        let ticket = self.ticket(id, worker, now).unwrap_or_default();
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let Some(step) = job.step(id).cloned() else { return };
        let text = job.spec.text.clone();
        let Some(task) = job.task_mut(id) else { return };
        task.queued = false;
        task.on.push(worker.clone());
        self.searched = worker.clone();
        let Some(entry) = self.workers.get_mut(worker) else { return };
        let clock = entry.clock_now(now.mono).unwrap_or(0);
        let deadline = clock + lease;
        entry.deadline = entry.deadline.max(deadline);
        entry.add(id.clone(), Run::ordered(no, &step, now.mono));
        let start = Start { task: id.clone(), run: no, text, deadline, token, saved, ticket };
        self.orders.push(Order::Start(entry.peer(), start));
        event!(
            "start",
            task = id,
            worker = worker,
            run = no,
            token = token,
            free_cpu = entry.free().cpu,
            filled = entry.filled,
            image = step.image,
            kind = Kind::of(&step).word(),
            age = now.mono.saturating_sub(entry.answered)
        );
    }
}

impl Need<'_> {
    /// Whether the task may run on a worker and fits.
    fn allowed(&self, worker: &Worker) -> bool {
        let step = self.step;
        if worker.entry.service != *self.service {
            return false;
        }
        if step.requires.as_ref().is_some_and(|label| !worker.entry.labels.contains(label)) {
            return false;
        }
        let here = self.beside.iter().filter(|id| **id == worker.entry.id).count();
        if step.per_worker > 0 && here >= step.per_worker as usize {
            return false;
        }
        if step.fills {
            let room = worker.fill_room();
            let memory = Size { cpu: 0, ..step.size };
            return memory.fits(worker.free()) && worker.filled + step.size.cpu <= room;
        }
        step.size.fits(worker.free())
    }
}

impl Worker {
    /// Processors that tasks that fill may ask for in all: those that nothing else
    /// asks for, and the part that tasks which serve leave idle.
    fn fill_room(&self) -> u64 {
        let unused = self.entry.size.cpu.saturating_sub(self.used.cpu);
        unused + (self.serving as f64 * SERVING_IDLE) as u64
    }

    /// How well an image that serves fits the company on it: images that are alike
    /// stand together, so that what fills beside them can be chosen for them.
    fn likeness(&self, image: &Name) -> f64 {
        let served = self.runs.values().filter(|run| run.target > 0);
        let (same, other): (Vec<&Run>, Vec<&Run>) = served.partition(|run| run.image == *image);
        same.len().min(1) as f64 - other.len() as f64
    }
}
