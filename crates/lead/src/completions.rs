use base::{Name, Now, event};
use job::TaskId;
use port::{Completion, Outcome};

use crate::{Lead, RunState, worker::PendingAck};

/// Consecutive failed runs after which a worker is paused.
const FAILURE_THRESHOLD: u32 = 3;
/// Pause of such a worker in milliseconds, per consecutive failure.
const FAILURE_PAUSE: u64 = 700;
/// Longest pause of such a worker in milliseconds.
const MAX_FAILURE_PAUSE: u64 = 6_000;

impl Lead {
    /// Handles a completion listed by a worker.
    pub(crate) fn on_completion(&mut self, worker: &Name, completion: Completion, now: Now) {
        let task = completion.task.clone();
        self.begin_listed(&task, now);
        self.note_carried_out(worker, &task, completion.run);
        let held_until = self.held_until(&completion);
        self.remove_run(worker, &completion, now);
        self.drop_superseded(&task, completion.run);
        let batch = self.apply_completion(worker, &completion, now);
        let mut incarnation = 0;
        if let Some(worker) = self.workers.get_mut(worker) {
            let number = completion.number;
            worker.pending_acks.push_back(PendingAck { number, batch, held_until });
            incarnation = worker.info.incarnation;
        }
        event!(
            "end",
            task = task,
            worker = worker,
            run = completion.run,
            how = format!("{:?}", completion.outcome).to_lowercase(),
            number = completion.number,
            born = incarnation,
            batch = batch,
            held = held_until.saturating_sub(now.mono)
        );
    }

    /// Removes the run from its worker and updates the failure count and run time statistics.
    fn remove_run(&mut self, name: &Name, completion: &Completion, now: Now) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        if worker.runs.get(&completion.task).is_none_or(|run| run.run_id != completion.run) {
            return;
        }
        let Some(run) = worker.remove(&completion.task) else { return };
        match completion.outcome {
            Outcome::Done => {
                worker.failures = 0;
                worker.paused_until = 0;
            }
            Outcome::Failed => {
                // Members of a gang that fail together are one failed run.
                let counted = std::mem::replace(&mut worker.failed_run, completion.run);
                worker.failures += u32::from(counted != completion.run);
                if worker.failures >= FAILURE_THRESHOLD {
                    let pause = (FAILURE_PAUSE * u64::from(worker.failures)).min(MAX_FAILURE_PAUSE);
                    worker.paused_until = now.mono + pause;
                    event!("worker_paused", worker = name, failures = worker.failures, ms = pause);
                }
            }
            _ => {}
        }
        let Some(job) = self.jobs.get_mut(&completion.task.job) else { return };
        if let Some(task) = job.task_mut(&completion.task) {
            task.workers.retain(|other| other != name);
        }
        let queue = job.queue.name.clone();
        if completion.outcome == Outcome::Done
            && run.confirmed_at > 0
            && run.throttle == 100
            && run.started_at > 0
        {
            self.record_run_time(name, &queue, now.mono.saturating_sub(run.confirmed_at));
        }
    }

    /// Applies the completion to its job. Returns the batch that has to be durable before the
    /// completion may be acknowledged, 0 if none has. Where the completion changes nothing, this
    /// may be due to changes that the next leader would not know of yet.
    fn apply_completion(&mut self, worker: &Name, completion: &Completion, now: Now) -> u64 {
        let id = &completion.task;
        if !self.jobs.contains_key(&id.job) {
            return 0;
        }
        if self.change_task(worker, completion, now) {
            return self.journal.add_progress(&id.job);
        }
        self.journal.batch_of(&id.job)
    }

    /// Applies the completion to its task. Returns whether the job has changed.
    fn change_task(&mut self, worker: &Name, completion: &Completion, now: Now) -> bool {
        let id = &completion.task;
        let Some(job) = self.jobs.get_mut(&id.job) else { return false };
        let Some(step) = job.step(id).cloned() else { return false };
        if job.is_terminal() {
            return false;
        }
        let attempts = job.queue.max_attempts;
        let Some(task) = job.task_mut(id).filter(|task| !task.done) else { return false };
        if !completion.checkpoint.is_empty() {
            task.checkpoint = completion.checkpoint.clone();
        }
        if step.long_running {
            task.avoid = Some(worker.clone());
            self.enqueue(id);
            return false;
        }
        match completion.outcome {
            Outcome::Done => {
                self.finish_task(id, now);
                return true;
            }
            Outcome::Failed => {
                if !task.failed_runs.contains(&completion.run) {
                    task.failed_runs.push(completion.run);
                }
                self.avoid(id, worker, completion.run);
                if self.failed_runs_of(id) >= attempts as usize {
                    if let Some(job) = self.jobs.get_mut(&id.job) {
                        job.failed = true;
                    }
                    event!("job_failed", job = id.job, task = id, failures = attempts);
                    self.end_job(&id.job, now);
                    return true;
                }
            }
            Outcome::Stopped | Outcome::Lapsed | Outcome::Broken | Outcome::Alone => {}
        }
        self.stop_gang(id);
        self.enqueue(id);
        true
    }

    /// Marks a task as done, stops its other runs and queues the tasks that depended on it.
    fn finish_task(&mut self, id: &TaskId, now: Now) {
        let Some(job) = self.jobs.get_mut(&id.job) else { return };
        let others = job.task(id).map(|task| task.workers.clone()).unwrap_or_default();
        let step = &job.spec.steps[id.step as usize];
        let gang = step.gang.then_some(step.count);
        job.finish(id);
        // The completion of one member completes the whole gang.
        for index in 0..gang.unwrap_or(0) {
            job.finish(&TaskId { index, ..id.clone() });
        }
        if let Some(waiting) = self.waiting.get_mut(&id.job) {
            waiting.retain(|task| task != id);
        }
        for worker in others {
            self.stop(&worker, id, "copy_done");
        }
        let Some(job) = self.jobs.get(&id.job) else { return };
        if job.completed() {
            event!("job_done", job = id.job, ms = now.unix.saturating_sub(job.accepted_at));
            self.end_job(&id.job, now);
            return;
        }
        self.open_steps(&id.job, id.occurrence);
    }

    /// Drops a run that certainly does not exist and queues its task again.
    pub(crate) fn drop_run(&mut self, name: &Name, id: &TaskId, why: &str, now: Now) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let Some(run) = worker.remove(id) else { return };
        event!(
            "run_gone",
            task = id,
            worker = name,
            run = run.run_id,
            why = why,
            state = format!("{:?}", run.state).to_lowercase(),
            confirmed = run.confirmed_before(now.mono)
        );
        if let Some(task) = self.jobs.get_mut(&id.job).and_then(|job| job.task_mut(id)) {
            task.workers.retain(|other| other != name);
        }
        if let Some(crash) = run.crash {
            self.blame(id, crash);
        }
        self.stop_gang(id);
        self.enqueue(id);
    }

    /// Stops a run, unless it is being stopped already.
    pub(crate) fn stop(&mut self, worker: &Name, id: &TaskId, why: &str) {
        let Some(run) = self.workers.get_mut(worker).and_then(|w| w.runs.get_mut(id)) else {
            return;
        };
        if run.state == RunState::Stopping {
            return;
        }
        run.state = RunState::Stopping;
        run.confirmed_at = 0;
        run.retry_at = 0;
        run.in_flight = false;
        event!("stop", task = id, worker = worker, run = run.run_id, why = why);
        self.send_stop(worker, id);
    }
}
