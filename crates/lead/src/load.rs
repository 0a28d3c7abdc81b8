use base::{Millis, Now, event};
use job::Step;

use crate::Lead;

/// Time between two lines on the load.
const PERIOD: Millis = 1_000;

/// Kinds of tasks, which are placed by different rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Serves users of its own and has a target.
    Serve,
    /// Lives on processor time that others leave unused.
    Fill,
    /// Any other.
    Plain,
}

impl Kind {
    /// The kind of a step's tasks.
    pub(crate) fn of(step: &Step) -> Kind {
        match (step.target > 0, step.fills) {
            (true, _) => Kind::Serve,
            (_, true) => Kind::Fill,
            _ => Kind::Plain,
        }
    }

    /// Its word in log lines.
    pub(crate) fn word(self) -> &'static str {
        match self {
            Kind::Serve => "serve",
            Kind::Fill => "fill",
            Kind::Plain => "plain",
        }
    }
}

impl Lead {
    /// Logs and measures once a second how much waits and how much is taken.
    pub(crate) fn report_load(&mut self, now: Now) {
        if now.mono < self.reported + PERIOD {
            return;
        }
        self.reported = now.mono;
        let stored = self.stored();
        let usable = self.workers.values().filter(|w| w.usable(stored, now.mono));
        let (mut workers, mut cpu, mut used, mut filled, mut missing) = (0, 0, 0, 0, 0);
        for worker in usable {
            workers += 1;
            cpu += worker.entry.size.cpu;
            used += worker.used.cpu;
            filled += worker.filled;
            missing += u32::from(worker.missing);
        }
        let waits = |kind| self.waits(kind);
        event!(
            "load",
            workers = workers,
            known = self.workers.len(),
            cpu = cpu,
            used = used,
            filled = filled,
            missing = missing,
            wait_serve = waits(Kind::Serve),
            wait_plain = waits(Kind::Plain),
            wait_fill = waits(Kind::Fill),
            jobs_waiting = self.waiting.len()
        );
    }

    /// Tasks of a kind that wait.
    fn waits(&self, kind: Kind) -> usize {
        let tasks = self.waiting.values().flatten();
        tasks
            .filter(|id| {
                let step = self.jobs.get(&id.job).and_then(|job| job.step(id));
                step.is_some_and(|step| Kind::of(step) == kind)
            })
            .count()
    }
}
