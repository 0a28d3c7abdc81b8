use base::{Name, Size};
use job::Step;

use crate::load::Kind;

/// Steps of one kind that find no place after which others of it are not tried.
const MAX_BLOCKED: usize = 60;

/// What one pass over the queue has found out. Room is only taken while it lasts,
/// so that what found no place finds none later in it.
#[derive(Debug, Default)]
pub(crate) struct Pass {
    /// Tasks started.
    pub(crate) starts: usize,
    /// Steps that found no place, with their kinds.
    blocked: Vec<Kind>,
    /// Steps that found none for want of room alone.
    full: Vec<Full>,
}

/// A step that found no place for want of room.
#[derive(Debug)]
struct Full {
    kind: Kind,
    service: Name,
    image: Name,
    size: Size,
}

impl Pass {
    /// Notes that a task of a step found no place.
    pub(crate) fn note(&mut self, service: &Name, step: &Step, advised: bool) {
        let kind = Kind::of(step);
        self.blocked.push(kind);
        let free = step.requires.is_none() && step.per_worker == 0 && !step.gang && !advised;
        if free {
            let (service, image) = (service.clone(), step.image.clone());
            self.full.push(Full { kind, service, image, size: step.size });
        }
    }

    /// Whether a task of a step need not be tried.
    pub(crate) fn blocks(&self, service: &Name, step: &Step) -> bool {
        let kind = Kind::of(step);
        let tried = self.blocked.iter().filter(|blocked| **blocked == kind).count();
        tried >= MAX_BLOCKED || self.full.iter().any(|full| full.covers(kind, service, step))
    }
}

impl Full {
    /// Whether a task of a step needs at least as much. What fills is also kept away
    /// for the harm that its image does.
    fn covers(&self, kind: Kind, service: &Name, step: &Step) -> bool {
        let alike = kind != Kind::Fill || self.image == step.image;
        alike && self.kind == kind && self.service == *service && self.size.fits(step.size)
    }
}
