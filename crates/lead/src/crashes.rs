use std::collections::BTreeSet;

use base::{Millis, Name, Now, event};
use job::{Crash, TaskId};
use port::WorkerInfo;

use crate::{Lead, Run, RunState, Worker, search::Requirements};

/// Time on the worker clock after which a run has shown that it does not crash its worker, in
/// milliseconds. Tasks that crash their workers do so as soon as they run.
const PROBATION: Millis = 300;
/// Crashes that only one task can have caused, and whose starts were confirmed, after which it
/// is given up.
const MAX_SOLE_CRASHES: usize = 2;
/// The same with starts that were not confirmed.
const MAX_UNCONFIRMED_CRASHES: usize = 3;
/// Crashes under a task after which one that only it can have caused suffices.
const MAX_CRASHES: usize = 5;
/// Time between the returns of two workers within which they may have crashed for the same
/// reason, in milliseconds.
const MASS_WINDOW: Millis = 700;
/// Other workers that come back within [`MASS_WINDOW`] of a crashed one, from which the crash
/// is no evidence against any task.
const MASS_RETURNS: usize = 3;
/// Time for which returns of workers are kept, in milliseconds.
const RETURN_RETENTION: Millis = 30_000;
/// Share of the workers that may be isolated at a time.
const MAX_ISOLATED_SHARE: f64 = 0.1;

/// A worker's return after a crash.
#[derive(Debug, Clone)]
pub(crate) struct Return {
    worker: Name,
    /// Incarnation that crashed.
    incarnation: u64,
    /// When the next incarnation started, in Unix milliseconds.
    back_at: Millis,
    /// Whether a task that was a suspect before may have caused the crash.
    suspected: bool,
}

impl Lead {
    /// Handles a new worker: one that had its address before has certainly crashed, unless it
    /// was leaving.
    pub(crate) fn note_replaced(&mut self, info: &WorkerInfo) {
        let replaced = |worker: &&Worker| {
            let other = &worker.info;
            other.addr == info.addr && other.id != info.id && other.incarnation < info.incarnation
        };
        let ids: Vec<Name> =
            self.workers.values().filter(replaced).map(|worker| worker.info.id.clone()).collect();
        for id in ids {
            let crash = self.note_crash(&id, info.incarnation);
            let Some(worker) = self.workers.get_mut(&id) else { continue };
            let runs = worker.runs.iter_mut();
            let blamed: Vec<(TaskId, Crash)> = runs
                .filter_map(|(task, run)| Some((task.clone(), run.crash.take()?)))
                .chain(crash)
                .collect();
            for (task, crash) in blamed {
                self.blame(&task, crash);
            }
        }
    }

    /// Handles the restart of a worker under its identifier. A run is blamed once it is
    /// dropped, since the next incarnation may have it.
    pub(crate) fn note_restart(&mut self, id: &Name, incarnation: u64) {
        for (task, crash) in self.note_crash(id, incarnation) {
            self.blame(&task, crash);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.crashed = false;
            worker.leaving = false;
            worker.runs.values_mut().for_each(|run| run.since = None);
        }
    }

    /// Marks the runs that may have crashed a worker, which was back at `back_at`. Returns
    /// those that have been dropped since.
    fn note_crash(&mut self, id: &Name, back_at: Millis) -> Vec<(TaskId, Crash)> {
        let Some(worker) = self.workers.get_mut(id) else { return Vec::new() };
        if worker.crashed || worker.leaving || worker.info.draining {
            return Vec::new();
        }
        worker.crashed = true;
        let lost = std::mem::take(&mut worker.lost);
        let candidates = worker.runs.iter().filter(|(_, run)| run.may_crash());
        let candidates = candidates.map(|(task, run)| (task, run.run_id));
        let candidates: Vec<(&TaskId, u64)> =
            candidates.chain(lost.iter().map(|(task, run_id)| (task, *run_id))).collect();
        // The members of a gang share their run id.
        let run_ids: BTreeSet<u64> = candidates.iter().map(|(_, run_id)| *run_id).collect();
        let suspects = &self.suspects;
        let suspected = candidates.iter().any(|(task, _)| suspects.contains(*task));
        let incarnation = worker.info.incarnation;
        event!(
            "worker_crashed",
            worker = id,
            born = incarnation,
            back = back_at,
            runs = worker.runs.len(),
            candidates = candidates.len()
        );
        let sole = run_ids.len() == 1;
        let crash = |confirmed| Crash { worker: id.clone(), incarnation, sole, confirmed };
        for run in worker.runs.values_mut().filter(|run| run.may_crash()) {
            run.crash = Some(crash(run.since.is_some()));
        }
        let worker = id.clone();
        let lost = lost.into_iter().map(|(task, _)| (task, crash(true))).collect();
        self.returns.push(Return { worker, incarnation, back_at, suspected });
        lost
    }

    /// Notes the runs of a worker whose leases have expired: it may have crashed.
    pub(crate) fn note_lost(&mut self, id: &Name) {
        let Some(worker) = self.workers.get_mut(id).filter(|worker| !worker.crashed) else {
            return;
        };
        let lost = worker.runs.iter().filter(|(_, run)| run.may_crash() && run.since.is_some());
        worker.lost = lost.map(|(task, run)| (task.clone(), run.run_id)).collect();
        self.suspects.extend(worker.lost.iter().map(|(task, _)| task.clone()));
    }

    /// Records a crash that a task may have caused.
    pub(crate) fn blame(&mut self, id: &TaskId, crash: Crash) {
        let Some(job) = self.jobs.get_mut(&id.job).filter(|job| !job.is_terminal()) else { return };
        let gang = job.step(id).filter(|step| step.gang).map(|step| step.count);
        let Some(task) = job.task_mut(id).filter(|task| !task.done) else { return };
        let same = |other: &Crash| {
            (&other.worker, other.incarnation) == (&crash.worker, crash.incarnation)
        };
        if task.crashes.iter().any(same) {
            return;
        }
        event!(
            "crash_blamed",
            task = id,
            worker = crash.worker,
            born = crash.incarnation,
            sole = crash.sole,
            confirmed = crash.confirmed,
            crashes = task.crashes.len() + 1
        );
        task.crashes.push(crash);
        self.suspects.insert(id.clone());
        self.suspects.extend((0..gang.unwrap_or(0)).map(|index| TaskId { index, ..id.clone() }));
        self.journal.add_progress(&id.job);
    }

    /// Takes up the crashes that earlier leaders recorded.
    pub(crate) fn restore_suspects(&mut self) {
        for job in self.jobs.values().filter(|job| !job.is_terminal()) {
            for (occurrence, step, index, _) in job.crashes() {
                let first = TaskId { job: job.id.clone(), occurrence, step, index };
                let gang = job.step(&first).filter(|step| step.gang).map(|step| step.count);
                let members = (0..gang.unwrap_or(0)).map(|index| TaskId { index, ..first.clone() });
                self.suspects.extend(members);
                self.suspects.insert(first);
            }
        }
    }

    /// Handles a run listed by an incarnation of a worker at a reading of its clock.
    pub(crate) fn observe_run(
        &mut self,
        id: &Name,
        task: &TaskId,
        incarnation: Option<u64>,
        clock: Millis,
    ) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let current = incarnation.is_none_or(|listed| listed == worker.info.incarnation);
        let Some(run) = worker.runs.get_mut(task).filter(|_| current) else { return };
        run.crash = None;
        let since = *run.since.get_or_insert(clock);
        if run.proven || clock < since + PROBATION {
            return;
        }
        run.proven = true;
        if !self.suspects.remove(task) {
            return;
        }
        let state = self.jobs.get_mut(&task.job).and_then(|job| job.task_mut(task));
        if let Some(state) = state.filter(|state| !state.crashes.is_empty()) {
            event!("crash_cleared", task = task, worker = id, crashes = state.crashes.len());
            state.crashes.clear();
            self.journal.add_progress(&task.job);
        }
    }

    /// Gives up tasks that crash their workers and isolates workers for the other suspects.
    pub(crate) fn check_suspects(&mut self, now: Now) {
        self.returns.retain(|back| now.unix < back.back_at + RETURN_RETENTION);
        let jobs = &self.jobs;
        self.suspects.retain(|id| {
            let job = jobs.get(&id.job).filter(|job| !job.is_terminal());
            job.and_then(|job| job.task(id)).is_some_and(|task| !task.done)
        });
        let suspects: Vec<TaskId> = self.suspects.iter().cloned().collect();
        for id in &suspects {
            if self.is_proven_deadly(id) && !self.may_turn_out_mass(id, now) {
                self.give_up(id, now);
            }
        }
        self.isolate(now);
    }

    /// Returns the crashes that a task, or its gang, may have caused.
    fn crashes_of(&self, id: &TaskId) -> Vec<&Crash> {
        let Some(job) = self.jobs.get(&id.job) else { return Vec::new() };
        let gang = job.step(id).filter(|step| step.gang).map(|step| step.count);
        let mut crashes: Vec<&Crash> = Vec::new();
        for index in gang.map_or(id.index..id.index + 1, |count| 0..count) {
            let of_task = job.task(&TaskId { index, ..id.clone() });
            for crash in of_task.into_iter().flat_map(|task| &task.crashes) {
                let same = |other: &&Crash| {
                    (&other.worker, other.incarnation) == (&crash.worker, crash.incarnation)
                };
                if !crashes.iter().any(same) {
                    crashes.push(crash);
                }
            }
        }
        crashes
    }

    /// Whether the crashes under a task prove that it crashes its workers.
    fn is_proven_deadly(&self, id: &TaskId) -> bool {
        let crashes = self.crashes_of(id);
        let sole = crashes.iter().filter(|crash| crash.sole && !self.is_mass(crash));
        let confirmed = sole.clone().filter(|crash| crash.confirmed).count();
        let sole = sole.count();
        confirmed >= MAX_SOLE_CRASHES
            || sole >= MAX_UNCONFIRMED_CRASHES
            || (sole > 0 && crashes.len() >= MAX_CRASHES)
    }

    /// Whether other workers crashed together with the one that a task may have crashed.
    fn is_mass(&self, crash: &Crash) -> bool {
        let Some(own) = self.return_of(crash) else { return false };
        let together = self.returns.iter().filter(|back| {
            back.worker != own.worker
                && !back.suspected
                && back.back_at.abs_diff(own.back_at) <= MASS_WINDOW
        });
        together.count() >= MASS_RETURNS
    }

    /// Whether other workers may still come back that crashed together with the last one under
    /// a task.
    fn may_turn_out_mass(&self, id: &TaskId, now: Now) -> bool {
        let crashes = self.crashes_of(id);
        let backs = crashes.iter().filter_map(|crash| self.return_of(crash));
        backs.map(|back| back.back_at).max().is_some_and(|at| now.unix < at + MASS_WINDOW)
    }

    fn return_of(&self, crash: &Crash) -> Option<&Return> {
        self.returns
            .iter()
            .find(|back| (&back.worker, back.incarnation) == (&crash.worker, crash.incarnation))
    }

    /// Ends a job with a task that crashes its workers.
    fn give_up(&mut self, id: &TaskId, now: Now) {
        let workers: Vec<String> =
            self.crashes_of(id).iter().map(|crash| crash.worker.to_string()).collect();
        let Some(job) = self.jobs.get_mut(&id.job).filter(|job| !job.is_terminal()) else { return };
        job.failed = true;
        event!(
            "job_failed",
            job = id.job,
            task = id,
            why = "crashes",
            crashes = workers.len(),
            workers = workers.join(",")
        );
        self.end_job(&id.job, now);
        self.journal.add_progress(&id.job);
    }

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

    /// Whether a task may start beside the runs on a worker: a suspect only where no other run
    /// can be blamed for a crash.
    pub(crate) fn may_share(&self, id: &TaskId, worker: &Worker) -> bool {
        let isolated = self.isolated.contains(&worker.info.id);
        if !self.suspects.contains(id) {
            return !isolated;
        }
        isolated && worker.runs.values().all(|run| run.proven)
    }

    /// Returns an isolated worker for a suspect.
    pub(crate) fn find_isolated(&mut self, id: &TaskId, now: Now) -> Option<Name> {
        if self.is_proven_deadly(id) {
            return None;
        }
        if self.needs_ticket(id) {
            self.request_ticket(id, now);
        }
        self.find_worker_where(id, now, &|worker, _| self.isolated.contains(worker))
    }

    /// Isolates as many workers as there are suspects, within a limit.
    fn isolate(&mut self, now: Now) {
        if self.suspects.is_empty() {
            return self.isolated.clear();
        }
        let stored = self.durable_batch();
        let usable = |name: &Name| {
            self.workers.get(name).is_some_and(|worker| worker.usable(stored, now.mono))
        };
        let mut isolated: BTreeSet<Name> = BTreeSet::new();
        let mut waiting = Vec::new();
        for id in &self.suspects {
            let job = self.jobs.get(&id.job);
            let Some(task) = job.and_then(|job| job.task(id)) else { continue };
            let unproven = |name: &&Name| {
                let run = self.workers.get(*name).and_then(|worker| worker.runs.get(id));
                run.is_some_and(|run| !run.proven)
            };
            isolated.extend(task.workers.iter().filter(unproven).cloned());
            let step = job.and_then(|job| job.step(id));
            let copied = step.is_some_and(|step| step.speculative) && task.crashes.is_empty();
            if task.queued || (copied && task.workers.len() == 1) {
                waiting.push(id);
            }
        }
        let gang = |id: &&TaskId| {
            let step = self.jobs.get(&id.job).and_then(|job| job.step(id));
            step.filter(|step| step.gang).map(|step| step.count as usize)
        };
        let share = (self.workers.len() as f64 * MAX_ISOLATED_SHARE).ceil() as usize;
        let limit = share.max(waiting.iter().filter_map(gang).max().unwrap_or(0));
        let mut kept: Vec<&Name> =
            self.isolated.iter().filter(|w| !isolated.contains(*w)).collect();
        let mut places: BTreeSet<Name> = BTreeSet::new();
        for id in waiting {
            let Some(req) = self.requirements(id) else { continue };
            let suits = |name: &Name| {
                let worker = self.workers.get(name);
                usable(name) && worker.is_some_and(|w| req.matches(w) && w.will_fit(&req))
            };
            if let Some(at) = kept.iter().position(|name| suits(name)) {
                places.insert(kept.swap_remove(at).clone());
                continue;
            }
            let at_risk = isolated.iter().filter(|name| usable(name)).count();
            if at_risk + places.len() >= limit {
                continue;
            }
            let open = self.workers.values().filter(|worker| {
                let name = &worker.info.id;
                let ticket = !req.needs_ticket || self.ticket(id, name, now).is_some();
                let taken = isolated.contains(name) || places.contains(name);
                !taken && !self.reserved(name, id, now) && ticket && req.under_limit(worker)
            });
            let open = open.filter(|worker| suits(&worker.info.id));
            let best = open.min_by_key(|worker| {
                let unproven = worker.runs.values().filter(|run| !run.proven).count();
                (!req.fits_on(worker), unproven, worker.runs.len())
            });
            places.extend(best.map(|worker| worker.info.id.clone()));
        }
        isolated.append(&mut places);
        self.isolated = isolated;
    }
}

impl Run {
    /// Whether it may crash its worker: it has not run for long, and is not one that an
    /// earlier incarnation was told to start.
    fn may_crash(&self) -> bool {
        let late_start = self.state == RunState::Stopping && self.started_at == 0;
        !self.proven && !late_start
    }
}

impl Worker {
    /// Whether a task fits once the runs that end by themselves have ended.
    fn will_fit(&self, req: &Requirements<'_>) -> bool {
        let ending = self.runs.values().filter(|run| !run.long_running);
        let free = ending.fold(self.free(), |free, run| free.plus(run.allocation()));
        let size = req.step.size;
        req.fits_on(self) || (!req.step.best_effort && size.fits(free))
    }
}
