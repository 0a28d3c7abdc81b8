use std::{collections::BTreeMap, net::SocketAddr};

use base::{Millis, Name};
use rand::{Rng, rngs::StdRng};

/// Maximum number of candidates compared for one request.
const SAMPLE_SIZE: usize = 3;
/// Maximum number of random draws to find them.
const MAX_DRAWS: usize = 12;
/// Weight of a new latency in the exponential moving average.
const LATENCY_WEIGHT: f64 = 0.2;
/// Consecutive failures after which a server is quarantined.
const FAILURE_THRESHOLD: u32 = 3;
/// Length of the first quarantine, in milliseconds; it doubles with each further
/// failure, up to 16 times this value.
const FIRST_QUARANTINE: Millis = 500;
/// Latency assumed before the first measurement, in milliseconds.
const DEFAULT_LATENCY: f64 = 1.0;
/// Age after which a server's own latency no longer predicts its cost, in
/// milliseconds.
const MAX_LATENCY_AGE: Millis = 3000;

/// Distance of a server from the entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// In the same failure domain.
    Domain,
    /// In another failure domain of the same region.
    Region,
    /// In the other region, across the narrow link.
    Far,
}

impl Tier {
    /// Returns the latency that the distance adds, in milliseconds.
    fn cost(self) -> f64 {
        match self {
            Tier::Domain => 0.0,
            Tier::Region => 2.0,
            Tier::Far => 16.0,
        }
    }
}

/// Routing mechanisms in use; the baseline has none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Features {
    /// Compare a sample of servers by requests in flight, latency and interference;
    /// otherwise round robin.
    pub compare: bool,
    /// Quarantine servers that keep failing.
    pub quarantine: bool,
    /// Send a second copy of a slow idempotent request.
    pub hedge: bool,
    /// Limit retries by a budget; otherwise by a fixed count.
    pub budget: bool,
}

impl Features {
    /// All mechanisms.
    pub const FULL: Features =
        Features { compare: true, quarantine: true, hedge: true, budget: true };
    /// No mechanism: the baseline of comparisons.
    pub const BASELINE: Features =
        Features { compare: false, quarantine: false, hedge: false, budget: false };
}

/// State of one backend server in a router.
#[derive(Debug, Clone)]
pub struct Target {
    /// Address of its HTTP server.
    pub http: SocketAddr,
    /// Cell that grants its slots.
    pub cell: Name,
    /// Distance from this router.
    pub tier: Tier,
    /// Slots that this router holds there.
    pub slots: u32,
    /// Requests in flight from this router.
    pub inflight: u32,
    /// Whether it is leaving; a leaving server receives no new requests.
    pub leaving: bool,
    /// Time that batch tasks on the server add to requests, as a fraction; set from
    /// the cell's replies.
    pub excess: f64,
    /// Moving average in milliseconds.
    latency: Option<f64>,
    /// When the latency was last updated, on the monotonic clock.
    answered_at: Millis,
    /// Consecutive failures.
    failures: u32,
    /// End of the quarantine, on the monotonic clock; 0 if there was none.
    quarantined_until: Millis,
}

impl Target {
    /// Creates the state of a server on which no slot is held yet.
    pub fn new(http: SocketAddr, cell: Name, tier: Tier) -> Target {
        Target {
            http,
            cell,
            tier,
            slots: 0,
            inflight: 0,
            leaving: false,
            excess: 0.0,
            latency: None,
            answered_at: 0,
            failures: 0,
            quarantined_until: 0,
        }
    }

    fn is_available(&self, now: Millis) -> bool {
        self.inflight < self.slots && !self.leaving && now >= self.quarantined_until
    }

    /// Returns the expected time of one more request, in milliseconds. `median` is
    /// assumed where the own latency is unknown or too old.
    fn cost(&self, now: Millis, median: f64) -> f64 {
        let fresh = self.latency.filter(|_| now <= self.answered_at + MAX_LATENCY_AGE);
        let latency = fresh.unwrap_or(median);
        let load = f64::from(self.inflight + 1) / f64::from(self.slots.max(1));
        self.tier.cost() + latency * (1.0 + self.excess) * (1.0 + 0.5 * load)
    }

    /// Returns the moving average of the latency in milliseconds, or `None` before
    /// the first reply.
    pub fn latency(&self) -> Option<f64> {
        self.latency
    }
}

/// The server chosen for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Pick {
    /// VM identifier of the server.
    pub backend: Name,
    /// Address of its HTTP server.
    pub http: SocketAddr,
    /// Number of servers compared; without comparison, all available ones of the
    /// tier.
    pub candidates: usize,
    /// Expected time of the request in milliseconds.
    pub cost: f64,
    /// Distance of the server.
    pub tier: Tier,
}

/// All backend servers known to a router.
#[derive(Debug, Clone, Default)]
pub struct Targets {
    /// Servers by VM identifier; call [`Targets::refresh`] after a change.
    pub by_id: BTreeMap<Name, Target>,
    /// Servers on which slots are held, by tier.
    by_tier: [Vec<Name>; 3],
    /// Median of the servers' latencies, in milliseconds.
    median_latency: Option<f64>,
    /// Position of the round robin.
    cursor: usize,
}

impl Targets {
    /// Chooses an available server of the nearest tier that has one, leaving out
    /// those in `tried`, and occupies a slot of it until [`Targets::release`].
    pub fn pick(
        &mut self,
        now: Millis,
        tried: &[Name],
        features: Features,
        rng: &mut StdRng,
    ) -> Option<Pick> {
        for tier in [Tier::Domain, Tier::Region, Tier::Far] {
            let found = match features.compare {
                true => self.sample(tier, now, tried, rng),
                false => self.next_round_robin(tier, now, tried),
            };
            let Some((chosen, candidates)) = found else { continue };
            let median = self.median_latency.unwrap_or(DEFAULT_LATENCY);
            let target = self.by_id.get_mut(&chosen)?;
            let cost = target.cost(now, median);
            target.inflight += 1;
            return Some(Pick { backend: chosen, http: target.http, candidates, cost, tier });
        }
        None
    }

    /// Updates the lists by tier and the median latency; call it after changing the
    /// table or the slots of a server.
    pub fn refresh(&mut self) {
        self.by_tier = Default::default();
        let mut latencies: Vec<f64> = self.by_id.values().filter_map(|t| t.latency).collect();
        latencies.sort_by(f64::total_cmp);
        self.median_latency = latencies.get(latencies.len() / 2).copied();
        for (id, target) in self.by_id.iter().filter(|(_, t)| t.slots > 0) {
            self.by_tier[target.tier as usize].push(id.clone());
        }
    }

    /// Returns the cheapest of a few random available servers and the number of
    /// servers compared. If the random draws find none, compares all servers of the
    /// tier.
    fn sample(
        &self,
        tier: Tier,
        now: Millis,
        tried: &[Name],
        rng: &mut StdRng,
    ) -> Option<(Name, usize)> {
        let ids = &self.by_tier[tier as usize];
        if ids.is_empty() {
            return None;
        }
        let median = self.median_latency.unwrap_or(DEFAULT_LATENCY);
        let mut sampled: Vec<(&Name, f64)> = Vec::with_capacity(SAMPLE_SIZE);
        for _ in 0..MAX_DRAWS {
            let id = &ids[rng.random_range(0..ids.len())];
            if sampled.iter().any(|(other, _)| *other == id) {
                continue;
            }
            if let Some(target) = self.available(id, now, tried) {
                sampled.push((id, target.cost(now, median)));
            }
            if sampled.len() == SAMPLE_SIZE {
                break;
            }
        }
        if sampled.is_empty() {
            let available =
                |id| self.available(id, now, tried).map(|target| (id, target.cost(now, median)));
            sampled.extend(ids.iter().filter_map(available));
        }
        let candidates = sampled.len();
        let best = sampled.into_iter().min_by(|a, b| a.1.total_cmp(&b.1));
        best.map(|(id, _)| (id.clone(), candidates))
    }

    /// Returns the next available server of a tier in round-robin order and the
    /// number of available ones.
    fn next_round_robin(
        &mut self,
        tier: Tier,
        now: Millis,
        tried: &[Name],
    ) -> Option<(Name, usize)> {
        let ids = &self.by_tier[tier as usize];
        let is_available = |id: &&Name| self.available(id, now, tried).is_some();
        let available: Vec<&Name> = ids.iter().filter(is_available).collect();
        if available.is_empty() {
            return None;
        }
        self.cursor = self.cursor.wrapping_add(1);
        Some((available[self.cursor % available.len()].clone(), available.len()))
    }

    /// Returns the state of a server that can take a request now and is not in
    /// `tried`.
    fn available(&self, id: &Name, now: Millis, tried: &[Name]) -> Option<&Target> {
        let target = self.by_id.get(id)?;
        (target.is_available(now) && !tried.contains(id)).then_some(target)
    }

    /// Frees the slot of a request that has ended.
    pub fn release(&mut self, backend: &str) {
        if let Some(target) = self.by_id.get_mut(backend) {
            target.inflight = target.inflight.saturating_sub(1);
        }
    }

    /// Records a reply received at `now` after `latency` milliseconds.
    pub fn record_success(&mut self, backend: &str, now: Millis, latency: f64) {
        let Some(target) = self.by_id.get_mut(backend) else { return };
        target.failures = 0;
        target.answered_at = now;
        let mean = target.latency.unwrap_or(latency);
        target.latency = Some(mean + LATENCY_WEIGHT * (latency - mean));
    }

    /// Records a failed request. A server whose consecutive failures reach the
    /// threshold is quarantined, and again at each further failure; a reply resets
    /// the count.
    pub fn record_failure(&mut self, backend: &str, now: Millis, features: Features) {
        let Some(target) = self.by_id.get_mut(backend) else { return };
        target.failures += 1;
        if features.quarantine && target.failures >= FAILURE_THRESHOLD {
            let doublings = (target.failures - FAILURE_THRESHOLD).min(4);
            target.quarantined_until = now + (FIRST_QUARANTINE << doublings);
        }
    }

    /// Returns the median latency of the servers at the last refresh, in
    /// milliseconds, or `None` before the first reply.
    pub fn median_latency(&self) -> Option<f64> {
        self.median_latency
    }

    /// Returns whether any server that is not leaving has slots, free or in use.
    pub fn has_slots(&self) -> bool {
        self.by_id.values().any(|t| t.slots > 0 && !t.leaving)
    }
}
