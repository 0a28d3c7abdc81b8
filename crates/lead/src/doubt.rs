use std::collections::{BTreeMap, BTreeSet};

use base::{Millis, Name, Now, event};
use job::{StartInDoubt, TaskId};
use port::{Completion, Outcome, Start};

use crate::{Lead, Run, RunState, Worker, worker::MAX_COMMAND_DELAY};

/// Amount by which the time of day of two entry VMs is assumed to differ at most.
const MAX_CLOCK_DIFFERENCE: Millis = 2_500;

/// Start commands without a reply, by task. Each may be carried out once, until it is too old to
/// arrive: by the incarnation of the worker that it was sent to, unless that has seen a higher token, or
/// by a later one before its first request with a higher token. So the task may not run on another
/// worker until then, and its completion may not be acknowledged.
#[derive(Debug, Clone, Default)]
pub(crate) struct StartsInDoubt {
    by_task: BTreeMap<TaskId, Vec<LateStart>>,
}

/// A start command that may still arrive.
#[derive(Debug, Clone)]
struct LateStart {
    worker: Name,
    run: u64,
    sent_at: Millis,
    /// The same in Unix milliseconds, for the next leader.
    sent_unix: Millis,
    /// Whether its task stays on the worker: copies of a task may run side by side.
    binds: bool,
}

impl LateStart {
    /// Returns when it is too old to arrive.
    fn arrives_by(&self) -> Millis {
        self.sent_at + MAX_COMMAND_DELAY
    }
}

impl StartsInDoubt {
    fn add(&mut self, task: &TaskId, start: LateStart) {
        self.by_task.entry(task.clone()).or_default().push(start);
    }

    /// Removes a start that a worker has carried out.
    fn carried_out(&mut self, worker: &Name, task: &TaskId, run: u64) -> bool {
        let Some(starts) = self.by_task.get_mut(task) else { return false };
        let known = starts.len();
        starts.retain(|start| start.run != run || start.worker != *worker);
        let removed = starts.len() < known;
        if starts.is_empty() {
            self.by_task.remove(task);
        }
        removed
    }

    /// Removes the starts that are too old to arrive. Returns their workers.
    fn expire(&mut self, now: Millis) -> BTreeSet<Name> {
        let mut workers = BTreeSet::new();
        self.by_task.retain(|_, starts| {
            starts.retain(|start| {
                let late = now < start.arrives_by();
                if !late {
                    workers.insert(start.worker.clone());
                }
                late
            });
            !starts.is_empty()
        });
        workers
    }

    /// Removes the starts of a worker.
    fn clear(&mut self, worker: &Name) {
        self.by_task.retain(|_, starts| {
            starts.retain(|start| start.worker != *worker);
            !starts.is_empty()
        });
    }

    /// Returns the worker on which a task stays: that of its newest start.
    fn worker(&self, task: &TaskId) -> Option<&Name> {
        let mut starts = self.by_task.get(task)?.iter().rev();
        starts.find(|start| start.binds).map(|start| &start.worker)
    }

    /// Returns when all starts of a task are too old to arrive; 0 if there are none.
    fn end(&self, task: &TaskId) -> Millis {
        let starts = self.by_task.get(task).into_iter().flatten().filter(|start| start.binds);
        starts.map(LateStart::arrives_by).max().unwrap_or(0)
    }

    /// Returns the starts that were sent to a worker.
    fn on(&self, worker: &Name) -> impl Iterator<Item = (&TaskId, &LateStart)> {
        let starts =
            self.by_task.iter().flat_map(|(task, starts)| starts.iter().map(move |s| (task, s)));
        starts.filter(move |(_, start)| start.worker == *worker)
    }

    /// Returns whether starts that were sent to a worker may arrive.
    pub(crate) fn any_on(&self, worker: &Name) -> bool {
        self.on(worker).next().is_some()
    }

    /// Returns the runs that starts sent to a worker may begin.
    pub(crate) fn runs_on(&self, worker: &Name) -> BTreeSet<(TaskId, u64)> {
        self.on(worker).map(|(task, start)| (task.clone(), start.run)).collect()
    }

    /// Returns the highest run of a task that a start sent to a worker before `time` may begin.
    pub(crate) fn run_before(&self, worker: &Name, task: &TaskId, time: Millis) -> Option<u64> {
        let starts = self.by_task.get(task)?.iter();
        let earlier = starts.filter(|start| start.worker == *worker && start.sent_at < time);
        earlier.map(|start| start.run).max()
    }

    /// Returns the starts of a worker, for its record.
    pub(crate) fn of_worker(&self, worker: &Name) -> Vec<StartInDoubt> {
        let record = |(task, start): (&TaskId, &LateStart)| StartInDoubt {
            task: task.clone(),
            run: start.run,
            sent_at: start.sent_unix,
        };
        self.on(worker).map(record).collect()
    }
}

impl Lead {
    /// Handles a start without a reply. It is in doubt unless a list has shown its run since.
    pub(crate) fn note_start_in_doubt(&mut self, worker: &Name, start: &Start, now: Now) {
        let (id, run_id) = (&start.task, start.run);
        let Some(job) = self.jobs.get(&id.job) else { return };
        let Some(step) = job.step(id) else { return };
        let binds = !step.speculative;
        let run = self.workers.get(worker).and_then(|worker| worker.runs.get(id));
        let run = run.filter(|run| run.run_id == run_id);
        let sent_at = match run {
            Some(run) if run.incarnation.is_some() && !run.resent => return,
            Some(run) => run.started_at,
            None => {
                let task = job.task(id).filter(|task| !task.done && !job.is_terminal());
                if task.is_none_or(|task| task.failed_runs.contains(&run_id)) {
                    return;
                }
                now.mono
            }
        };
        let sent_unix = now.unix.saturating_sub(now.mono.saturating_sub(sent_at));
        let start = LateStart { worker: worker.clone(), run: run_id, sent_at, sent_unix, binds };
        self.starts_in_doubt.add(id, start);
        self.record_starts_in_doubt(worker);
    }

    /// Handles a run that a worker has listed, as running or as ended. If it was sent one start for
    /// it, that one can't arrive any more.
    pub(crate) fn note_carried_out(&mut self, name: &Name, id: &TaskId, run_id: u64) {
        let run = self.workers.get(name).and_then(|worker| worker.runs.get(id));
        let sent_once = run.is_some_and(|run| run.run_id == run_id && !run.resent);
        if sent_once && self.starts_in_doubt.carried_out(name, id, run_id) {
            self.record_starts_in_doubt(name);
        }
    }

    /// Handles a worker that another one has replaced at its address, which refuses what was meant for
    /// it.
    pub(crate) fn forget_starts_in_doubt(&mut self, worker: &Name) {
        self.starts_in_doubt.clear(worker);
        self.record_starts_in_doubt(worker);
    }

    /// Forgets the starts that are too old to arrive.
    pub(crate) fn expire_starts_in_doubt(&mut self, now: Now) {
        for worker in self.starts_in_doubt.expire(now.mono) {
            self.record_starts_in_doubt(&worker);
        }
    }

    /// Records a worker's starts in doubt for the next leader.
    fn record_starts_in_doubt(&mut self, name: &Name) {
        let recorded = |worker: &Worker| worker.record_batch.is_some() || worker.closed;
        if self.workers.get(name).is_some_and(recorded) {
            self.journal.add_worker(name);
        }
    }

    /// Takes up the starts that were in doubt under an earlier leader, whose time of day may differ.
    pub(crate) fn restore_starts_in_doubt(
        &mut self,
        worker: &Name,
        starts: &[StartInDoubt],
        now: Now,
    ) {
        for StartInDoubt { task, run, sent_at } in starts {
            let step = self.jobs.get(&task.job).and_then(|job| job.step(task));
            let binds = step.is_none_or(|step| !step.speculative);
            let age = now.unix.saturating_sub(*sent_at).saturating_sub(MAX_CLOCK_DIFFERENCE);
            let start = LateStart {
                worker: worker.clone(),
                run: *run,
                sent_at: now.mono.saturating_sub(age),
                sent_unix: *sent_at,
                binds,
            };
            self.starts_in_doubt.add(task, start);
        }
    }

    /// Returns the number of starts sent to a worker that have no reply and may still arrive.
    pub fn starts_in_doubt(&self, worker: &Name) -> usize {
        self.starts_in_doubt.on(worker).count()
    }

    /// Returns the worker on which a task has to stay, since a start sent to it may still arrive. One
    /// that is leaving has no further incarnation.
    pub(crate) fn bound_worker(&self, id: &TaskId) -> Option<&Name> {
        let name = self.starts_in_doubt.worker(id)?;
        let leaving = |worker: &Worker| worker.info.draining || worker.leaving;
        (!self.workers.get(name).is_some_and(leaving)).then_some(name)
    }

    /// Releases the long-running tasks of a worker whose leases have expired: they may not be down for
    /// as long as a start may be late.
    pub(crate) fn release_long_running(&mut self, name: &Name) {
        let jobs = &self.jobs;
        let long_running = |task: &TaskId| {
            jobs.get(&task.job).and_then(|job| job.step(task)).is_some_and(|step| step.long_running)
        };
        for (_, starts) in self.starts_in_doubt.by_task.iter_mut().filter(|(t, _)| long_running(t))
        {
            let here = starts.iter_mut().filter(|start| start.worker == *name);
            here.for_each(|start| start.binds = false);
        }
    }

    /// Returns the worker on which a task that has to stay on one may start now, if any.
    pub(crate) fn find_bound(&mut self, id: &TaskId, now: Now) -> Option<Name> {
        let bound = self.bound_worker(id)?.clone();
        let task = self.jobs.get(&id.job).and_then(|job| job.task(id))?;
        // Where it has failed, it waits until it may start elsewhere.
        if !task.failed_runs.is_empty() && task.avoid.as_ref() == Some(&bound) {
            return None;
        }
        if self.needs_ticket(id) {
            self.request_ticket(id, now);
        }
        self.may_start_on(id, &bound, now).then_some(bound)
    }

    /// Returns until when a completion may not be acknowledged: a start of its task, or of a member of
    /// its gang, could begin the task again.
    pub(crate) fn held_until(&self, completion: &Completion) -> Millis {
        let counts = matches!(completion.outcome, Outcome::Done | Outcome::Failed);
        if !counts || self.starts_in_doubt.by_task.is_empty() {
            return 0;
        }
        let id = &completion.task;
        let step = self.jobs.get(&id.job).and_then(|job| job.step(id));
        if step.is_none_or(|step| step.long_running) {
            return 0;
        }
        let ends = self.with_gang(id).into_iter().map(|member| self.starts_in_doubt.end(&member));
        ends.max().unwrap_or(0)
    }

    /// Follows up on a start without a reply, once the worker has listed its runs since. It is sent
    /// again where the worker may take it; otherwise, and where it may have crashed the worker, the run
    /// is stopped.
    pub(crate) fn retry_start(&mut self, name: &Name, id: &TaskId, now: Now) {
        let Some(worker) = self.workers.get(name) else { return };
        let Some(run) = worker.runs.get(id) else { return };
        let wanted = self
            .jobs
            .get(&id.job)
            .is_some_and(|job| !job.is_terminal() && job.task(id).is_some_and(|task| !task.done));
        let suits = self.requirements(id).is_some_and(|req| {
            req.matches(worker) && (!req.needs_ticket || self.ticket(id, name, now).is_some())
        });
        let takes = suits && worker.is_offered(now.mono) && !worker.over_size();
        if run.given_up || run.crash.is_some() || !wanted || !takes {
            if let Some(run) = self.workers.get_mut(name).and_then(|w| w.runs.get_mut(id)) {
                run.given_up = true;
            }
            return self.send_stop(name, id);
        }
        if !worker.usable(self.journal.stored, now.mono) {
            return;
        }
        let (run_id, checkpoint) = (run.run_id, run.checkpoint.clone());
        event!("start_again", task = id, worker = name, run = run_id);
        metrics::counter!("starts_again").increment(1);
        if let Some(run) = self.workers.get_mut(name).and_then(|worker| worker.runs.get_mut(id)) {
            run.send_again(now.mono);
        }
        self.send_start(id, name, run_id, checkpoint, now);
    }
}

impl Run {
    /// Notes that the start command is sent again.
    fn send_again(&mut self, now: Millis) {
        self.state = RunState::Starting;
        self.resent = true;
        self.in_flight = true;
        self.started_at = now;
    }
}

impl Worker {
    /// Returns the tasks without a run here that starts in doubt may still begin, with the highest run id
    /// of each: its stop covers the lower ones.
    pub(crate) fn late_starts(&self, starts: &StartsInDoubt) -> BTreeMap<TaskId, u64> {
        let runs = starts.runs_on(&self.info.id).into_iter();
        runs.filter(|(task, _)| !self.runs.contains_key(task)).collect()
    }
}
