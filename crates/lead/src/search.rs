use std::{collections::BTreeMap, ops::Bound};

use base::{Millis, Name, Now, Size};
use job::{Step, StepId, TaskId};

use crate::{Lead, Run, Worker};

/// Weight of a worker's idle CPU share relative to image affinity, for service tasks.
const IDLE_WEIGHT: f64 = 0.3;
/// Score penalty for a worker on which the task has failed before.
const AVOID_PENALTY: f64 = 2.0;
/// Weight of expected interference relative to the idle CPU share, for best-effort tasks.
const INTERFERENCE_WEIGHT: f64 = 1.0;
/// Share of their requested CPU that service tasks are assumed to leave idle.
const SERVICE_IDLE_SHARE: f64 = 0.5;

/// Interval at which all workers are searched for a step that could not be placed, in
/// milliseconds. In between, only workers that have improved are.
const FULL_SEARCH_INTERVAL: Millis = 200;
/// Number of eligible workers compared for one task.
const MAX_CANDIDATES: usize = 96;

/// Requirements of a task on the worker that runs it.
pub(crate) struct Requirements<'a> {
    pub(crate) step: &'a Step,
    service: &'a Name,
    /// Whether the task also needs a ticket from the policy service.
    pub(crate) needs_ticket: bool,
    avoid: Option<&'a Name>,
    /// Workers that hold a task of the step, once per task; empty if the step has no limit
    /// per worker.
    siblings: Vec<&'a Name>,
}

/// Candidate workers for the tasks of one step, which all have the same requirements.
struct Candidates {
    /// Scores (higher is better) and workers.
    scored: Vec<(f64, Name)>,
    /// Headroom that each measured service image is expected to lose to the step's image.
    losses: BTreeMap<Name, f64>,
}

impl Candidates {
    /// Removes and returns the candidate with the highest score.
    fn pop_best(&mut self) -> Option<(f64, Name)> {
        let scores = self.scored.iter().enumerate();
        let (at, _) = scores.max_by(|(_, a), (_, b)| a.0.total_cmp(&b.0))?;
        Some(self.scored.swap_remove(at))
    }
}

/// Candidates kept from the previous search of a placement pass.
pub(crate) struct SearchCache {
    occurrence: u32,
    step: u32,
    candidates: Candidates,
}

impl Lead {
    /// Returns the best worker for a task. `cache` keeps the remaining candidates for other
    /// tasks of the same step.
    pub(crate) fn find_worker(
        &self,
        id: &TaskId,
        cache: &mut Option<SearchCache>,
        now: Now,
    ) -> Option<Name> {
        let cached = cache.take().filter(|f| (f.occurrence, f.step) == (id.occurrence, id.step));
        if let Some(mut cached) = cached
            && let Some(place) = self.best_candidate(id, &mut cached.candidates, now)
        {
            *cache = Some(cached);
            return Some(place);
        }
        // The cached candidates may be used up before all tasks of the step are placed.
        let since = self.searched_pass(&id.step_id(), now);
        let improved = |worker: &Worker| worker.improved_pass > since;
        let mut candidates = self.find_candidates(id, now, &improved)?;
        let place = self.best_candidate(id, &mut candidates, now);
        *cache = Some(SearchCache { occurrence: id.occurrence, step: id.step, candidates });
        place
    }

    /// Returns the best worker for a task among those accepted by `filter`, which gets the
    /// worker's identifier and its free capacity.
    pub(crate) fn find_worker_where(
        &self,
        id: &TaskId,
        now: Now,
        filter: &dyn Fn(&Name, Size) -> bool,
    ) -> Option<Name> {
        let accepted = |worker: &Worker| filter(&worker.info.id, worker.free());
        let mut candidates = self.find_candidates(id, now, &accepted)?;
        self.best_candidate(id, &mut candidates, now)
    }

    /// Whether a task may start on a worker now.
    pub(crate) fn may_start_on(&self, id: &TaskId, worker: &Name, now: Now) -> bool {
        let (req, worker) = (self.requirements(id), self.workers.get(worker));
        let score = req
            .zip(worker)
            .and_then(|(req, worker)| self.evaluate(id, &req, &BTreeMap::new(), worker, now));
        score.is_some()
    }

    /// Starts a placement pass: notes which workers have improved since the last one.
    pub(crate) fn begin_pass(&mut self) {
        self.pass += 1;
        // Reserved workers open up to other steps, or hold what is made free on them.
        for id in self.reservations.keys() {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.improved = true;
            }
        }
        for worker in self.workers.values_mut().filter(|worker| worker.improved) {
            worker.improved = false;
            worker.improved_pass = self.pass;
        }
    }

    /// Notes that no worker was found for a step in this pass.
    pub(crate) fn note_searched(&mut self, id: StepId, now: Now) {
        let since = self.searched_pass(&id, now);
        let at = match self.searched.get(&id) {
            Some((_, at)) if since > 0 => *at,
            _ => now.mono,
        };
        self.searched.insert(id, (self.pass, at));
    }

    /// Returns the pass since which workers have to have improved to be searched for a step, 0
    /// if all are to be searched.
    fn searched_pass(&self, id: &StepId, now: Now) -> u64 {
        let searched = self.searched.get(id).filter(|(_, at)| now.mono < at + FULL_SEARCH_INTERVAL);
        searched.map_or(0, |(pass, _)| *pass)
    }

    /// Collects and scores candidate workers for the tasks of a step.
    fn find_candidates(
        &self,
        id: &TaskId,
        now: Now,
        filter: &dyn Fn(&Worker) -> bool,
    ) -> Option<Candidates> {
        let req = self.requirements(id)?;
        let interference = |service_image: &Name| {
            (service_image.clone(), self.model.interference(service_image, &req.step.image))
        };
        let losses: BTreeMap<Name, f64> = self.model.measured_images().map(interference).collect();
        // Each search continues after the worker chosen last, so that successive searches
        // cover all parts of a large fleet.
        let from = self.search_cursor.clone();
        let after = self.workers.range::<Name, _>((Bound::Excluded(&from), Bound::Unbounded));
        let before = self.workers.range::<Name, _>((Bound::Unbounded, Bound::Included(&from)));
        let workers = after.chain(before).map(|(_, w)| w).filter(|w| filter(w));
        let evaluated = workers.filter_map(|w| {
            self.evaluate(id, &req, &losses, w, now).map(|score| (score, w.info.id.clone()))
        });
        let scored = evaluated.take(MAX_CANDIDATES).collect();
        Some(Candidates { scored, losses })
    }

    /// Returns the best candidate, scored again as the workers are now.
    fn best_candidate(&self, id: &TaskId, found: &mut Candidates, now: Now) -> Option<Name> {
        let req = self.requirements(id)?;
        while let Some((_, name)) = found.pop_best() {
            let Some(worker) = self.workers.get(&name) else { continue };
            let Some(score) = self.evaluate(id, &req, &found.losses, worker, now) else { continue };
            let best = found.scored.iter().all(|(other, _)| other.total_cmp(&score).is_le());
            found.scored.push((score, name.clone()));
            if best {
                return Some(name);
            }
        }
        None
    }

    /// Scores a worker for a task; `None` if the task may not run there.
    fn evaluate(
        &self,
        id: &TaskId,
        req: &Requirements<'_>,
        losses: &BTreeMap<Name, f64>,
        worker: &Worker,
        now: Now,
    ) -> Option<f64> {
        self.evaluated.set(self.evaluated.get() + 1);
        let usable = worker.usable(self.durable_batch(), now.mono)
            && req.accepts(worker)
            && !worker.is_saturated();
        let ticket = || !req.needs_ticket || self.ticket(id, &worker.info.id, now).is_some();
        let elsewhere = self.bound_worker(id).is_some_and(|bound| *bound != worker.info.id);
        let reserved = self.reserved(&worker.info.id, id, now);
        if !usable || elsewhere || reserved || !self.may_share(id, worker, now) || !ticket() {
            return None;
        }
        let interference = |service_image: &Name| match losses.get(service_image) {
            Some(loss) => *loss,
            None => self.model.interference(service_image, &req.step.image),
        };
        self.score(req, worker, &interference, now)
    }

    /// Returns the requirements of a task; `None` if the task is unknown.
    pub(crate) fn requirements(&self, id: &TaskId) -> Option<Requirements<'_>> {
        let job = self.jobs.get(&id.job)?;
        let step = job.step(id)?;
        let tasks = &job.in_progress.get(&id.occurrence)?.steps[id.step as usize].tasks;
        let siblings = match step.per_worker {
            0 => Vec::new(),
            _ => tasks.iter().flat_map(|task| &task.workers).collect(),
        };
        let (service, needs_ticket) = (&job.queue.service, job.queue.needs_ticket);
        Some(Requirements {
            step,
            service,
            needs_ticket,
            avoid: job.task(id)?.avoid.as_ref(),
            siblings,
        })
    }

    /// Workers on which a task fits, disregarding tickets and the limit per worker.
    pub(crate) fn feasible_workers(&self, id: &TaskId, now: Now) -> Vec<Name> {
        let Some(req) = self.requirements(id) else { return Vec::new() };
        let req = Requirements { siblings: Vec::new(), ..req };
        let stored = self.durable_batch();
        let usable = self.workers.values().filter(|w| w.usable(stored, now.mono));
        usable.filter(|w| req.accepts(w)).map(|w| w.info.id.clone()).collect()
    }

    /// Scores a worker that meets the requirements (higher is better); `None` if a
    /// best-effort task would push a service task there over its latency target.
    pub(crate) fn score(
        &self,
        req: &Requirements<'_>,
        worker: &Worker,
        interference: &dyn Fn(&Name) -> f64,
        now: Now,
    ) -> Option<f64> {
        let step = req.step;
        let cpu = worker.info.size.cpu.max(1) as f64;
        let avoided = f64::from(req.avoid == Some(&worker.info.id));
        let remote_penalty = self.bounds.remote_factor
            * f64::from(step.affinity.as_ref().is_some_and(|r| Some(r) != worker.rack()));
        let taken = [worker.used.cpu, worker.best_effort_cpu, step.size.cpu];
        let taken: f64 = taken.iter().map(|part| *part as f64).sum();
        let idle_share = (cpu - taken) / cpu;
        let fit = if step.latency_target > 0 {
            worker.image_affinity(&step.image) + IDLE_WEIGHT * idle_share
        } else if step.best_effort {
            let pair_interference =
                |service_image: &Name, other: &Name| self.model.interference(service_image, other);
            let (acceptable, loss) = Lead::predict_interference(
                worker,
                step.size.cpu,
                interference,
                &pair_interference,
                now,
            );
            if !acceptable {
                return None;
            }
            idle_share - INTERFERENCE_WEIGHT * loss
        } else {
            idle_share
        };
        Some(fit - AVOID_PENALTY * avoided - remote_penalty - worker.slowdown)
    }
}

impl Requirements<'_> {
    /// Whether a worker meets all requirements and has enough free capacity.
    pub(crate) fn accepts(&self, worker: &Worker) -> bool {
        self.matches(worker) && self.under_limit(worker) && self.fits_on(worker)
    }

    /// Whether a worker holds fewer tasks of the step than the limit per worker.
    pub(crate) fn under_limit(&self, worker: &Worker) -> bool {
        let here = self.siblings.iter().filter(|id| ***id == worker.info.id).count();
        self.step.per_worker == 0 || here < self.step.per_worker as usize
    }

    /// Whether a worker belongs to the queue's service and carries the required label.
    pub(crate) fn matches(&self, worker: &Worker) -> bool {
        let label = self.step.requires.as_ref();
        worker.info.service == *self.service
            && label.is_none_or(|label| worker.info.labels.contains(label))
    }

    /// Returns the capacity that a run of the task takes up; a best-effort one takes up no CPU.
    pub(crate) fn allocation(&self) -> Size {
        let size = self.step.size;
        if self.step.best_effort { Size { cpu: 0, ..size } } else { size }
    }

    /// Whether the task fits into the free capacity of a worker. Nothing fits on one that is
    /// over its size.
    pub(crate) fn fits_on(&self, worker: &Worker) -> bool {
        let size = self.step.size;
        if worker.over_size() {
            return false;
        }
        if self.step.best_effort {
            let memory = Size { cpu: 0, ..size };
            return memory.fits(worker.free()) && size.cpu <= worker.free_cpu(true);
        }
        size.fits(worker.free())
    }
}

impl Worker {
    /// CPU available to best-effort tasks in total: what other tasks don't request, plus the
    /// share that service tasks leave idle.
    fn best_effort_capacity(&self) -> u64 {
        if self.over_size() {
            return 0;
        }
        let unused = self.info.size.cpu.saturating_sub(self.used.cpu);
        unused.saturating_add((self.service_cpu as f64 * SERVICE_IDLE_SHARE) as u64)
    }

    /// Free CPU for a best-effort task, or for any other task.
    pub(crate) fn free_cpu(&self, best_effort: bool) -> u64 {
        if best_effort {
            self.best_effort_capacity().saturating_sub(self.best_effort_cpu)
        } else {
            self.free().cpu
        }
    }

    /// Returns 1 if the worker already runs the image as a service, less 1 for each service
    /// task of another image. Grouping equal images lets best-effort tasks be chosen to suit
    /// them.
    fn image_affinity(&self, image: &Name) -> f64 {
        let services = self.runs.values().filter(|run| run.latency_target > 0);
        let (same, other): (Vec<&Run>, Vec<&Run>) = services.partition(|run| run.image == *image);
        same.len().min(1) as f64 - other.len() as f64
    }
}
