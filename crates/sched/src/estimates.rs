use std::collections::BTreeMap;

use base::{Millis, Name};

/// Number of samples that a window keeps.
const WINDOW_LEN: usize = 64;
/// Weight of a new measurement in the estimate for a pair of kinds.
const PAIR_WEIGHT: f64 = 0.15;
/// Fraction by which every estimate decays in one call of [`Estimates::decay`], so
/// that placement tries an avoided pair again.
const PAIR_DECAY: f64 = 0.002;

/// A sliding window over the newest samples of one quantity.
#[derive(Debug, Clone, Default)]
pub struct SampleWindow {
    values: Vec<u64>,
    next: usize,
}

impl SampleWindow {
    /// Adds a value; a full window drops its oldest one.
    pub fn add(&mut self, value: u64) {
        if self.values.len() < WINDOW_LEN {
            self.values.push(value);
            return;
        }
        self.values[self.next] = value;
        self.next = (self.next + 1) % WINDOW_LEN;
    }

    /// Returns the value that `percent` of the samples do not exceed, or `None`
    /// for an empty window.
    pub fn quantile(&self, percent: usize) -> Option<u64> {
        if self.values.is_empty() {
            return None;
        }
        let mut sorted = self.values.clone();
        sorted.sort_unstable();
        let index = (sorted.len() - 1) * percent / 100;
        Some(sorted[index])
    }
}

/// Estimates of run times and interference, learned from the outcomes of tasks
/// and from usage reports.
#[derive(Debug, Clone, Default)]
pub struct Estimates {
    runtimes: BTreeMap<Name, SampleWindow>,
    /// Excess time as a fraction, by the kind that is slowed and then by the kind
    /// that slows it.
    pairs: BTreeMap<Name, BTreeMap<Name, f64>>,
    /// Mean service time without interference, in milliseconds.
    idle_time: Option<f64>,
}

impl Estimates {
    /// Records the run time of a finished task.
    pub fn record_runtime(&mut self, kind: &Name, time: Millis) {
        self.runtimes.entry(kind.clone()).or_default().add(time);
    }

    /// Returns the 75th percentile of the run times of `kind`, or the declared run
    /// time before the first sample.
    pub fn expected_runtime(&self, kind: &str, declared: Millis) -> Millis {
        self.runtimes.get(kind).and_then(|s| s.quantile(75)).unwrap_or(declared)
    }

    /// Records that `slowed` took `factor` times its idle time while the kinds in
    /// `neighbours` ran on the same server. The excess that their estimates do not
    /// explain is divided equally among them.
    pub fn record_interference(&mut self, slowed: &Name, neighbours: &[Name], factor: f64) {
        let known: f64 = neighbours.iter().map(|by| self.excess(slowed, by)).sum();
        let unexplained = (factor - 1.0).max(0.0) - known;
        let share = unexplained * PAIR_WEIGHT / neighbours.len().max(1) as f64;
        let pairs = self.pairs.entry(slowed.clone()).or_default();
        for by in neighbours {
            let estimate = pairs.entry(by.clone()).or_default();
            *estimate = (*estimate + share).max(0.0);
        }
    }

    /// Records the mean time of service requests on one server, in milliseconds,
    /// and the kinds of the tasks that ran there.
    pub fn record_service_time(&mut self, time: f64, neighbours: &[Name]) {
        let idle = self.idle_time.unwrap_or(time);
        // The minimum drifts upwards, so that a single low outlier wears off.
        self.idle_time = Some(idle.min(time) * 1.0005);
        self.record_interference(&Name::from("service"), neighbours, time / idle.max(0.001));
    }

    /// Returns the mean time of service requests without interference, in
    /// milliseconds: the lowest one recorded, with a slow upward drift.
    pub fn idle_time(&self) -> Option<f64> {
        self.idle_time
    }

    /// Returns the time that one neighbour of kind `by` adds to `slowed`, as a
    /// fraction of its idle time; 0 for an unknown pair.
    pub fn excess(&self, slowed: &str, by: &str) -> f64 {
        self.pairs.get(slowed).and_then(|pairs| pairs.get(by)).copied().unwrap_or(0.0)
    }

    /// Decays all interference estimates by one step.
    pub fn decay(&mut self) {
        let pairs = self.pairs.values_mut().flat_map(BTreeMap::values_mut);
        pairs.for_each(|excess| *excess *= 1.0 - PAIR_DECAY);
    }
}
