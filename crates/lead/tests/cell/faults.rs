use base::{Millis, Name};
use rand::Rng;

use super::{Cell, DOMAINS, DRAIN_TIME, Event, TIME_STEP};

/// Faults, as rates per second of the whole cell where nothing else is said.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(crate) struct Faults {
    /// A domain is cut off for 0.3 to 14 s.
    pub(crate) cut: f64,
    /// One direction between a leader and a worker is cut for 0.5 to 9 s.
    pub(crate) one_way: f64,
    /// The store is away for all for 0.5 to 6 s.
    pub(crate) outage: f64,
    /// Longest duration of an append.
    pub(crate) append_time: Millis,
    /// A VM claims beside a leader.
    pub(crate) claim: f64,
    /// A leader is killed.
    pub(crate) kill: f64,
    /// A leader is frozen for 0.5 to 6 s.
    pub(crate) freeze: f64,
    /// A worker crashes and is back after 0.2 to 2.5 s.
    pub(crate) crash: f64,
    /// A worker drains and leaves; another one joins.
    pub(crate) drain: f64,
    /// Probability that a reply to a command is lost.
    pub(crate) lost_reply: f64,
    /// Probability that a command is carried out 2 to 12 s later.
    pub(crate) late_command: f64,
    /// Whether there are gangs, and jobs whose tasks fail or that are cancelled.
    pub(crate) mixed_jobs: bool,
}

impl Cell {
    /// Ends all faults that last.
    pub(crate) fn heal(&mut self) {
        self.faults = Faults::default();
        self.cut_until = [0; DOMAINS];
        self.outage_until = 0;
        self.one_way.clear();
        self.healed_at = Some(self.now);
    }

    pub(super) fn inject_faults(&mut self) {
        let faults = self.faults;
        let second = TIME_STEP as f64 / 1_000.0;
        if self.chance(faults.cut * second) {
            let domain = self.rng.random_range(0..DOMAINS);
            let ms = self.rng.random_range(300..14_000);
            log::info!("event=cut at={} domain={domain} ms={ms}", self.now);
            self.cut_until[domain] = self.cut_until[domain].max(self.now + ms);
        }
        if self.chance(faults.outage * second) {
            let until = self.now + self.rng.random_range(500..6_000);
            self.outage_until = self.outage_until.max(until);
            log::info!("event=outage at={} until={}", self.now, self.outage_until);
        }
        if self.chance(faults.claim * second) {
            self.claim();
            if self.chance(0.5) {
                let ms = self.rng.random_range(200..3_000);
                self.schedule(ms, Event::Claim);
            }
        }
        let epochs: Vec<u64> = self.leaders.keys().copied().collect();
        if let Some(epoch) = self.pick(&epochs) {
            let vm = self.leaders[&epoch].vm;
            if self.chance(faults.kill * second) {
                log::info!("event=killed at={} epoch={epoch}", self.now);
                self.leaders.remove(&epoch);
            } else if self.chance(faults.freeze * second) {
                let until = self.now + self.rng.random_range(500..6_000);
                log::info!("event=frozen at={} epoch={epoch} until={until}", self.now);
                // What is decided in this step leaves after the freeze.
                self.decide_at(epoch, until - self.now);
                if let Some(leader) = self.leaders.get_mut(&epoch) {
                    leader.frozen_until = until;
                }
            }
            if self.chance(faults.one_way * second) {
                let ids = self.up();
                let Some(id) = self.pick(&ids) else { return };
                let until = self.now + self.rng.random_range(500..9_000);
                let replies = self.rng.random_bool(0.5);
                log::info!("event=one_way at={} vm={vm} worker={id} replies={replies}", self.now);
                self.one_way.insert((vm, id, replies), until);
            }
        }
        let ids = self.up();
        let Some(id) = self.pick(&ids) else { return };
        if self.chance(faults.crash * second) {
            let back_at = self.now + self.rng.random_range(200..2_500);
            log::info!("event=crash at={} worker={id} back={back_at}", self.now);
            self.crash(&id, back_at, back_at);
        } else if self.chance(faults.drain * second) && !self.hosts[&id].draining {
            self.hosts.get_mut(&id).expect("a host").draining = true;
            let ms = DRAIN_TIME + self.rng.random_range(0..2_000);
            self.schedule(ms, Event::Leave(id));
        }
    }

    /// Ends all that a worker runs and knows, until it is back.
    pub(super) fn crash(&mut self, id: &Name, incarnation: Millis, down_until: Millis) {
        self.workers.get_mut(id).expect("a worker").crash(incarnation, down_until);
        self.ended.retain(|(worker, _), _| worker != id);
        self.outdated.retain(|(worker, _), _| worker != id);
    }
}
