use std::collections::BTreeMap;

use base::{Millis, Name};

/// Newest samples kept of one quantity.
const WINDOW: usize = 64;
/// Weight of a new measurement of a pair.
const PAIR_WEIGHT: f64 = 0.15;
/// Percent by which an estimate falls in one step without contact, so that a
/// pair is tried again.
const PAIR_DECAY: f64 = 0.002;

/// A sliding window of samples with quantiles.
#[derive(Debug, Clone, Default)]
pub struct Sample {
    values: Vec<u64>,
    next: usize,
}

impl Sample {
    /// Adds a value in place of the oldest one.
    pub fn add(&mut self, value: u64) {
        if self.values.len() < WINDOW {
            self.values.push(value);
            return;
        }
        self.values[self.next] = value;
        self.next = (self.next + 1) % WINDOW;
    }

    /// The value below which `percent` of the samples lie.
    pub fn quantile(&self, percent: usize) -> Option<u64> {
        if self.values.is_empty() {
            return None;
        }
        let mut sorted = self.values.clone();
        sorted.sort_unstable();
        let at = (sorted.len() - 1) * percent / 100;
        Some(sorted[at])
    }
}

/// What has been learned from outcomes and lagging usage.
#[derive(Debug, Clone, Default)]
pub struct Learn {
    runtimes: BTreeMap<Name, Sample>,
    /// By the kind that is slowed, then by the kind that slows it.
    pairs: BTreeMap<Name, BTreeMap<Name, f64>>,
    idle: Option<f64>,
}

impl Learn {
    /// Notes the run time of a task that finished.
    pub fn runtime(&mut self, kind: &Name, time: Millis) {
        self.runtimes.entry(kind.clone()).or_default().add(time);
    }

    /// Run time that three of four tasks of the kind stay within, or what was
    /// declared while nothing is known.
    pub fn expect(&self, kind: &str, declared: Millis) -> Millis {
        self.runtimes.get(kind).and_then(|s| s.quantile(75)).unwrap_or(declared)
    }

    /// Notes that `slowed` was measured at `factor` times its idle time while
    /// `beside` ran on the same server. The excess is shared out among the
    /// neighbours by what is known of them.
    pub fn pair(&mut self, slowed: &Name, beside: &[Name], factor: f64) {
        let known: f64 = beside.iter().map(|by| self.excess(slowed, by)).sum();
        let error = (factor - 1.0).max(0.0) - known;
        let share = error * PAIR_WEIGHT / beside.len().max(1) as f64;
        let pairs = self.pairs.entry(slowed.clone()).or_default();
        for by in beside {
            let estimate = pairs.entry(by.clone()).or_default();
            *estimate = (*estimate + share).max(0.0);
        }
    }

    /// Notes the mean time of service requests on one server, beside the kinds
    /// that ran there.
    pub fn service(&mut self, time: f64, beside: &[Name]) {
        let idle = self.idle.unwrap_or(time);
        // The least seen rises slowly, so that one outlier does not stay.
        self.idle = Some(idle.min(time) * 1.0005);
        self.pair(&Name::from("service"), beside, time / idle.max(0.001));
    }

    /// Mean time of service requests on a server that runs nothing else.
    pub fn idle(&self) -> Option<f64> {
        self.idle
    }

    /// Time added to `slowed` by one neighbour of kind `by`, as a fraction.
    pub fn excess(&self, slowed: &str, by: &str) -> f64 {
        self.pairs.get(slowed).and_then(|pairs| pairs.get(by)).copied().unwrap_or(0.0)
    }

    /// Lets estimates fade.
    pub fn fade(&mut self) {
        let pairs = self.pairs.values_mut().flat_map(BTreeMap::values_mut);
        pairs.for_each(|excess| *excess *= 1.0 - PAIR_DECAY);
    }
}
