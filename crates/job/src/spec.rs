use std::fmt;

use base::{Millis, Name, Size};
use serde::{Deserialize, Serialize};

/// Tasks of one step beyond which a job is refused.
const MAX_TASKS: u32 = 10_000;
/// Steps of one job beyond which it is refused.
const MAX_STEPS: usize = 256;
/// Bytes of the job's text beyond which it is refused.
const MAX_TEXT_BYTES: usize = 4_000;

/// What a job asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Spec {
    /// Text handed to each task.
    pub text: Name,
    /// Steps in order; a step depends on earlier ones only.
    pub steps: Vec<Step>,
    /// Schedule of a job that runs several times.
    pub repeat: Option<Repeat>,
}

/// A schedule of occurrences.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// Number of occurrences.
    pub count: u32,
    /// Time of the first, in Unix milliseconds.
    pub start: Millis,
    /// Time between two.
    pub interval: Millis,
}

/// A step: tasks of the same kind that may run at the same time.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Size of each task.
    pub size: Size,
    /// Rough run time of a task.
    pub estimate: Millis,
    /// Earlier steps whose tasks must all be done first.
    pub after: Vec<u32>,
    /// Whether the tasks write checkpoints.
    pub checkpoints: bool,
    /// Whether the tasks work only together.
    pub gang: bool,
    /// Whether the tasks slow down when spread over racks.
    pub rack_local: bool,
    /// Label that the worker must have.
    pub requires: Option<Name>,
    /// Rack that holds the data.
    pub affinity: Option<Name>,
    /// Most tasks of the step on one worker; 0 is no limit.
    pub per_worker: u32,
    /// Whether copies of a task may run in parallel.
    pub copies: bool,
    /// Whether the tasks run until the job is cancelled.
    pub lasting: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Name,
    /// Tail latency that a lasting task must stay below; 0 is none.
    pub target: Millis,
    /// Whether the tasks live on processor time that others leave unused.
    pub fills: bool,
    /// Tasks of a step that lasts which the scheduler may make unavailable at the same
    /// time; 0 where the caller names no limit.
    pub unavailable: u32,
}

/// Why a job cannot be taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Step at fault, where one is.
    pub step: Option<usize>,
    /// What is wrong.
    pub reason: &'static str,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.step {
            Some(step) => write!(f, "step {step}: {}", self.reason),
            None => f.write_str(self.reason),
        }
    }
}

impl Spec {
    /// Checks that the job can be carried out in principle.
    ///
    /// # Errors
    /// The first [`Fault`] found.
    pub fn check(&self) -> Result<(), Fault> {
        let whole = |reason| Fault { step: None, reason };
        if self.text.len() > MAX_TEXT_BYTES {
            return Err(whole("the text is longer than 4000 bytes"));
        }
        if self.steps.is_empty() {
            return Err(whole("a job needs a step"));
        }
        if self.steps.len() > MAX_STEPS {
            return Err(whole("more than 256 steps"));
        }
        for (at, step) in self.steps.iter().enumerate() {
            step.check(at).map_err(|reason| Fault { step: Some(at), reason })?;
        }
        Ok(())
    }
}

impl Step {
    fn check(&self, at: usize) -> Result<(), &'static str> {
        if self.count == 0 {
            return Err("a step needs a task");
        }
        if self.count > MAX_TASKS {
            return Err("more than 10000 tasks");
        }
        if self.after.iter().any(|s| *s as usize >= at) {
            return Err("a step can depend on earlier steps only");
        }
        Ok(())
    }
}
