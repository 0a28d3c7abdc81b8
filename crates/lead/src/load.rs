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

/// What waits of each kind.
#[derive(Debug, Default)]
struct Waiting {
    serve: usize,
    fill: usize,
    plain: usize,
    /// Processors that the largest plain task asks for.
    largest: u64,
}

impl Waiting {
    fn add(&mut self, step: &Step) {
        match Kind::of(step) {
            Kind::Serve => self.serve += 1,
            Kind::Fill => self.fill += 1,
            Kind::Plain => {
                self.plain += 1;
                self.largest = self.largest.max(step.size.cpu);
            }
        }
    }

    fn count(&self, kind: Kind) -> usize {
        match kind {
            Kind::Serve => self.serve,
            Kind::Fill => self.fill,
            Kind::Plain => self.plain,
        }
    }
}

/// What is taken and free on the workers that may be given work.
#[derive(Debug, Default)]
struct Room {
    workers: usize,
    cpu: u64,
    used: u64,
    filled: u64,
    /// Workers on which a task that serves misses its target.
    missing: u32,
    /// Free processors of each.
    pieces: Vec<u64>,
}

impl Room {
    /// The free piece that a share of the workers do not exceed.
    fn piece(&self, share: f64) -> u64 {
        let at = self.pieces.len().saturating_sub(1) as f64 * share;
        self.pieces.get(at as usize).copied().unwrap_or(0)
    }
}

/// Sets the measures of a leader's load to zero, once this process leads no longer.
pub fn clear_load() {
    for kind in [Kind::Serve, Kind::Fill, Kind::Plain] {
        metrics::gauge!("waiting_tasks", "kind" => kind.word()).set(0.0);
    }
    metrics::gauge!("free_cpu").set(0.0);
    metrics::gauge!("largest_piece").set(0.0);
    metrics::gauge!("longest_wait_ms").set(0.0);
}

impl Lead {
    /// Logs and measures once a second how much waits and how much is taken.
    pub(crate) fn report_load(&mut self, now: Now) {
        if now.mono < self.reported + PERIOD {
            return;
        }
        self.reported = now.mono;
        let (room, waiting) = (self.room(now), self.count_waiting());
        let (free, largest) = (room.cpu.saturating_sub(room.used), room.piece(1.0));
        let oldest = self.waits.values().map(|since| now.mono.saturating_sub(*since)).max();
        for kind in [Kind::Serve, Kind::Fill, Kind::Plain] {
            let count = waiting.count(kind) as f64;
            metrics::gauge!("waiting_tasks", "kind" => kind.word()).set(count);
        }
        metrics::gauge!("free_cpu").set(free as f64);
        metrics::gauge!("largest_piece").set(largest as f64);
        metrics::gauge!("longest_wait_ms").set(oldest.unwrap_or(0) as f64);
        event!(
            "load",
            workers = room.workers,
            known = self.workers.len(),
            cpu = room.cpu,
            used = room.used,
            filled = room.filled,
            missing = room.missing,
            piece_half = room.piece(0.5),
            piece_tenth = room.piece(0.9),
            piece_most = largest,
            wait_serve = waiting.serve,
            wait_plain = waiting.plain,
            wait_fill = waiting.fill,
            wait_cpu = waiting.largest,
            jobs_waiting = self.waiting.len()
        );
        self.report_waits(now);
    }

    fn room(&self, now: Now) -> Room {
        let stored = self.stored();
        let mut room = Room::default();
        for worker in self.workers.values().filter(|w| w.usable(stored, now.mono)) {
            room.workers += 1;
            room.cpu += worker.entry.size.cpu;
            room.used += worker.used.cpu;
            room.filled += worker.filled;
            room.missing += u32::from(worker.missing);
            room.pieces.push(worker.free().cpu);
        }
        room.pieces.sort_unstable();
        room
    }

    fn count_waiting(&self) -> Waiting {
        let mut waiting = Waiting::default();
        for (id, tasks) in &self.waiting {
            let Some(job) = self.jobs.get(id) else { continue };
            tasks.iter().filter_map(|task| job.step(task)).for_each(|step| waiting.add(step));
        }
        waiting
    }
}
