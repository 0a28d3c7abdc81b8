use std::{collections::BTreeMap, net::SocketAddr};

use base::{Millis, Name};
use rand::{Rng, rngs::StdRng};

/// Candidates compared for one request.
const SAMPLES: usize = 3;
/// Servers met at random in search of them.
const PROBES: usize = 12;
/// Weight of a new latency in the moving mean.
const LATENCY_WEIGHT: f64 = 0.2;
/// Failures in a row after which a server is set aside.
const FAILURES: u32 = 3;
/// First time for which a server is set aside; it doubles up to 16 times.
const ASIDE: Millis = 500;
/// Latency expected while nothing is known, in milliseconds.
const FIRST_LATENCY: f64 = 1.0;
/// Time after which a latency is old.
const STALE: Millis = 3000;

/// How far away a server is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// In the own failure domain.
    Domain,
    /// In another failure domain of the own region.
    Region,
    /// In the other region, over the narrow link.
    Far,
}

impl Tier {
    /// Latency that distance adds, in milliseconds.
    fn cost(self) -> f64 {
        match self {
            Tier::Domain => 0.0,
            Tier::Region => 2.0,
            Tier::Far => 16.0,
        }
    }
}

/// Mechanisms of the choice; the baseline has none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Features {
    /// Compare requests in flight, latency and interference of samples; else
    /// take live servers in turn.
    pub compare: bool,
    /// Set failing servers aside.
    pub aside: bool,
    /// Send a second copy of a slow idempotent request.
    pub hedge: bool,
    /// Bound retries by a budget; else retry a fixed number of times.
    pub budget: bool,
}

impl Features {
    /// Every mechanism.
    pub const FULL: Features = Features { compare: true, aside: true, hedge: true, budget: true };
    /// The plain baseline to compare with.
    pub const BASELINE: Features =
        Features { compare: false, aside: false, hedge: false, budget: false };
}

/// A backend server as a router sees it.
#[derive(Debug, Clone)]
pub struct Target {
    /// Address of its HTTP server.
    pub http: SocketAddr,
    /// Cell that hands out its slots.
    pub cell: Name,
    /// How far away it is.
    pub tier: Tier,
    /// Slots held.
    pub slots: u32,
    /// Requests in flight from this router.
    pub inflight: u32,
    /// Whether it is leaving: it gets no new request.
    pub leaving: bool,
    /// Time added by what runs beside the service, as a fraction.
    pub excess: f64,
    latency: Option<f64>,
    answered: Millis,
    failures: u32,
    aside: Millis,
}

impl Target {
    /// A server of which no slot is held yet.
    pub fn open(http: SocketAddr, cell: Name, tier: Tier) -> Target {
        Target {
            http,
            cell,
            tier,
            slots: 0,
            inflight: 0,
            leaving: false,
            excess: 0.0,
            latency: None,
            answered: 0,
            failures: 0,
            aside: 0,
        }
    }

    fn free(&self, now: Millis) -> bool {
        self.inflight < self.slots && !self.leaving && now >= self.aside
    }

    /// Expected time of one more request, in milliseconds. A latency that is
    /// old gives way to the usual one.
    fn cost(&self, now: Millis, usual: f64) -> f64 {
        let fresh = self.latency.filter(|_| now <= self.answered + STALE);
        let latency = fresh.unwrap_or(usual);
        let load = f64::from(self.inflight + 1) / f64::from(self.slots.max(1));
        self.tier.cost() + latency * (1.0 + self.excess) * (1.0 + 0.5 * load)
    }

    /// Latency in milliseconds, as a moving mean.
    pub fn latency(&self) -> Option<f64> {
        self.latency
    }
}

/// A server chosen for a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Pick {
    /// The server.
    pub backend: Name,
    /// Address of its HTTP server.
    pub http: SocketAddr,
    /// Servers that had a free slot at this distance.
    pub candidates: usize,
    /// Its expected time in milliseconds.
    pub cost: f64,
    /// How far away it is.
    pub tier: Tier,
}

/// The backend servers that a router knows.
#[derive(Debug, Clone, Default)]
pub struct Targets {
    /// By VM identifier.
    pub table: BTreeMap<Name, Target>,
    /// Servers of which slots are held, by distance.
    held: [Vec<Name>; 3],
    /// Median of the latencies, in milliseconds.
    usual: Option<f64>,
    turn: usize,
}

impl Targets {
    /// Chooses a server that has a free slot and is not among `tried`, and
    /// takes the slot.
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
                false => self.next_in_turn(tier, now, tried),
            };
            let Some((chosen, candidates)) = found else { continue };
            let usual = self.usual.unwrap_or(FIRST_LATENCY);
            let target = self.table.get_mut(&chosen)?;
            let cost = target.cost(now, usual);
            target.inflight += 1;
            return Some(Pick { backend: chosen, http: target.http, candidates, cost, tier });
        }
        None
    }

    /// Notes which servers slots are held of; to be called after a change of
    /// the table or of its slots.
    pub fn refresh(&mut self) {
        self.held = Default::default();
        let mut seen: Vec<f64> = self.table.values().filter_map(|t| t.latency).collect();
        seen.sort_by(f64::total_cmp);
        self.usual = seen.get(seen.len() / 2).copied();
        for (id, target) in self.table.iter().filter(|(_, t)| t.slots > 0) {
            self.held[target.tier as usize].push(id.clone());
        }
    }

    /// The cheapest of a few servers with a free slot that are met at random;
    /// where none is met, all are looked at.
    fn sample(
        &self,
        tier: Tier,
        now: Millis,
        tried: &[Name],
        rng: &mut StdRng,
    ) -> Option<(Name, usize)> {
        let ids = &self.held[tier as usize];
        if ids.is_empty() {
            return None;
        }
        let usual = self.usual.unwrap_or(FIRST_LATENCY);
        let mut met: Vec<(&Name, f64)> = Vec::with_capacity(SAMPLES);
        for _ in 0..PROBES {
            let id = &ids[rng.random_range(0..ids.len())];
            if met.iter().any(|(other, _)| *other == id) {
                continue;
            }
            if let Some(target) = self.free(id, now, tried) {
                met.push((id, target.cost(now, usual)));
            }
            if met.len() == SAMPLES {
                break;
            }
        }
        if met.is_empty() {
            let free = |id| self.free(id, now, tried).map(|target| (id, target.cost(now, usual)));
            met.extend(ids.iter().filter_map(free));
        }
        let candidates = met.len();
        let best = met.into_iter().min_by(|a, b| a.1.total_cmp(&b.1));
        best.map(|(id, _)| (id.clone(), candidates))
    }

    /// The next live server in turn.
    fn next_in_turn(&mut self, tier: Tier, now: Millis, tried: &[Name]) -> Option<(Name, usize)> {
        let ids = &self.held[tier as usize];
        let free = |id: &&Name| self.free(id, now, tried).is_some();
        let free: Vec<&Name> = ids.iter().filter(free).collect();
        if free.is_empty() {
            return None;
        }
        self.turn = self.turn.wrapping_add(1);
        Some((free[self.turn % free.len()].clone(), free.len()))
    }

    fn free(&self, id: &Name, now: Millis, tried: &[Name]) -> Option<&Target> {
        let target = self.table.get(id)?;
        (target.free(now) && !tried.contains(id)).then_some(target)
    }

    /// Gives the slot of a request back.
    pub fn release(&mut self, backend: &str) {
        if let Some(target) = self.table.get_mut(backend) {
            target.inflight = target.inflight.saturating_sub(1);
        }
    }

    /// Notes an answer at `now` after `latency` milliseconds.
    pub fn answered(&mut self, backend: &str, now: Millis, latency: f64) {
        let Some(target) = self.table.get_mut(backend) else { return };
        target.failures = 0;
        target.answered = now;
        let mean = target.latency.unwrap_or(latency);
        target.latency = Some(mean + LATENCY_WEIGHT * (latency - mean));
    }

    /// Notes a failure; a server that fails again and again is set aside, and
    /// tried with one request after that.
    pub fn failed(&mut self, backend: &str, now: Millis, features: Features) {
        let Some(target) = self.table.get_mut(backend) else { return };
        target.failures += 1;
        if features.aside && target.failures >= FAILURES {
            let doublings = (target.failures - FAILURES).min(4);
            target.aside = now + (ASIDE << doublings);
        }
    }

    /// Median of the servers' latencies, in milliseconds, as of the last
    /// refresh.
    pub fn usual(&self) -> Option<f64> {
        self.usual
    }

    /// Whether any server could take a request later on.
    pub fn any(&self) -> bool {
        self.table.values().any(|t| t.slots > 0 && !t.leaving)
    }
}
