use std::collections::BTreeSet;

use base::{Millis, Name, Now, event};
use job::{Crash, TaskId};
use port::WorkerInfo;

use crate::{Lead, Run, RunState, Worker, evidence::Return};

/// Time on the worker clock after which a run has shown that it does not crash its worker, in
/// milliseconds. Tasks that crash their workers do so as soon as they run.
pub(crate) const PROBATION: Millis = 300;
/// Time for which returns of workers are kept, in milliseconds.
const RETURN_RETENTION: Millis = 30_000;
/// Time before its return becomes known within which a worker may have started, in milliseconds. A
/// start that it names outside of it is by a time of day that is wrong.
const MAX_RETURN_AGE: Millis = 10_000;

impl Lead {
    /// Handles a new worker: one that had its address before has certainly crashed, unless it
    /// was leaving.
    pub(crate) fn note_replaced(&mut self, info: &WorkerInfo, now: Now) {
        let replaced = |worker: &&Worker| {
            let other = &worker.info;
            other.addr == info.addr && other.id != info.id && other.incarnation < info.incarnation
        };
        let ids: Vec<Name> =
            self.workers.values().filter(replaced).map(|worker| worker.info.id.clone()).collect();
        for id in ids {
            self.forget_starts_in_doubt(&id);
            let crash = self.note_crash(&id, return_time(info.incarnation, now));
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
    pub(crate) fn note_restart(&mut self, id: &Name, incarnation: u64, now: Now) {
        for (task, crash) in self.note_crash(id, return_time(incarnation, now)) {
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
        let suspected = self.runs_likely_cause(id);
        let Some(worker) = self.workers.get_mut(id) else { return Vec::new() };
        if worker.crashed || worker.leaving || worker.info.draining {
            return Vec::new();
        }
        worker.crashed = true;
        let lost = std::mem::take(&mut worker.lost);
        let clock = worker.clock.map_or(0, |(clock, _)| clock);
        let candidates = worker.runs.iter().filter(|(_, run)| run.may_crash(clock));
        let candidates = candidates.map(|(task, run)| (task, run.run_id));
        let candidates: Vec<(&TaskId, u64)> =
            candidates.chain(lost.iter().map(|(task, run_id)| (task, *run_id))).collect();
        // The members of a gang share their run id.
        let run_ids: BTreeSet<u64> = candidates.iter().map(|(_, run_id)| *run_id).collect();
        let tasks: Vec<TaskId> = candidates.iter().map(|(task, _)| (*task).clone()).collect();
        let (addr, replied_at) = (worker.info.addr, worker.replied_at);
        let incarnation = worker.info.incarnation;
        event!(
            "worker_crashed",
            worker = id,
            machine = addr,
            born = incarnation,
            back = back_at,
            runs = worker.runs.len(),
            candidates = candidates.len()
        );
        let sole = run_ids.len() == 1;
        let machine: Name = addr.to_string().into();
        let crash = |confirmed| Crash { machine: machine.clone(), incarnation, sole, confirmed };
        for run in worker.runs.values_mut().filter(|run| run.may_crash(clock)) {
            run.crash = Some(crash(run.since.is_some()));
        }
        let lost = lost.into_iter().map(|(task, _)| (task, crash(true))).collect();
        self.returns.push(Return {
            machine,
            addr,
            incarnation,
            replied_at,
            back_at,
            candidates: tasks,
            suspected,
        });
        lost
    }

    /// Whether a run that may have crashed a worker is of a task that crashes had singled out.
    fn runs_likely_cause(&self, id: &Name) -> bool {
        let Some(worker) = self.workers.get(id) else { return false };
        let clock = worker.clock.map_or(0, |(clock, _)| clock);
        let mut runs = worker.runs.iter().filter(|(_, run)| run.suspect && run.may_crash(clock));
        runs.any(|(task, _)| self.is_singled_out(task))
    }

    /// Notes the runs of a worker whose leases have expired: it may have crashed.
    pub(crate) fn note_lost(&mut self, id: &Name) {
        let Some(worker) = self.workers.get_mut(id).filter(|worker| !worker.crashed) else {
            return;
        };
        let clock = worker.clock.map_or(0, |(clock, _)| clock);
        let lost =
            worker.runs.iter().filter(|(_, run)| run.may_crash(clock) && run.since.is_some());
        worker.lost = lost.map(|(task, run)| (task.clone(), run.run_id)).collect();
        self.suspects.extend(worker.lost.iter().map(|(task, _)| task.clone()));
    }

    /// Records a crash that a task may have caused.
    pub(crate) fn blame(&mut self, id: &TaskId, crash: Crash) {
        let Some(job) = self.jobs.get_mut(&id.job).filter(|job| !job.is_terminal()) else { return };
        let gang = job.step(id).filter(|step| step.gang).map(|step| step.count);
        let Some(task) = job.task_mut(id).filter(|task| !task.done) else { return };
        let same = |other: &Crash| {
            (&other.machine, other.incarnation) == (&crash.machine, crash.incarnation)
        };
        if task.crashes.iter().any(same) {
            return;
        }
        event!(
            "crash_blamed",
            task = id,
            machine = crash.machine,
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
        run.proven |= clock >= since + PROBATION;
        if !run.proven {
            return;
        }
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
            if self.may_turn_out_mass(id, now) {
                continue;
            }
            self.dismiss_mass(id);
            if self.is_proven_deadly(id) {
                self.give_up(id, now);
            }
        }
        self.isolate(now);
        self.poll_suspects(now);
    }

    /// Records that a crash was one of many at the same time, so that the next leader, which has
    /// not seen the others, does not blame a single task for it.
    fn dismiss_mass(&mut self, id: &TaskId) {
        let crashes = self.jobs.get(&id.job).and_then(|job| job.task(id)).map(|task| &task.crashes);
        let blamed = crashes.map_or(0, Vec::len);
        let mass = |crash: &Crash| crash.sole && self.is_mass(crash, blamed);
        let mass: Vec<bool> = crashes.into_iter().flatten().map(mass).collect();
        if !mass.contains(&true) {
            return;
        }
        let Some(task) = self.jobs.get_mut(&id.job).and_then(|job| job.task_mut(id)) else {
            return;
        };
        task.crashes.iter_mut().zip(mass).for_each(|(crash, mass)| crash.sole &= !mass);
        self.journal.add_progress(&id.job);
    }

    /// Ends a job with a task that crashes its workers.
    fn give_up(&mut self, id: &TaskId, now: Now) {
        let machines: Vec<String> =
            self.crashes_of(id).iter().map(|crash| crash.machine.to_string()).collect();
        let Some(job) = self.jobs.get_mut(&id.job).filter(|job| !job.is_terminal()) else { return };
        job.failed = true;
        event!(
            "job_failed",
            job = id.job,
            task = id,
            why = "crashes",
            crashes = machines.len(),
            machines = machines.join(",")
        );
        self.end_job(&id.job, now);
        self.journal.add_progress(&id.job);
    }
}

/// Returns when a worker whose return becomes known at `now` has started.
fn return_time(incarnation: u64, now: Now) -> Millis {
    let known = now.unix.saturating_sub(MAX_RETURN_AGE)..=now.unix;
    if known.contains(&incarnation) { incarnation } else { now.unix }
}

impl Run {
    /// Whether it may crash its worker, last heard of at a reading of its clock: it had not run for
    /// long by then, and is not one that an earlier incarnation was told to start.
    fn may_crash(&self, clock: Millis) -> bool {
        let late_start = self.state == RunState::Stopping && self.started_at == 0;
        let survived = self.since.is_some_and(|since| clock >= since + PROBATION);
        !self.proven && !survived && !late_start
    }
}
