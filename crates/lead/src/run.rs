use base::{Millis, Name, Size};
use job::Step;

/// What is known of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// Ordered; no answer yet.
    Starting,
    /// The order got no answer; it may start later.
    Doubt,
    /// It runs.
    Running,
    /// Ordered to stop, or not wanted.
    Stopping,
}

/// A run of a task on a worker.
#[derive(Debug, Clone)]
pub struct Run {
    /// Number of the run.
    pub no: u64,
    /// State.
    pub state: RunState,
    /// Size taken on the worker.
    pub size: Size,
    /// Whether it lives on unused processor time.
    pub fills: bool,
    /// Whether it runs until its job is cancelled.
    pub lasting: bool,
    /// Whether it serves and has a target for its tail latency.
    pub target: Millis,
    /// Image.
    pub image: Name,
    /// When it was ordered.
    pub began: Millis,
    /// When the worker's knowledge of it was certain; 0 while it is not.
    pub sure: Millis,
    /// When to repeat an order that got no answer.
    pub retry: Millis,
    /// Whether an order about it is on its way.
    pub ordered: bool,
    /// Work done, in percent.
    pub percent: u32,
    /// When the percentage last changed.
    pub moved: Millis,
    /// Newest figure: tail latency, or processor use.
    pub gauge: u64,
    /// Share of its speed, in percent.
    pub pace: u32,
    /// Since when a serving task has been over its target; 0 while it is not.
    pub over: Millis,
}

impl Run {
    /// A run that has just been ordered.
    pub(crate) fn ordered(no: u64, step: &Step, now: Millis) -> Run {
        Run {
            no,
            state: RunState::Starting,
            size: step.size,
            fills: step.fills,
            lasting: step.lasting,
            target: step.target,
            image: step.image.clone(),
            began: now,
            sure: 0,
            retry: 0,
            ordered: true,
            percent: 0,
            moved: now,
            gauge: 0,
            pace: 100,
            over: 0,
        }
    }

    /// Makes the order to stop be sent again.
    pub(crate) fn restop(&mut self, now: Millis) {
        self.sure = 0;
        self.ordered = false;
        self.retry = now;
    }

    /// What it takes of a worker's capacity.
    pub(crate) fn charged(&self) -> Size {
        if self.fills { Size { cpu: 0, ..self.size } } else { self.size }
    }
}
