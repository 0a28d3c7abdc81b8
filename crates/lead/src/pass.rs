use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Bound,
};

use base::{Millis, Name, Now, Size};
use job::Step;

use crate::{Lead, load::TaskKind};

/// Number of unplaced steps of one kind after which no more of that kind are tried, but for those
/// of jobs whose turn it is.
pub(crate) const MAX_UNPLACED_STEPS: usize = 60;
/// Time within which each waiting job has its turn.
const ROTATION_TIME: Millis = 2_000;

/// Outcome so far of one placement pass over the queue. Free capacity only decreases during a
/// pass, so that a step that could not be placed cannot be placed later in it either.
#[derive(Debug, Default)]
pub(crate) struct Pass {
    /// Number of tasks started.
    pub(crate) starts: usize,
    /// Number of steps that could not be placed, by kind.
    unplaced: BTreeMap<TaskKind, usize>,
    /// Sizes of tasks that could not be placed, by what else their steps ask for.
    full: BTreeMap<Class, Vec<Size>>,
    /// Largest free capacity of the workers of a service with a label, or of all of them.
    largest: BTreeMap<(Name, Option<Name>), Largest>,
    /// Jobs of which all steps are tried.
    turn: BTreeSet<Name>,
}

/// What steps have in common that the same workers can run, but for the size of a task.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Class {
    kind: TaskKind,
    service: Name,
    label: Option<Name>,
    /// Of best-effort tasks only: their interference depends on it.
    image: Option<Name>,
}

impl Class {
    pub(crate) fn of(service: &Name, step: &Step, label: Option<&Name>) -> Class {
        let kind = TaskKind::of(step);
        Class {
            kind,
            service: service.clone(),
            label: label.cloned(),
            image: (kind == TaskKind::BestEffort).then(|| step.image.clone()),
        }
    }
}

/// Free capacity that no worker of a group exceeds.
#[derive(Debug, Default)]
struct Largest {
    free: Size,
    /// CPU available to best-effort tasks, in thousandths of a core.
    best_effort_cpu: u64,
}

impl Pass {
    /// Records that a task of a step could not be placed.
    pub(crate) fn note_unplaced(&mut self, service: &Name, step: &Step, needs_ticket: bool) {
        *self.unplaced.entry(TaskKind::of(step)).or_default() += 1;
        if !step.has_own_workers(needs_ticket) && !step.gang {
            let class = Class::of(service, step, step.requires.as_ref());
            self.full.entry(class).or_default().push(step.size);
        }
    }

    /// Whether trying to place a task of a step can be skipped.
    pub(crate) fn can_skip(&self, job: &Name, service: &Name, step: &Step) -> bool {
        let tried = self.unplaced.get(&TaskKind::of(step)).copied().unwrap_or(0);
        (tried >= MAX_UNPLACED_STEPS && !self.turn.contains(job)) || self.is_full(service, step)
    }

    /// Whether a task that needs no more than one of the step, on the same workers at least, could
    /// not be placed.
    fn is_full(&self, service: &Name, step: &Step) -> bool {
        let covers = |label: Option<&Name>| {
            let sizes = self.full.get(&Class::of(service, step, label));
            sizes.is_some_and(|sizes| sizes.iter().any(|size| size.fits(step.size)))
        };
        covers(None) || step.requires.as_ref().is_some_and(|label| covers(Some(label)))
    }
}

impl Lead {
    /// Opens a placement pass, which tries all steps of the jobs whose turn it is.
    pub(crate) fn open_pass(&mut self, now: Now) -> Pass {
        Pass { turn: self.next_turn(now), ..Pass::default() }
    }

    /// Whether a task of a step may fit on some worker. The free capacity of the workers is that at
    /// the first call for this service and label in the pass.
    pub(crate) fn may_fit(&self, pass: &mut Pass, service: &Name, step: &Step, now: Now) -> bool {
        let label = step.requires.as_ref();
        let group = (service.clone(), label.cloned());
        let largest =
            pass.largest.entry(group).or_insert_with(|| self.largest_free(service, label, now));
        if !step.best_effort {
            return step.size.fits(largest.free);
        }
        let memory = Size { cpu: 0, ..step.size };
        memory.fits(largest.free) && step.size.cpu <= largest.best_effort_cpu
    }

    /// Returns the largest free capacity of the workers of a service with a label.
    fn largest_free(&self, service: &Name, label: Option<&Name>, now: Now) -> Largest {
        let stored = self.durable_batch();
        let mut largest = Largest::default();
        for worker in self.workers.values() {
            let matches = worker.info.service == *service
                && label.is_none_or(|label| worker.info.labels.contains(label));
            if matches && worker.usable(stored, now.mono) {
                largest.free = largest.free.max(worker.free());
                largest.best_effort_cpu = largest.best_effort_cpu.max(worker.free_cpu(true));
            }
        }
        largest
    }

    /// Returns the waiting jobs whose turn it is, in the order of their names.
    fn next_turn(&mut self, now: Now) -> BTreeSet<Name> {
        let elapsed = now.mono.saturating_sub(self.turn_at).min(ROTATION_TIME);
        let count = self.waiting.len() * elapsed as usize / ROTATION_TIME as usize;
        if count == 0 {
            return BTreeSet::new();
        }
        self.turn_at = now.mono;
        let after = (Bound::Excluded(self.turn_cursor.clone()), Bound::Unbounded);
        let after = self.waiting.range::<Name, _>(after).map(|(id, _)| id);
        let turn: Vec<Name> = after.chain(self.waiting.keys()).take(count).cloned().collect();
        if let Some(last) = turn.last() {
            self.turn_cursor = last.clone();
        }
        turn.into_iter().collect()
    }
}
