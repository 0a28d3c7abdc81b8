use base::{Millis, Name, Now, event};
use job::TaskId;

use crate::{Lead, Run, RunState};

/// Interval between checks, in milliseconds.
const CHECK_INTERVAL: Millis = 250;
/// Factor of the typical run time from which a run counts as slow.
const SLOW_FACTOR: f64 = 2.5;
/// Shortest time after which a run can count as a straggler, in milliseconds.
const MIN_RUN_TIME: Millis = 900;
/// Shortest time without progress after which a run counts as stalled, in milliseconds.
const STALL_TIMEOUT: Millis = 2_500;
/// Weight of a completed run in the typical run time of its queue.
const RUN_TIME_WEIGHT: f64 = 0.05;
/// Weight of a completed run in the slowdown of its worker.
const SLOWDOWN_WEIGHT: f64 = 0.15;
/// Upper bound of a worker's slowdown factor.
const MAX_SLOWDOWN: f64 = 4.0;

/// Action taken on a straggler.
enum Remedy {
    Copy,
    Move,
}

impl Lead {
    /// Detects runs that take far longer than others of their queue. Starts a second run if
    /// the step allows speculative runs, otherwise moves the task.
    pub(crate) fn handle_stragglers(&mut self, now: Now) {
        if now.mono < self.stragglers_checked + CHECK_INTERVAL {
            return;
        }
        self.stragglers_checked = now.mono;
        let mut found = Vec::new();
        for (id, worker) in &self.workers {
            for (task, run) in &worker.runs {
                if let Some((remedy, why)) = self.detect_straggler(task, run, now.mono) {
                    found.push((id.clone(), task.clone(), remedy, why));
                }
            }
        }
        for (worker, task, remedy, why) in found {
            match remedy {
                Remedy::Copy => self.start_copy(&worker, &task, why, now),
                Remedy::Move => {
                    if let Some(state) =
                        self.jobs.get_mut(&task.job).and_then(|j| j.task_mut(&task))
                    {
                        state.avoid = Some(worker.clone());
                    }
                    self.update_slowdown(&worker, MAX_SLOWDOWN);
                    self.stop(&worker, &task, why);
                }
            }
        }
    }

    fn detect_straggler(
        &self,
        id: &TaskId,
        run: &Run,
        now: Millis,
    ) -> Option<(Remedy, &'static str)> {
        if run.state != RunState::Running
            || run.throttle != 100
            || run.confirmed_at + MIN_RUN_TIME > now
        {
            return None;
        }
        let job = self.jobs.get(&id.job).filter(|job| !job.is_terminal())?;
        let step = job.step(id).filter(|step| !step.long_running && !step.gang)?;
        let single = job.task(id)?.workers.len() == 1;
        let typical = *self.typical_runtime.get(&job.queue.name)?;
        let elapsed = (now - run.confirmed_at) as f64;
        if now > run.progress_at + STALL_TIMEOUT.max((typical * SLOW_FACTOR) as Millis / 2)
            && run.percent < 100
        {
            return Some(match step.speculative && single {
                true => (Remedy::Copy, "stands_still"),
                false => (Remedy::Move, "stands_still"),
            });
        }
        let estimate = elapsed * 100.0 / f64::from(run.percent.max(1));
        let left = estimate - elapsed;
        if estimate < typical * SLOW_FACTOR
            || left < typical + self.bounds.restore_time as f64
            || run.started_at == 0
        {
            return None;
        }
        match (step.speculative, single) {
            (true, true) => Some((Remedy::Copy, "slow")),
            (false, _)
                if step.checkpoints
                    && run.percent > 0
                    && estimate > 2.0 * SLOW_FACTOR * typical =>
            {
                Some((Remedy::Move, "slow"))
            }
            _ => None,
        }
    }

    /// Starts a second run of a task on another worker.
    fn start_copy(&mut self, worker: &Name, id: &TaskId, why: &str, now: Now) {
        if !self.may_copy(worker, id) {
            return;
        }
        let elsewhere = |other: &Name, _| other != worker;
        let Some(place) = self.find_worker_where(id, now, &elsewhere) else { return };
        event!("copy", task = id, from = worker, to = place, why = why);
        let run = self.next_run_id();
        let checkpoint =
            self.jobs.get(&id.job).and_then(|job| job.task(id)).map(|t| t.checkpoint.clone());
        self.start_run(id, &place, run, checkpoint.unwrap_or_default(), now);
    }

    /// Updates the typical run time of a queue and the slowdown of a worker with a completed
    /// run.
    pub(crate) fn record_run_time(&mut self, worker: &Name, queue: &Name, elapsed: Millis) {
        let elapsed = elapsed as f64;
        let typical = self.typical_runtime.entry(queue.clone()).or_insert(elapsed);
        *typical += RUN_TIME_WEIGHT * (elapsed - *typical);
        let ratio = (elapsed / typical.max(1.0)).clamp(0.5, MAX_SLOWDOWN);
        self.update_slowdown(worker, ratio);
    }

    fn update_slowdown(&mut self, worker: &Name, ratio: f64) {
        let Some(worker) = self.workers.get_mut(worker) else { return };
        worker.slowdown += SLOWDOWN_WEIGHT * (ratio - worker.slowdown);
    }
}
