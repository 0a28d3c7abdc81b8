use std::fmt;

use base::{Millis, Name, Size};
use serde::{Deserialize, Serialize};

/// Limit on the tasks of one step; a job with more is refused.
const MAX_TASKS: u32 = 10_000;
/// Limit on the steps of one job; a job with more is refused.
const MAX_STEPS: usize = 256;
/// Limit on the length of the job's text; a longer one is refused.
const MAX_TEXT_BYTES: usize = 4_000;

/// Specification of a job, as submitted by a caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Spec {
    /// Text that is passed to each task unchanged.
    pub text: Name,
    /// Steps, sorted so that each depends on earlier ones only.
    pub steps: Vec<Step>,
    /// Schedule of a job that runs several times; `None` for one that runs once.
    pub repeat: Option<Repeat>,
}

/// A schedule: the steps of the job run once per occurrence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// Number of occurrences.
    pub count: u32,
    /// Time of the first occurrence, in Unix milliseconds.
    pub start: Millis,
    /// Time between the starts of two occurrences.
    pub interval: Millis,
}

impl Repeat {
    /// Returns the time of an occurrence, in Unix milliseconds.
    pub(crate) fn due(self, occ: u32) -> Millis {
        self.start + u64::from(occ) * self.interval
    }
}

/// A step: identical tasks that may run in parallel.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub size: Size,
    /// Estimated run time of a task.
    pub estimate: Millis,
    /// Dependencies: indexes of earlier steps whose tasks must all be done first.
    #[serde(rename = "after")]
    pub depends_on: Vec<u32>,
    /// Whether the tasks write checkpoints that a later run can resume from.
    pub checkpoints: bool,
    /// Whether the tasks form a gang: all of them run at the same time or none does.
    pub gang: bool,
    /// Whether the tasks run slower when they are spread over several racks.
    pub rack_local: bool,
    /// Label that the worker must have.
    pub requires: Option<Name>,
    /// Label of the rack that holds the data; workers there are preferred.
    pub affinity: Option<Name>,
    /// Limit on the tasks of the step on one worker; 0 for no limit.
    pub per_worker: u32,
    /// Whether a straggling task may get a speculative second run.
    #[serde(rename = "copies")]
    pub speculative: bool,
    /// Whether the tasks are long-running: they run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Program that the tasks run; measurements of one image apply to all its tasks.
    pub image: Name,
    /// Latency target of a long-running task: its tail latency, in milliseconds, must
    /// stay below it. 0 for none.
    #[serde(rename = "target")]
    pub latency_target: Millis,
    /// Whether the tasks are best-effort: they run on CPU left idle by others.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// Limit on the tasks of a long-running step that the scheduler may make
    /// unavailable at the same time; 0 where the caller sets none.
    #[serde(rename = "unavailable")]
    pub max_unavailable: u32,
}

/// Why a job specification is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SpecError {
    /// Index of the step at fault; `None` where the job as a whole is.
    pub step: Option<usize>,
    /// Description of the fault, sent to the caller.
    pub reason: &'static str,
}

impl fmt::Display for SpecError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.step {
            Some(step) => write!(f, "step {step}: {}", self.reason),
            None => f.write_str(self.reason),
        }
    }
}

impl Spec {
    /// Checks the limits and dependencies. Does not check that any worker is large enough.
    ///
    /// # Errors
    /// The first [`SpecError`] found.
    pub fn check(&self) -> Result<(), SpecError> {
        let job_fault = |reason| SpecError { step: None, reason };
        if self.text.len() > MAX_TEXT_BYTES {
            return Err(job_fault("the text is longer than 4000 bytes"));
        }
        if self.steps.is_empty() {
            return Err(job_fault("a job needs a step"));
        }
        if self.steps.len() > MAX_STEPS {
            return Err(job_fault("more than 256 steps"));
        }
        for (at, step) in self.steps.iter().enumerate() {
            step.check(at).map_err(|reason| SpecError { step: Some(at), reason })?;
        }
        Ok(())
    }
}

impl Step {
    /// Returns whether the workers that may run a task depend on its step and occurrence, whatever
    /// else the step asks for: it has a limit for each worker, or its queue `needs_ticket`.
    pub fn has_own_workers(&self, needs_ticket: bool) -> bool {
        self.per_worker > 0 || needs_ticket
    }

    fn check(&self, at: usize) -> Result<(), &'static str> {
        if self.count == 0 {
            return Err("a step needs a task");
        }
        if self.count > MAX_TASKS {
            return Err("more than 10000 tasks");
        }
        if self.depends_on.iter().any(|s| *s as usize >= at) {
            return Err("a step can depend on earlier steps only");
        }
        Ok(())
    }
}
