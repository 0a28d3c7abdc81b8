use std::{collections::BTreeMap, ops::Bound};

use base::{Name, Now, Size};
use job::{Step, TaskId};

use crate::{Lead, Run, Worker};

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
pub(crate) struct Need<'a> {
    pub(crate) step: &'a Step,
    service: &'a Name,
    /// Whether the policy of the queue decides, too.
    pub(crate) advised: bool,
    avoid: Option<&'a Name>,
    /// Workers that have a task of the step already, as often as they have one,
    /// where that is limited.
    beside: Vec<&'a Name>,
}

/// Places that one search has found for the tasks of a step, which are alike.
struct Places {
    /// Scores, more is better, and workers.
    list: Vec<(f64, Name)>,
    /// Room that the step's image takes from each image that serves.
    harms: BTreeMap<Name, f64>,
}

impl Places {
    /// Takes the place with the best score out.
    fn take_best(&mut self) -> Option<(f64, Name)> {
        let scores = self.list.iter().enumerate();
        let (at, _) = scores.max_by(|(_, a), (_, b)| a.0.total_cmp(&b.0))?;
        Some(self.list.swap_remove(at))
    }
}

/// What the last search of a pass has found.
pub(crate) struct Found {
    occ: u32,
    step: u32,
    places: Places,
}

impl Lead {
    /// The best worker for a task; `found` keeps what a search finds for other
    /// tasks of the step.
    pub(crate) fn find(&self, id: &TaskId, found: &mut Option<Found>, now: Now) -> Option<Name> {
        let known = found.take().filter(|f| (f.occ, f.step) == (id.occ, id.step));
        if let Some(mut known) = known
            && let Some(place) = self.next_place(id, &mut known.places, now)
        {
            *found = Some(known);
            return Some(place);
        }
        // What one search finds may be taken up before the step is.
        let mut places = self.places(id, now, &|_, _| true)?;
        let place = self.next_place(id, &mut places, now);
        *found = Some(Found { occ: id.occ, step: id.step, places });
        place
    }

    /// The best worker for a task among those that `open` lets through, given
    /// their identifier and what is free on them.
    pub(crate) fn find_where(
        &self,
        id: &TaskId,
        now: Now,
        open: &dyn Fn(&Name, Size) -> bool,
    ) -> Option<Name> {
        let mut places = self.places(id, now, open)?;
        self.next_place(id, &mut places, now)
    }

    /// Searches places for the tasks of a step.
    fn places(&self, id: &TaskId, now: Now, open: &dyn Fn(&Name, Size) -> bool) -> Option<Places> {
        let need = self.need(id)?;
        let harm = |serves: &Name| (serves.clone(), self.learn.harm(serves, &need.step.image));
        let harms: BTreeMap<Name, f64> = self.learn.serving().map(harm).collect();
        // The search goes on where the last one ended, so that a part of a large
        // fleet is looked at each time.
        let from = self.searched.clone();
        let after = self.workers.range::<Name, _>((Bound::Excluded(&from), Bound::Unbounded));
        let before = self.workers.range::<Name, _>((Bound::Unbounded, Bound::Included(&from)));
        let workers = after.chain(before).map(|(_, w)| w).filter(|w| open(&w.entry.id, w.free()));
        let scored = workers.filter_map(|w| {
            self.check(id, &need, &harms, w, now).map(|score| (score, w.entry.id.clone()))
        });
        let list = scored.take(MAX_CANDIDATES).collect();
        Some(Places { list, harms })
    }

    /// The best of the places found for a step, as it is now.
    fn next_place(&self, id: &TaskId, places: &mut Places, now: Now) -> Option<Name> {
        let need = self.need(id)?;
        while let Some((_, name)) = places.take_best() {
            let Some(worker) = self.workers.get(&name) else { continue };
            let Some(score) = self.check(id, &need, &places.harms, worker, now) else { continue };
            let best = places.list.iter().all(|(other, _)| other.total_cmp(&score).is_le());
            places.list.push((score, name.clone()));
            if best {
                return Some(name);
            }
        }
        None
    }

    /// How good a worker is for a task; `None` where it may not run there.
    fn check(
        &self,
        id: &TaskId,
        need: &Need<'_>,
        harms: &BTreeMap<Name, f64>,
        worker: &Worker,
        now: Now,
    ) -> Option<f64> {
        let usable = worker.usable(self.stored(), now.mono) && need.allowed(worker);
        let ticket = || !need.advised || self.ticket(id, &worker.entry.id, now).is_some();
        if !usable || self.reserved(&worker.entry.id, id, now) || !ticket() {
            return None;
        }
        let harm = |serves: &Name| match harms.get(serves) {
            Some(harm) => *harm,
            None => self.learn.harm(serves, &need.step.image),
        };
        self.score(need, worker, &harm, now)
    }

    /// What a place for a task must have.
    pub(crate) fn need(&self, id: &TaskId) -> Option<Need<'_>> {
        let job = self.jobs.get(&id.job)?;
        let step = job.step(id)?;
        let siblings = &job.open.get(&id.occ)?.steps[id.step as usize].tasks;
        let beside = match step.per_worker {
            0 => Vec::new(),
            _ => siblings.iter().flat_map(|task| &task.on).collect(),
        };
        let (service, advised) = (&job.queue.service, job.queue.advised);
        Some(Need { step, service, advised, avoid: job.task(id)?.avoid.as_ref(), beside })
    }

    /// Workers on which a task would fit but for the policy of its queue.
    pub(crate) fn fitting(&self, id: &TaskId, now: Now) -> Vec<Name> {
        let Some(need) = self.need(id) else { return Vec::new() };
        let need = Need { beside: Vec::new(), ..need };
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
}

impl Need<'_> {
    /// Whether the task may run on a worker and fits.
    pub(crate) fn allowed(&self, worker: &Worker) -> bool {
        self.suits(worker) && self.apart(worker) && self.has_room(worker)
    }

    /// Whether a worker has fewer tasks of the step than it may have.
    pub(crate) fn apart(&self, worker: &Worker) -> bool {
        let here = self.beside.iter().filter(|id| ***id == worker.entry.id).count();
        self.step.per_worker == 0 || here < self.step.per_worker as usize
    }

    /// Whether a worker is of the service and has the label.
    pub(crate) fn suits(&self, worker: &Worker) -> bool {
        let label = self.step.requires.as_ref();
        worker.entry.service == *self.service
            && label.is_none_or(|label| worker.entry.labels.contains(label))
    }

    /// Whether the task fits into what is free on a worker.
    pub(crate) fn has_room(&self, worker: &Worker) -> bool {
        let size = self.step.size;
        if self.step.fills {
            let memory = Size { cpu: 0, ..size };
            return memory.fits(worker.free()) && size.cpu <= worker.piece(true);
        }
        size.fits(worker.free())
    }
}

impl Worker {
    /// Processors that tasks that fill may ask for in all: those that nothing else
    /// asks for, and the part that tasks which serve leave idle.
    fn fill_room(&self) -> u64 {
        let unused = self.entry.size.cpu.saturating_sub(self.used.cpu);
        unused + (self.serving as f64 * SERVING_IDLE) as u64
    }

    /// Processors that are free for a task that fills, or for any other.
    pub(crate) fn piece(&self, fills: bool) -> u64 {
        if fills { self.fill_room().saturating_sub(self.filled) } else { self.free().cpu }
    }

    /// How well an image that serves fits the company on it: images that are alike
    /// stand together, so that what fills beside them can be chosen for them.
    fn likeness(&self, image: &Name) -> f64 {
        let served = self.runs.values().filter(|run| run.target > 0);
        let (same, other): (Vec<&Run>, Vec<&Run>) = served.partition(|run| run.image == *image);
        same.len().min(1) as f64 - other.len() as f64
    }
}
