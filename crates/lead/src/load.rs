use base::{Millis, Now, event};
use job::Step;

use crate::{Lead, audit::reset_audit_metrics};

/// Interval between load reports, in milliseconds.
const REPORT_INTERVAL: Millis = 1_000;

/// Kinds of tasks, which are placed by different rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TaskKind {
    /// Has a latency target.
    Service,
    /// Runs on CPU that other tasks leave idle.
    BestEffort,
    /// Any other task.
    Plain,
}

impl TaskKind {
    /// Returns the kind of a step's tasks.
    pub(crate) fn of(step: &Step) -> TaskKind {
        match (step.latency_target > 0, step.best_effort) {
            (true, _) => TaskKind::Service,
            (_, true) => TaskKind::BestEffort,
            _ => TaskKind::Plain,
        }
    }

    /// Returns the label used in logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            TaskKind::Service => "serve",
            TaskKind::BestEffort => "fill",
            TaskKind::Plain => "plain",
        }
    }
}

/// Number of waiting tasks by kind.
#[derive(Debug, Default)]
struct WaitingCounts {
    service: usize,
    best_effort: usize,
    plain: usize,
    /// CPU requested by the largest waiting plain task, in thousandths of a core.
    largest_plain: u64,
}

impl WaitingCounts {
    fn add(&mut self, step: &Step) {
        match TaskKind::of(step) {
            TaskKind::Service => self.service += 1,
            TaskKind::BestEffort => self.best_effort += 1,
            TaskKind::Plain => {
                self.plain += 1;
                self.largest_plain = self.largest_plain.max(step.size.cpu);
            }
        }
    }

    fn count(&self, kind: TaskKind) -> usize {
        match kind {
            TaskKind::Service => self.service,
            TaskKind::BestEffort => self.best_effort,
            TaskKind::Plain => self.plain,
        }
    }
}

/// Used and free CPU of the workers that accept work, in thousandths of a core.
#[derive(Debug, Default)]
struct FleetLoad {
    workers: usize,
    cpu: u64,
    used: u64,
    best_effort_cpu: u64,
    /// Workers on which a service task misses its latency target.
    missing_target: u32,
    /// Free CPU of each worker, in ascending order.
    worker_free: Vec<u64>,
}

impl FleetLoad {
    /// Returns the free CPU of a worker at a quantile between 0 and 1.
    fn free_quantile(&self, quantile: f64) -> u64 {
        let at = self.worker_free.len().saturating_sub(1) as f64 * quantile;
        self.worker_free.get(at as usize).copied().unwrap_or(0)
    }
}

/// Resets the load gauges when this process no longer leads.
pub fn reset_load_metrics() {
    for kind in [TaskKind::Service, TaskKind::BestEffort, TaskKind::Plain] {
        metrics::gauge!("waiting_tasks", "kind" => kind.label()).set(0.0);
    }
    reset_audit_metrics();
    metrics::gauge!("free_cpu").set(0.0);
    metrics::gauge!("largest_piece").set(0.0);
    metrics::gauge!("longest_wait_ms").set(0.0);
}

impl Lead {
    /// Logs the load and updates its gauges, once per report interval.
    pub(crate) fn report_load(&mut self, now: Now) {
        if now.mono < self.load_reported + REPORT_INTERVAL {
            return;
        }
        self.load_reported = now.mono;
        let (load, waiting) = (self.fleet_load(now), self.count_waiting());
        let (free, largest) = (load.cpu.saturating_sub(load.used), load.free_quantile(1.0));
        let oldest = self.waiting_since.values().map(|since| now.mono.saturating_sub(*since)).max();
        for kind in [TaskKind::Service, TaskKind::BestEffort, TaskKind::Plain] {
            let count = waiting.count(kind) as f64;
            metrics::gauge!("waiting_tasks", "kind" => kind.label()).set(count);
        }
        metrics::gauge!("free_cpu").set(free as f64);
        metrics::gauge!("largest_piece").set(largest as f64);
        metrics::gauge!("longest_wait_ms").set(oldest.unwrap_or(0) as f64);
        event!(
            "load",
            workers = load.workers,
            known = self.workers.len(),
            cpu = load.cpu,
            used = load.used,
            best_effort_cpu = load.best_effort_cpu,
            missing_target = load.missing_target,
            free_p50 = load.free_quantile(0.5),
            free_p90 = load.free_quantile(0.9),
            free_max = largest,
            wait_service = waiting.service,
            wait_plain = waiting.plain,
            wait_best_effort = waiting.best_effort,
            wait_cpu = waiting.largest_plain,
            jobs_waiting = self.waiting.len()
        );
        self.report_waits(now);
        self.report_audit(now);
    }

    fn fleet_load(&self, now: Now) -> FleetLoad {
        let stored = self.durable_batch();
        let mut load = FleetLoad::default();
        for worker in self.workers.values().filter(|w| w.usable(stored, now.mono)) {
            load.workers += 1;
            load.cpu = load.cpu.saturating_add(worker.info.size.cpu);
            load.used = load.used.saturating_add(worker.used.cpu);
            load.best_effort_cpu = load.best_effort_cpu.saturating_add(worker.best_effort_cpu);
            load.missing_target += u32::from(worker.target_missed);
            load.worker_free.push(worker.free().cpu);
        }
        load.worker_free.sort_unstable();
        load
    }

    fn count_waiting(&self) -> WaitingCounts {
        let mut waiting = WaitingCounts::default();
        for (id, tasks) in &self.waiting {
            let Some(job) = self.jobs.get(id) else { continue };
            tasks.iter().filter_map(|task| job.step(task)).for_each(|step| waiting.add(step));
        }
        waiting
    }
}
