use std::cmp::Reverse;

use base::{Millis, hash};

use crate::{Election, Heartbeat, Purpose, Vm};

/// Number of VMs in close contact with the leader, one of which replaces it when it fails. In
/// smaller deployments these are all VMs.
const CORE_SIZE: usize = 16;
/// Number of further VMs that a periodic heartbeat or a query goes to, different ones each
/// time, so that knowledge of new VMs and of the leader spreads.
const GOSSIP_SIZE: usize = 4;
/// Number of VMs that a leader's heartbeat names, different ones each time.
const NAMED_VMS: usize = 8;
/// Interval of a leader's heartbeats to the core.
pub(crate) const CORE_INTERVAL: Millis = 150;
/// Factor by which heartbeats between the leader and VMs outside the core are rarer.
const REMOTE_FACTOR: u64 = 4;
/// Interval of a follower's heartbeats to the leader.
const REPORT_INTERVAL: Millis = 400;
/// The same for a follower outside the core.
const REMOTE_REPORT_INTERVAL: Millis = 1_000;
/// Interval of a follower's heartbeats to other followers.
const BROADCAST_INTERVAL: Millis = 1_000;
/// Interval between two queries about a silent leader.
const QUERY_INTERVAL: Millis = 125;

/// When this VM last sent heartbeats.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    /// Last heartbeats as the leader, or to the leader.
    sent_at: Millis,
    /// Last heartbeats to other followers.
    broadcast_at: Millis,
    /// Number of heartbeats sent as the leader.
    round: u64,
    /// Epoch in which this VM has told all others that it leads.
    announced_epoch: u64,
}

impl Election {
    /// Returns the heartbeat that is due now and the VMs that it goes to, none if none is due.
    /// Each VM is told the interval at which it gets heartbeats.
    pub fn due_heartbeats(&mut self, now: Millis) -> (Heartbeat, Vec<(Vm, Millis)>) {
        let query = self.should_query(now) || (self.leading && self.lease.word_query_due(now));
        let purpose = if query { Purpose::Query } else { Purpose::Report };
        let targets = match (self.leading, query) {
            (true, true) => self.all_targets(),
            (true, false) => self.due_as_leader(now),
            (false, true) => without_interval(self.query_targets(now)),
            (false, false) => self.due_as_follower(now),
        };
        (self.heartbeat(purpose, now), targets)
    }

    fn due_as_leader(&mut self, now: Millis) -> Vec<(Vm, Millis)> {
        if self.schedule.announced_epoch < self.epoch() {
            self.schedule.announced_epoch = self.epoch();
            return self.all_targets();
        }
        if now < self.schedule.sent_at + CORE_INTERVAL {
            return Vec::new();
        }
        self.schedule.sent_at = now;
        self.schedule.round += 1;
        self.leader_targets(self.schedule.round)
    }

    fn due_as_follower(&mut self, now: Millis) -> Vec<(Vm, Millis)> {
        let mut targets = Vec::new();
        if now >= self.schedule.broadcast_at + BROADCAST_INTERVAL {
            self.schedule.broadcast_at = now;
            targets = self.broadcast_targets(now);
        }
        if now >= self.schedule.sent_at + self.report_interval() {
            self.schedule.sent_at = now;
            let leader = self.leader().map(|leader| leader.vm.clone());
            targets.extend(leader.filter(|vm| targets.iter().all(|other| other.name != vm.name)));
        }
        without_interval(targets)
    }

    /// Returns the VMs that a leader's heartbeat number `round` goes to, each with the interval
    /// at which it gets heartbeats: the core at each round, the others in turn.
    fn leader_targets(&self, round: u64) -> Vec<(Vm, Millis)> {
        let mut targets = self.all_targets();
        let mut remote = 0;
        targets.retain(|(_, interval)| {
            if *interval == CORE_INTERVAL {
                return true;
            }
            remote += 1;
            remote % REMOTE_FACTOR == round % REMOTE_FACTOR
        });
        targets
    }

    /// Returns all other VMs, each with the interval at which it gets a leader's heartbeats.
    pub fn all_targets(&self) -> Vec<(Vm, Millis)> {
        let interval = |vm: &Vm| match self.core.contains(&vm.name) {
            true => CORE_INTERVAL,
            false => CORE_INTERVAL * REMOTE_FACTOR,
        };
        self.known.values().map(|vm| (vm.clone(), interval(vm))).collect()
    }

    /// Returns the VMs that a query about a silent leader goes to.
    fn query_targets(&self, now: Millis) -> Vec<Vm> {
        let mut targets: Vec<Vm> =
            self.core.iter().filter_map(|name| self.known.get(name)).cloned().collect();
        targets.extend(self.gossip_targets(now));
        targets.sort_by(|a, b| a.name.cmp(&b.name));
        targets.dedup_by(|a, b| a.name == b.name);
        targets
    }

    /// Returns the VMs that a follower's periodic heartbeat goes to. All of its failure domain
    /// need to know the VMs that read the manifest.
    fn broadcast_targets(&self, now: Millis) -> Vec<Vm> {
        let mut targets = self.gossip_targets(now);
        if self.reads_manifest(now) {
            targets.extend(self.domain_peers());
            targets.sort_by(|a, b| a.name.cmp(&b.name));
            targets.dedup_by(|a, b| a.name == b.name);
        }
        targets
    }

    /// Returns the interval of this follower's heartbeats to the leader.
    fn report_interval(&self) -> Millis {
        if self.in_core() { REPORT_INTERVAL } else { REMOTE_REPORT_INTERVAL }
    }

    /// Returns the interval between two queries about a silent leader.
    pub(crate) fn query_interval(&self) -> Millis {
        if self.in_core() { QUERY_INTERVAL } else { QUERY_INTERVAL * REMOTE_FACTOR }
    }

    /// Returns whether this VM is one of the core.
    pub(crate) fn in_core(&self) -> bool {
        self.core.contains(&self.me.name)
    }

    /// Returns the VMs that a leader's heartbeat names at this time.
    pub(crate) fn named_vms(&self, now: Millis) -> Vec<Vm> {
        window(&self.fresh_vms(now), now / CORE_INTERVAL, NAMED_VMS)
    }

    /// Recomputes the core: the VMs with the most CPU capacity among all known and this one. All
    /// VMs that know the same VMs agree on them.
    pub(crate) fn update_core(&mut self) {
        let mut vms: Vec<&Vm> = self.known.values().chain([&self.me]).collect();
        vms.sort_by_key(|vm| (Reverse(vm.cpu_capacity), hash(vm.name.as_bytes())));
        self.core = vms.into_iter().take(CORE_SIZE).map(|vm| vm.name.clone()).collect();
    }

    /// Returns some of the other VMs, different ones each second; all of them in a deployment
    /// that is no larger than the core.
    fn gossip_targets(&self, now: Millis) -> Vec<Vm> {
        let all: Vec<Vm> = self.known.values().cloned().collect();
        if all.len() <= CORE_SIZE {
            return all;
        }
        let offset = hash(self.me.name.as_bytes()) % all.len() as u64;
        window(&all, now / 1_000 + offset, GOSSIP_SIZE)
    }
}

/// Returns `size` successive entries of a list, from a position that depends on `round`.
fn window(vms: &[Vm], round: u64, size: usize) -> Vec<Vm> {
    if vms.len() <= size {
        return vms.to_vec();
    }
    let start = (round * size as u64 % vms.len() as u64) as usize;
    vms.iter().cycle().skip(start).take(size).cloned().collect()
}

fn without_interval(vms: Vec<Vm>) -> Vec<(Vm, Millis)> {
    vms.into_iter().map(|vm| (vm, 0)).collect()
}
