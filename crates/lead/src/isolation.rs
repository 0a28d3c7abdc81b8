use std::collections::{BTreeMap, BTreeSet};

use base::{Millis, Name, Now, Size};
use job::TaskId;

use crate::{Command, Lead, Run, RunState, Worker, crashes::PROBATION, search::Requirements};

/// Share of the workers that may be isolated at a time, whatever runs on them.
const MAX_ISOLATED_SHARE: f64 = 0.1;
/// Share of the workers that may be isolated at a time if the others are idle enough to start
/// suspects at once.
const MAX_IDLE_ISOLATED_SHARE: f64 = 0.5;
/// Wait after which a suspect may share a worker with others, in milliseconds.
const MAX_LONE_WAIT: Millis = 1_000;
/// Suspects that may share a worker on probation, unless crashes single one out.
const MAX_GROUP: usize = 4;
/// Workers that may be isolated at a time for suspects that can't start there yet. Their free
/// capacity is closed to all others meanwhile.
const MAX_HELD: usize = 1;
/// Limit of suspects for which workers are isolated at a time, but for the members of a gang; those
/// that have waited longest come first.
const MAX_PLANNED: usize = 64;
/// Interval at which workers are polled for suspects on probation, in milliseconds.
const PROBATION_POLL_INTERVAL: Millis = 150;

/// An isolated worker with the suspects that are or will be on probation there.
#[derive(Debug)]
struct Place {
    free: Size,
    suspects: usize,
    /// Whether the only suspect has to run alone.
    alone: bool,
}

impl Place {
    fn admits(&self, req: &Requirements<'_>, alone: bool) -> bool {
        let room = if alone { self.suspects == 0 } else { self.suspects < MAX_GROUP };
        room && !self.alone && req.allocation().fits(self.free)
    }

    fn add(&mut self, req: &Requirements<'_>, alone: bool) {
        self.free = self.free.minus(req.allocation());
        self.suspects += 1;
        self.alone = alone;
    }
}

impl Lead {
    /// Whether a copy of a run may start. One of a run that no list has shown yet starts in
    /// isolation, and none while a crash may still turn out to be due to a suspect.
    pub(crate) fn may_copy(&mut self, worker: &Name, id: &TaskId) -> bool {
        let run = self.workers.get(worker).and_then(|worker| worker.runs.get(id));
        let Some(run) = run.filter(|run| !run.proven) else { return true };
        if run.suspect || !self.crashes_of(id).is_empty() {
            return false;
        }
        self.suspects.insert(id.clone());
        true
    }

    /// Whether a suspect may only run where no other run can be blamed for a crash. Those that have
    /// waited for long share workers, unless crashes have singled them out, or they are members of a
    /// gang, or copies, whose other runs may still crash their workers.
    pub(crate) fn starts_alone(&self, id: &TaskId, now: Now) -> bool {
        let task = self.jobs.get(&id.job).and_then(|job| job.task(id));
        let copy = task.is_some_and(|task| !task.workers.is_empty());
        copy || self.gang_size(id).is_some()
            || self.waited(&id.step_id(), now) < MAX_LONE_WAIT
            || self.is_singled_out(id)
    }

    /// Whether a task may start beside the runs on a worker: a suspect only where no other run but
    /// those of suspects like it can be blamed for a crash.
    pub(crate) fn may_share(&self, id: &TaskId, worker: &Worker, now: Now) -> bool {
        let isolated = self.isolated.contains(&worker.info.id);
        if !self.suspects.contains(id) {
            return !isolated;
        }
        isolated
            && worker.group().is_some_and(|group| match group {
                0 => true,
                _ => group < MAX_GROUP && !self.starts_alone(id, now),
            })
    }

    /// Returns the worker that is isolated for a suspect, if the suspect may start there now.
    pub(crate) fn find_isolated(&mut self, id: &TaskId, now: Now) -> Option<Name> {
        if self.needs_ticket(id) {
            self.request_ticket(id, now);
        }
        let worker = self.planned.get(id)?;
        if self.is_proven_deadly(id) || self.awaits_sibling(id, now) {
            return None;
        }
        self.may_start_on(id, worker, now).then(|| worker.clone())
    }

    /// Whether a worker may be isolated for a suspect, disregarding its room.
    fn is_eligible(&self, id: &TaskId, req: &Requirements<'_>, worker: &Worker, now: Now) -> bool {
        let name = &worker.info.id;
        let elsewhere = self.bound_worker(id).is_some_and(|bound| bound != name);
        !elsewhere
            && req.matches(worker)
            && req.under_limit(worker)
            && (!req.needs_ticket || self.ticket(id, name, now).is_some())
            && !self.reserved(name, id, now)
            && self.is_harmless(req, worker, now)
    }

    /// Whether a worker can take a suspect whose machine has not crashed under it.
    fn has_untried_worker(&self, id: &TaskId, req: &Requirements<'_>, now: Now) -> bool {
        let (stored, tried) = (self.durable_batch(), self.tried_machines(id));
        let mut usable = self.workers.values().filter(|w| w.usable(stored, now.mono));
        usable.any(|worker| {
            !tried.contains(&worker.info.addr)
                && worker.will_fit(req)
                && self.is_eligible(id, req, worker, now)
        })
    }

    /// Whether a likely cause of a crash waits until another one of its job has proven harmless, or
    /// has ended the job.
    fn awaits_sibling(&self, id: &TaskId, now: Now) -> bool {
        if self.gang_size(id).is_some() || !self.is_sole_cause(id) {
            return false;
        }
        let stored = self.durable_batch();
        let replies = |worker: &Name| {
            self.workers.get(worker).is_some_and(|worker| worker.usable(stored, now.mono))
        };
        let mut runs = self.probation_runs();
        runs.any(|(worker, other, run)| {
            run.alone && other.job == id.job && other != id && replies(&worker)
        })
    }

    /// Isolates workers for the suspects that wait. Beyond a small share of the workers, and only for
    /// suspects that have waited for long, those that can take a suspect at once are isolated, so
    /// that work waits for isolation hardly longer than for room.
    pub(crate) fn isolate(&mut self, now: Now) {
        if self.suspects.is_empty() {
            self.planned.clear();
            return self.isolated.clear();
        }
        let waiting = self.waiting_suspects(now);
        let mut places = self.probation_places();
        let stored = self.durable_batch();
        let usable: Vec<&Worker> =
            self.workers.values().filter(|worker| worker.usable(stored, now.mono)).collect();
        let share = |share: f64| (self.workers.len() as f64 * share).ceil() as usize;
        let gang = waiting.iter().filter_map(|id| self.gang_size(id)).max().unwrap_or(0);
        let limit = share(MAX_ISOLATED_SHARE).max(gang);
        let idle_limit = share(MAX_IDLE_ISOLATED_SHARE).max(limit);
        let mut isolated =
            usable.iter().filter(|worker| places.contains_key(&worker.info.id)).count();
        let mut held = 0;
        let mut planned = BTreeMap::new();
        let mut open: Vec<&Worker> = usable;
        open.retain(|worker| !places.contains_key(&worker.info.id));
        open.sort_by_cached_key(|worker| self.isolation_order(worker));
        for id in waiting {
            let Some(req) = self.requirements(&id).filter(|_| !self.awaits_sibling(&id, now))
            else {
                continue;
            };
            let alone = self.starts_alone(&id, now);
            let tried = self.tried_machines(&id);
            let untried = |worker: &Worker| !tried.contains(&worker.info.addr);
            let eligible = |worker: &Worker| self.is_eligible(&id, &req, worker, now);
            let joins = |(name, place): &(&Name, &mut Place)| {
                let worker = self.workers.get(*name).filter(|worker| untried(worker));
                place.admits(&req, alone) && worker.is_some_and(&eligible)
            };
            if let Some((name, place)) = places.iter_mut().find(joins) {
                place.add(&req, alone);
                planned.insert(id, name.clone());
                continue;
            }
            let at_once = |worker: &&Worker| {
                worker.group() == Some(0) && req.fits_on(worker) && eligible(worker)
            };
            let later = |worker: &&Worker| worker.will_fit(&req) && eligible(worker);
            let mut at = None;
            let waited = self.waited(&id.step_id(), now) >= MAX_LONE_WAIT;
            if isolated < if waited { idle_limit } else { limit } {
                at = open.iter().position(|worker| at_once(worker) && untried(worker));
            }
            if at.is_none() && isolated < limit && held < MAX_HELD.max(gang) {
                at = open.iter().position(|worker| later(worker) && untried(worker));
                if at.is_none() && !self.has_untried_worker(&id, &req, now) {
                    at = open.iter().position(later);
                }
                held += usize::from(at.is_some());
            }
            let Some(worker) = at.map(|at| open.remove(at)) else { continue };
            isolated += 1;
            let mut place = Place { free: worker.free(), suspects: 0, alone: false };
            place.add(&req, alone);
            places.insert(worker.info.id.clone(), place);
            planned.insert(id, worker.info.id.clone());
        }
        self.isolated = places.into_keys().collect();
        self.planned = planned;
    }

    /// Whether no service on a worker would miss its latency target because of a task.
    fn is_harmless(&self, req: &Requirements<'_>, worker: &Worker, now: Now) -> bool {
        let interference = |image: &Name| self.model.interference(image, &req.step.image);
        !req.step.best_effort || self.score(req, worker, &interference, now).is_some()
    }

    /// Returns the suspects that wait for a worker, those that have waited longest first.
    fn waiting_suspects(&self, now: Now) -> Vec<TaskId> {
        let waits = |id: &&TaskId| {
            let Some(job) = self.jobs.get(&id.job) else { return false };
            let Some(task) = job.task(id) else { return false };
            let copied = job.step(id).is_some_and(|step| step.speculative);
            task.queued || (copied && task.crashes.is_empty() && task.workers.len() == 1)
        };
        let mut waiting: Vec<TaskId> = self.suspects.iter().filter(waits).cloned().collect();
        self.retain_runnable(&mut waiting, now);
        waiting.sort_by_cached_key(|id| {
            let accepted_at = self.jobs.get(&id.job).map_or(0, |job| job.accepted_at);
            (std::cmp::Reverse(self.waited(&id.step_id(), now)), accepted_at)
        });
        let gang = waiting.iter().filter_map(|id| self.gang_size(id)).max().unwrap_or(0);
        waiting.truncate(MAX_PLANNED.max(gang));
        waiting
    }

    /// Removes the tasks that no worker could run if it were idle.
    fn retain_runnable(&self, tasks: &mut Vec<TaskId>, now: Now) {
        let stored = self.durable_batch();
        let mut runnable: BTreeMap<(Name, Option<Name>, Size), bool> = BTreeMap::new();
        tasks.retain(|id| {
            let Some(req) = self.requirements(id) else { return false };
            let size = req.allocation();
            let service = self.jobs.get(&id.job).map(|job| job.queue.service.clone());
            let class = (service.unwrap_or_default(), req.step.requires.clone(), size);
            let mut workers = self.workers.values();
            *runnable.entry(class).or_insert_with(|| {
                workers.any(|worker| {
                    worker.usable(stored, now.mono)
                        && req.matches(worker)
                        && size.fits(worker.info.size)
                })
            })
        });
    }

    /// Returns the workers on which suspects are on probation.
    fn probation_places(&self) -> BTreeMap<Name, Place> {
        let mut places = BTreeMap::new();
        for (name, _, run) in self.probation_runs() {
            let Some(worker) = self.workers.get(&name) else { continue };
            let free = worker.free();
            let place = places.entry(name).or_insert(Place { free, suspects: 0, alone: false });
            place.suspects += 1;
            place.alone |= run.alone;
        }
        places
    }

    /// Returns the runs of suspects that no list has shown for long enough, with worker and task.
    fn probation_runs(&self) -> impl Iterator<Item = (Name, &TaskId, &Run)> {
        let runs = self.suspects.iter().flat_map(move |id| {
            let task = self.jobs.get(&id.job).and_then(|job| job.task(id));
            let names = task.into_iter().flat_map(|task| &task.workers);
            names.filter_map(move |name| {
                Some((name.clone(), id, self.workers.get(name)?.runs.get(id)?))
            })
        });
        runs.filter(|(_, _, run)| !run.proven)
    }

    fn gang_size(&self, id: &TaskId) -> Option<usize> {
        let step = self.jobs.get(&id.job).and_then(|job| job.step(id));
        step.filter(|step| step.gang).map(|step| step.count as usize)
    }

    /// Order in which workers are isolated: those without runs on probation first, then those
    /// isolated before, then those that have not crashed lately.
    fn isolation_order(&self, worker: &Worker) -> (bool, bool, bool, usize, usize) {
        let crashed = self.returns.iter().any(|back| back.addr == worker.info.addr);
        let unproven = worker.runs.values().filter(|run| !run.proven).count();
        let before = self.isolated.contains(&worker.info.id);
        (unproven > 0, !before, crashed, unproven, worker.runs.len())
    }

    /// Polls the workers whose suspects a list can clear: a poll that waits for completions may
    /// be answered much later.
    pub(crate) fn poll_suspects(&mut self, now: Now) {
        let due = |name: &Name, run: &Run| {
            let Some(worker) = self.workers.get(name) else { return false };
            let over = match (run.since, worker.clock_now(now.mono)) {
                (Some(since), Some(clock)) => clock >= since + PROBATION,
                _ => true,
            };
            let recent = now.mono < worker.probation_polled_at + PROBATION_POLL_INTERVAL;
            run.state == RunState::Running && over && !recent
        };
        let runs = self.probation_runs().filter(|(name, _, run)| due(name, run));
        let names: BTreeSet<Name> = runs.map(|(name, ..)| name).collect();
        for name in names {
            if let Some(worker) = self.workers.get_mut(&name) {
                worker.probation_polled_at = now.mono;
                self.commands.push(Command::Poll(name));
            }
        }
    }
}

impl Worker {
    /// Returns the number of suspects on probation that others may join, `None` if a run on the
    /// worker has to be the only one that can be blamed for a crash.
    fn group(&self) -> Option<usize> {
        let unproven = self.runs.values().filter(|run| !run.proven);
        let mut group = 0;
        for run in unproven {
            if !run.suspect || run.alone {
                return None;
            }
            group += 1;
        }
        Some(group)
    }

    /// Whether a task fits once the runs that end by themselves have ended.
    fn will_fit(&self, req: &Requirements<'_>) -> bool {
        let ending = self.runs.values().filter(|run| !run.long_running);
        let free = ending.fold(self.free(), |free, run| free.plus(run.allocation()));
        let size = req.step.size;
        req.fits_on(self) || (!req.step.best_effort && size.fits(free))
    }
}
