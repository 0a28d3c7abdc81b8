use base::{Name, Now, event};
use job::{LastRun, TaskId};

use crate::{Lead, Run, RunState, Worker, doubt::StartsInDoubt, journal::Journal};

/// Most last runs in the record of a worker, which keeps it well below the limit of the store.
const MAX_LAST_RUNS: usize = 1_000;

impl Lead {
    /// Updates the record of a worker that gets no more work, so that the next leader does not wait
    /// for it: deletes it if the worker has no runs, and has it list the last ones otherwise. An
    /// earlier leader may have started runs there after an earlier list if it has restarted unnoticed.
    pub(crate) fn retire(&mut self, id: &Name, now: Now) {
        let commands_end = self.commands_end;
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.is_offered(now.mono) {
            if worker.closed {
                worker.open_record(&mut self.journal);
            }
            return;
        }
        if !worker.listed_all || worker.listed_since < commands_end {
            return;
        }
        let runs = worker.last_runs(&self.starts_in_doubt).len();
        if runs == 0 && (worker.closed || worker.info.draining && worker.record_batch.is_some()) {
            worker.record_batch = None;
            worker.closed = false;
            event!("worker_retired", worker = id);
            self.journal.delete_worker(id);
        } else if (1..=MAX_LAST_RUNS).contains(&runs) && worker.record_batch.is_some() {
            worker.record_batch = None;
            worker.closed = true;
            event!("worker_closed", worker = id, runs = runs);
            self.journal.add_worker(id);
        }
    }

    /// Adds the runs that a worker may still have by its record. Their tasks do not start before the
    /// worker has listed its runs or its leases have expired.
    pub(crate) fn restore_last_runs(&mut self, id: &Name, runs: Vec<LastRun>, now: Now) {
        for LastRun { task, run: run_id, in_doubt } in runs {
            self.begin_listed(&task, now);
            let job = self.jobs.get_mut(&task.job).filter(|job| !job.is_terminal());
            let Some(job) = job else { continue };
            let Some(step) = job.step(&task).cloned() else { continue };
            let Some(state) = job.task_mut(&task).filter(|state| !state.done) else { continue };
            if in_doubt {
                self.add_late_start(id, task.clone(), run_id, now);
            } else {
                state.workers.push(id.clone());
                job.started = true;
                self.dequeue(&task);
                let run = Run {
                    state: RunState::Running,
                    started_at: 0,
                    confirmed_at: now.mono,
                    in_flight: false,
                    throttle: u32::MAX,
                    ..Run::starting(run_id, &step, now.mono)
                };
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.add(task.clone(), run);
                }
            }
            let run = self.workers.get_mut(id).and_then(|worker| worker.runs.get_mut(&task));
            if let Some(run) = run {
                run.recorded = true;
            }
        }
    }

    /// Drops the recorded runs of a task that has a later run: an earlier leader started that one when
    /// it knew that the others had ended.
    pub(crate) fn drop_superseded(&mut self, id: &TaskId, run_id: u64) {
        let task = self.jobs.get_mut(&id.job).and_then(|job| job.task_mut(id));
        let Some(task) = task else { return };
        for name in task.workers.clone() {
            let Some(worker) = self.workers.get_mut(&name) else { continue };
            let recorded = |run: &Run| run.recorded && run.run_id < run_id;
            if worker.runs.get(id).is_some_and(recorded) {
                worker.remove(id);
                task.workers.retain(|other| *other != name);
            }
        }
    }
}

impl Worker {
    /// Records that the worker may get work.
    pub(crate) fn open_record(&mut self, journal: &mut Journal) {
        self.record_batch = Some(journal.add_worker(&self.info.id));
        self.closed = false;
    }

    /// Returns the runs that the worker may still have if it gets no more work.
    pub(crate) fn last_runs(&self, starts: &StartsInDoubt) -> Vec<LastRun> {
        let row = |(task, run): (&TaskId, &Run)| LastRun {
            task: task.clone(),
            run: run.run_id,
            in_doubt: match run.state {
                RunState::Running => false,
                RunState::Stopping => run.confirmed_at == 0,
                RunState::Starting | RunState::Unconfirmed => true,
            },
        };
        let late = self.late_starts(starts).into_iter();
        let late = late.map(|(task, run)| LastRun { task, run, in_doubt: true });
        self.runs.iter().map(row).chain(late).collect()
    }
}
