use std::{collections::BTreeMap, fmt};

use base::{Millis, Name};
use serde::{Deserialize, Serialize};

use crate::{Crash, JobRecord, Progress, Queue, Spec, Step, StepProgress, parts::Parts};

/// Identifies a task of a job; displayed as `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    /// Identifier of the job.
    pub job: Name,
    /// Occurrence; 0 for a job without a schedule.
    #[serde(rename = "occ")]
    pub occurrence: u32,
    /// Index of the step within the job.
    pub step: u32,
    /// Index of the task within the step.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}.{}", self.job, self.occurrence, self.step, self.index)
    }
}

/// Identifies a step of one occurrence of a job; displayed as `JOB.OCCURRENCE.STEP`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepId {
    /// Identifier of the job.
    pub job: Name,
    /// Occurrence; 0 for a job without a schedule.
    pub occurrence: u32,
    /// Index of the step within the job.
    pub step: u32,
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

impl TaskId {
    /// Returns the step that the task belongs to.
    pub fn step_id(&self) -> StepId {
        StepId { job: self.job.clone(), occurrence: self.occurrence, step: self.step }
    }
}

/// State of a job as shown to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// No task has started.
    Queued,
    /// A task has started.
    Active,
    /// All tasks of all occurrences are done.
    Completed,
    /// A task has failed as often as its queue allows.
    Failed,
    /// A caller has cancelled the job.
    Cancelled,
}

/// State of a task.
#[derive(Debug, Clone, Default)]
pub struct Task {
    /// Whether it is done.
    pub done: bool,
    /// Numbers of the failed runs. The numbers are kept, not a count, so that a failure
    /// that a worker reports again to a new leader counts once.
    pub failed_runs: Vec<u64>,
    /// Crashes of workers that it may have caused, since it last ran for long enough to show
    /// that it does not crash its worker.
    pub crashes: Vec<Crash>,
    /// Newest checkpoint; empty where there is none.
    pub checkpoint: Name,
    /// Workers that have or may have a run of it.
    pub workers: Vec<Name>,
    /// Whether it waits for a worker.
    pub queued: bool,
    /// Worker of the last unsuccessful run; other workers are preferred.
    pub avoid: Option<Name>,
}

/// State of a step of one occurrence.
#[derive(Debug, Clone)]
pub struct StepState {
    /// Tasks, by index.
    pub tasks: Vec<Task>,
    /// Number of tasks that are not done.
    pub remaining: u32,
    /// Whether its dependencies are done, so that its tasks may start.
    pub open: bool,
}

/// State of one occurrence: one pass through all steps.
#[derive(Debug, Clone)]
pub struct Occurrence {
    /// Steps, by index.
    pub steps: Vec<StepState>,
    /// Whether it is not due by this leader's clock, though an earlier leader has begun it. None of
    /// its tasks is queued meanwhile.
    pub early: bool,
}

/// An accepted job.
#[derive(Debug, Clone)]
pub struct Job {
    /// Identifier, chosen by the caller.
    pub id: Name,
    /// Settings of its queue at the time of acceptance.
    pub queue: Queue,
    /// Specification as submitted.
    pub spec: Spec,
    /// Time of acceptance, in Unix milliseconds.
    pub accepted_at: Millis,
    /// Whether its job record is durable; until then no task starts.
    pub stored: bool,
    /// Whether it was accepted before this leader took over.
    pub inherited: bool,
    /// Whether a task has started.
    pub started: bool,
    /// Whether cancellation was requested; it takes effect once it is durable.
    pub cancel_requested: bool,
    /// Whether cancellation has taken effect.
    pub cancelled: bool,
    /// Whether the job has failed; it is not retried.
    pub failed: bool,
    /// Time at which the job ended, in Unix milliseconds; 0 until then.
    pub ended_at: Millis,
    /// Whether its outcome is durable, so that callers may see it.
    pub end_stored: bool,
    /// Occurrences in progress.
    pub in_progress: BTreeMap<u32, Occurrence>,
    /// Number of the next occurrence to begin. The tasks of all earlier ones that are not in
    /// progress are done.
    pub next_occurrence: u32,
    /// Parts of its progress, `None` while one record holds it.
    pub(crate) parts: Option<Parts>,
}

impl Occurrence {
    pub(crate) fn new(spec: &Spec) -> Occurrence {
        let steps = spec.steps.iter().map(|step| StepState {
            tasks: vec![Task::default(); step.count as usize],
            remaining: step.count,
            open: false,
        });
        Occurrence { steps: steps.collect(), early: false }
    }
}

impl Job {
    /// Creates a job that was just submitted; nothing of it is durable yet.
    pub fn new(id: Name, record: JobRecord) -> Job {
        Job {
            id,
            queue: record.queue,
            spec: record.spec,
            accepted_at: record.accepted_at,
            stored: false,
            inherited: false,
            started: false,
            cancel_requested: false,
            cancelled: false,
            failed: false,
            ended_at: 0,
            end_stored: false,
            in_progress: BTreeMap::new(),
            next_occurrence: 0,
            parts: None,
        }
    }

    /// Rebuilds a job from its stored records, for a leader that takes over.
    pub fn restore(id: Name, record: JobRecord, progress: Option<Progress>) -> Job {
        let mut job = Job::new(id, record);
        job.stored = true;
        job.inherited = true;
        let Some(progress) = progress else { return job };
        job.cancelled = progress.cancelled;
        job.failed = progress.failed;
        job.ended_at = progress.ended_at;
        job.next_occurrence =
            progress.in_progress.iter().map(|(occ, _)| occ + 1).max().unwrap_or(0);
        job.next_occurrence =
            job.next_occurrence.max(progress.finished.iter().map(|occ| occ + 1).max().unwrap_or(0));
        job.started = job.next_occurrence > 0;
        for (occ, steps) in progress.in_progress {
            let mut state = Occurrence::new(&job.spec);
            for (step, progress) in state.steps.iter_mut().zip(steps) {
                step.restore(progress);
            }
            job.in_progress.insert(occ, state);
        }
        job.end_stored = job.is_terminal();
        for (occurrence, step, index, crashes) in progress.crashes {
            let task = TaskId { job: job.id.clone(), occurrence, step, index };
            if let Some(task) = job.task_mut(&task) {
                task.crashes = crashes;
            }
        }
        job
    }

    /// Returns the progress record to store.
    pub fn progress(&self) -> Progress {
        let steps = |state: &Occurrence| state.steps.iter().map(StepState::progress).collect();
        let in_progress = if self.is_terminal() {
            Vec::new()
        } else {
            self.in_progress.iter().map(|(occ, state)| (*occ, steps(state))).collect()
        };
        Progress {
            cancelled: self.cancelled || self.cancel_requested,
            failed: self.failed,
            ended_at: self.ended_at,
            finished: (0..self.next_occurrence)
                .filter(|occ| !self.in_progress.contains_key(occ))
                .collect(),
            in_progress,
            crashes: if self.is_terminal() { Vec::new() } else { self.crashes() },
        }
    }

    /// Returns the tasks that are not done and may have crashed workers, by occurrence, step
    /// and index.
    pub fn crashes(&self) -> Vec<(u32, u32, u32, Vec<Crash>)> {
        let mut crashes = Vec::new();
        for (occ, state) in &self.in_progress {
            for (step, state) in state.steps.iter().enumerate() {
                let blamed = state.tasks.iter().enumerate();
                let blamed = blamed.filter(|(_, task)| !task.done && !task.crashes.is_empty());
                crashes.extend(
                    blamed.map(|(index, task)| {
                        (*occ, step as u32, index as u32, task.crashes.clone())
                    }),
                );
            }
        }
        crashes
    }

    /// Returns the job record to store.
    pub fn record(&self) -> JobRecord {
        JobRecord {
            queue: self.queue.clone(),
            spec: self.spec.clone(),
            accepted_at: self.accepted_at,
        }
    }

    /// Returns the number of occurrences; 1 for a job without a schedule.
    pub fn occurrences(&self) -> u32 {
        self.spec.repeat.map_or(1, |r| r.count)
    }

    /// Returns the time at which an occurrence is due, in Unix milliseconds; 0 for a job
    /// without a schedule.
    pub fn due(&self, occ: u32) -> Millis {
        self.spec.repeat.map_or(0, |repeat| repeat.due(occ))
    }

    /// Returns whether the job has completed, failed or been cancelled, so that nothing
    /// of it is to run any more.
    pub fn is_terminal(&self) -> bool {
        self.cancelled || self.failed || self.completed()
    }

    /// Returns whether all tasks of all occurrences are done.
    pub fn completed(&self) -> bool {
        self.in_progress.is_empty() && self.next_occurrence >= self.occurrences()
    }

    /// Returns the state to show to callers. A final state is shown only once it is
    /// durable; until then the job counts as queued or active.
    pub fn state(&self) -> State {
        if self.is_terminal() && self.end_stored {
            return match (self.cancelled, self.failed) {
                (true, _) => State::Cancelled,
                (_, true) => State::Failed,
                _ => State::Completed,
            };
        }
        if self.started { State::Active } else { State::Queued }
    }

    /// Begins at most `most` of the occurrences that are due at a Unix time and returns their numbers.
    pub fn begin(&mut self, unix: Millis, most: u32) -> Vec<u32> {
        let end = self.next_occurrence.saturating_add(most);
        self.begin_while(|job| job.next_occurrence < end && job.due(job.next_occurrence) <= unix)
    }

    /// Begins the occurrences up to one that an earlier leader has begun, and returns their
    /// numbers.
    pub fn begin_through(&mut self, occ: u32) -> Vec<u32> {
        self.begin_while(|job| job.next_occurrence <= occ)
    }

    fn begin_while(&mut self, due: impl Fn(&Job) -> bool) -> Vec<u32> {
        let mut begun = Vec::new();
        while !self.is_terminal() && self.next_occurrence < self.occurrences() && due(self) {
            self.in_progress.insert(self.next_occurrence, Occurrence::new(&self.spec));
            begun.push(self.next_occurrence);
            self.next_occurrence += 1;
        }
        begun
    }

    /// Marks an occurrence that has begun but is not due at `unix` as early. Returns whether it is.
    pub fn hold_early(&mut self, occ: u32, unix: Millis) -> bool {
        let early = self.due(occ) > unix;
        if let Some(state) = self.in_progress.get_mut(&occ) {
            state.early = early;
        }
        early
    }

    /// Returns the tasks of open steps, those that are not done, of the early occurrences that are due
    /// at `unix`, which are no longer early then.
    pub fn release_due(&mut self, unix: Millis) -> Vec<TaskId> {
        let repeat = self.spec.repeat;
        let due = |occ: u32| repeat.is_none_or(|repeat| repeat.due(occ) <= unix);
        let mut released = Vec::new();
        for (occ, state) in &mut self.in_progress {
            if !state.early || !due(*occ) {
                continue;
            }
            state.early = false;
            for (step, tasks) in state.steps.iter().enumerate().filter(|(_, step)| step.open) {
                let undone = tasks.tasks.iter().enumerate().filter(|(_, task)| !task.done);
                released.extend(undone.map(|(index, _)| TaskId {
                    job: self.id.clone(),
                    occurrence: *occ,
                    step: step as u32,
                    index: index as u32,
                }));
            }
        }
        released
    }

    /// Opens the steps of an occurrence whose dependencies are done; returns the indexes
    /// of those newly opened.
    pub fn open_steps(&mut self, occ: u32) -> Vec<u32> {
        let Some(state) = self.in_progress.get_mut(&occ) else { return Vec::new() };
        let mut opened = Vec::new();
        for (index, step) in self.spec.steps.iter().enumerate() {
            let ready = step.depends_on.iter().all(|s| state.steps[*s as usize].remaining == 0);
            if !state.steps[index].open && ready {
                state.steps[index].open = true;
                opened.push(index as u32);
            }
        }
        opened
    }

    /// Returns the step of a task; `None` where the specification has no such step.
    pub fn step(&self, id: &TaskId) -> Option<&Step> {
        self.spec.steps.get(id.step as usize)
    }

    /// Returns a task; `None` unless its occurrence is in progress.
    pub fn task(&self, id: &TaskId) -> Option<&Task> {
        self.in_progress
            .get(&id.occurrence)?
            .steps
            .get(id.step as usize)?
            .tasks
            .get(id.index as usize)
    }

    /// Returns a task for changes; `None` unless its occurrence is in progress.
    pub fn task_mut(&mut self, id: &TaskId) -> Option<&mut Task> {
        if let Some(parts) = &mut self.parts {
            parts.mark(id);
        }
        self.in_progress
            .get_mut(&id.occurrence)?
            .steps
            .get_mut(id.step as usize)?
            .tasks
            .get_mut(id.index as usize)
    }

    /// Marks a task as done; returns whether it was not done before.
    pub fn finish(&mut self, id: &TaskId) -> bool {
        let Some(occ) = self.in_progress.get_mut(&id.occurrence) else { return false };
        let Some(step) = occ.steps.get_mut(id.step as usize) else { return false };
        let Some(task) = step.tasks.get_mut(id.index as usize) else { return false };
        if task.done {
            return false;
        }
        task.done = true;
        step.remaining -= 1;
        let done = occ.steps.iter().all(StepState::is_done);
        if done {
            self.in_progress.remove(&id.occurrence);
        }
        match &mut self.parts {
            Some(parts) if done => parts.remove(id.occurrence),
            Some(parts) => parts.mark(id),
            None => {}
        }
        true
    }
}

impl Task {
    /// Returns whether its checkpoint is to be stored: the worker of a run reports it itself.
    pub(crate) fn has_checkpoint_to_store(&self) -> bool {
        !self.checkpoint.is_empty() && self.workers.is_empty()
    }
}

impl StepState {
    /// Returns whether all tasks are done.
    pub(crate) fn is_done(&self) -> bool {
        self.remaining == 0
    }

    pub(crate) fn restore(&mut self, progress: StepProgress) {
        for index in progress.done {
            let Some(task) = self.tasks.get_mut(index as usize) else { continue };
            task.done = true;
            self.remaining -= 1;
        }
        for (index, failed) in progress.failed {
            let Some(task) = self.tasks.get_mut(index as usize) else { continue };
            task.failed_runs = failed;
        }
        for (index, checkpoint) in progress.checkpoints {
            let Some(task) = self.tasks.get_mut(index as usize) else { continue };
            task.checkpoint = checkpoint;
        }
    }

    fn progress(&self) -> StepProgress {
        let mut progress = StepProgress::default();
        for (index, task) in self.tasks.iter().enumerate() {
            let index = index as u32;
            if task.done {
                progress.done.push(index);
                continue;
            }
            if !task.failed_runs.is_empty() {
                progress.failed.push((index, task.failed_runs.clone()));
            }
            if task.has_checkpoint_to_store() {
                progress.checkpoints.push((index, task.checkpoint.clone()));
            }
        }
        progress
    }
}
