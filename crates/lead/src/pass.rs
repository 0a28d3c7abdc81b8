use base::{Name, Size};
use job::Step;

use crate::load::TaskKind;

/// Number of unplaced steps of one kind after which no more of that kind are tried.
const MAX_UNPLACED_STEPS: usize = 60;

/// Outcome so far of one placement pass over the queue. Free capacity only decreases during a
/// pass, so that a step that could not be placed cannot be placed later in it either.
#[derive(Debug, Default)]
pub(crate) struct Pass {
    /// Number of tasks started.
    pub(crate) starts: usize,
    /// Kinds of the steps that could not be placed.
    unplaced: Vec<TaskKind>,
    /// Steps that could not be placed only for lack of capacity.
    capacity_limited: Vec<CapacityLimited>,
}

/// A step that could not be placed for lack of capacity.
#[derive(Debug)]
struct CapacityLimited {
    kind: TaskKind,
    service: Name,
    image: Name,
    size: Size,
}

impl Pass {
    /// Records that a task of a step could not be placed.
    pub(crate) fn note_unplaced(&mut self, service: &Name, step: &Step, needs_ticket: bool) {
        let kind = TaskKind::of(step);
        self.unplaced.push(kind);
        let only_capacity =
            step.requires.is_none() && step.per_worker == 0 && !step.gang && !needs_ticket;
        if only_capacity {
            let (service, image) = (service.clone(), step.image.clone());
            self.capacity_limited.push(CapacityLimited { kind, service, image, size: step.size });
        }
    }

    /// Whether trying to place a task of a step can be skipped.
    pub(crate) fn can_skip(&self, service: &Name, step: &Step) -> bool {
        let kind = TaskKind::of(step);
        let tried = self.unplaced.iter().filter(|unplaced| **unplaced == kind).count();
        tried >= MAX_UNPLACED_STEPS
            || self.capacity_limited.iter().any(|limited| limited.covers(kind, service, step))
    }
}

impl CapacityLimited {
    /// Whether a task of a step needs at least as much capacity on the same service.
    /// Best-effort tasks must also have the same image, because interference depends on it.
    fn covers(&self, kind: TaskKind, service: &Name, step: &Step) -> bool {
        let comparable = kind != TaskKind::BestEffort || self.image == step.image;
        comparable && self.kind == kind && self.service == *service && self.size.fits(step.size)
    }
}
