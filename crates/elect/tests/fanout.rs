//! Heartbeats among many VMs in simulated time: how many each VM sends and receives, and how
//! soon and by how many a lost leader is replaced.

use std::{cell::Cell, collections::VecDeque, net::SocketAddr};

use base::Millis;
use elect::{Election, Heartbeat, Purpose, Vm};

/// Step of the simulated time: the interval of the ticker.
const TICK: Millis = 50;
/// Time from the start of a claim until its VM leads.
const CLAIM_TIME: Millis = 150;
/// VMs of a failure domain.
const DOMAIN_SIZE: usize = 20;
const CAPACITIES: &[u32] = &[120, 250, 500];

struct Member {
    election: Election,
    alive: bool,
    /// When its running claim is decided, and the epoch that the store had at its start.
    claim: Option<(Millis, u64)>,
    claims: usize,
    traffic: Cell<usize>,
    /// Lag of the VM while it leads and while it does not, in milliseconds.
    lag: (u32, u32),
}

struct Cluster {
    now: Millis,
    epoch: u64,
    members: Vec<Member>,
    in_flight: VecDeque<(usize, Heartbeat)>,
}

fn vm(index: usize, incarnation: Millis) -> Vm {
    Vm {
        name: format!("vm-{index:03}").into(),
        domain: format!("d{}", index / DOMAIN_SIZE).into(),
        addr: SocketAddr::from(([127, 0, 0, 1], index as u16)),
        incarnation,
        cpu_capacity: CAPACITIES[index % CAPACITIES.len()],
    }
}

impl Cluster {
    /// Starts `size` VMs at once, which all know each other from the store.
    fn start(size: usize) -> Cluster {
        let now = 10_000;
        let member = |index| Member {
            election: open(index, size, now),
            alive: true,
            claim: None,
            claims: 0,
            traffic: Cell::new(0),
            lag: (0, 0),
        };
        let members = (0..size).map(member).collect();
        Cluster { now, epoch: 0, members, in_flight: VecDeque::new() }
    }

    /// Kills all VMs and starts them again at once.
    fn restart_all(&mut self) {
        self.in_flight.clear();
        let size = self.members.len();
        for (index, member) in self.members.iter_mut().enumerate() {
            member.election = open(index, size, self.now);
            member.claim = None;
        }
    }

    fn leaders(&self) -> Vec<usize> {
        let leads =
            |index: &usize| self.members[*index].alive && self.members[*index].election.leading;
        (0..self.members.len()).filter(leads).collect()
    }

    /// Runs until a VM leads; returns the time that it took, in milliseconds.
    fn time_to_leader(&mut self) -> Millis {
        let started = self.now;
        while self.leaders().is_empty() {
            assert!(self.now < started + 20_000, "no VM leads after 20 s");
            self.step();
        }
        self.now - started
    }

    fn run(&mut self, ms: Millis) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += TICK;
        for index in 0..self.members.len() {
            self.tick(index);
        }
        while let Some((to, heartbeat)) = self.in_flight.pop_front() {
            self.receive(to, heartbeat);
        }
    }

    fn tick(&mut self, index: usize) {
        let now = self.now;
        let member = &mut self.members[index];
        if !member.alive {
            return;
        }
        let lag = if member.election.leading { member.lag.0 } else { member.lag.1 };
        member.election.set_lag(lag, now);
        let takeover = member.election.should_hand_over(now).then(|| {
            let successor = member.election.successor(now).into_iter().map(|vm| (vm, 0)).collect();
            (member.election.heartbeat(Purpose::TakeOver, now), successor)
        });
        // The store answers all VMs at all times.
        if member.election.store_query_due(now) {
            member.election.on_store_confirmed(now);
        }
        let (heartbeat, targets) = member.election.due_heartbeats(now);
        let started = member.claim.is_none() && member.election.should_claim(now);
        if started {
            member.claims += 1;
            member.election.claiming = true;
            member.claim = Some((now + CLAIM_TIME, self.epoch));
        }
        let announced = started.then(|| {
            let all = member.election.all_targets().into_iter().map(|(vm, _)| (vm, 0)).collect();
            (member.election.heartbeat(Purpose::Report, now), all)
        });
        if let Some((_, before)) = member.claim.filter(|(at, _)| *at <= now) {
            member.claim = None;
            member.election.claiming = false;
            // The store accepts only the first claim after an epoch.
            if before == self.epoch {
                self.epoch += 1;
                member.election.become_leader(self.epoch, now);
            } else {
                member.election.step_down(now);
            }
        }
        self.send(index, &heartbeat, targets);
        if let Some((heartbeat, successor)) = takeover {
            self.send(index, &heartbeat, successor);
        }
        if let Some((heartbeat, all)) = announced {
            self.send(index, &heartbeat, all);
        }
    }

    fn send(&mut self, from: usize, heartbeat: &Heartbeat, targets: Vec<(Vm, Millis)>) {
        for (to, interval) in targets {
            self.members[from].traffic.set(self.members[from].traffic.get() + 1);
            let to = to.addr.port() as usize;
            self.in_flight.push_back((to, Heartbeat { interval, ..heartbeat.clone() }));
        }
    }

    fn receive(&mut self, to: usize, heartbeat: Heartbeat) {
        let now = self.now;
        let member = &mut self.members[to];
        if !member.alive {
            return;
        }
        member.traffic.set(member.traffic.get() + 1);
        let (from, purpose, epoch) = (heartbeat.from.clone(), heartbeat.purpose, heartbeat.epoch);
        let known = member.election.epoch();
        member.election.on_heartbeat(heartbeat, now);
        if member.election.leading && epoch > known {
            member.election.step_down(now);
        }
        if purpose == Purpose::Query || epoch > known {
            let reply = member.election.heartbeat(Purpose::Report, now);
            self.send(to, &reply, vec![(from, 0)]);
        }
    }

    /// Returns the most heartbeats that one VM sends and receives per second.
    fn busiest(&mut self) -> f64 {
        self.members.iter().for_each(|member| member.traffic.set(0));
        self.run(6_000);
        self.members.iter().map(|member| member.traffic.get()).max().unwrap_or(0) as f64 / 6.0
    }
}

fn open(index: usize, size: usize, now: Millis) -> Election {
    let mut election = Election::new(vm(index, now), now);
    election.store_reachable = true;
    (0..size).filter(|other| *other != index).for_each(|other| election.add_vm(vm(other, 1)));
    election
}

/// Returns the number of claims since `before`.
fn claims(cluster: &Cluster, before: usize) -> usize {
    cluster.members.iter().map(|member| member.claims).sum::<usize>() - before
}

#[test]
fn heartbeats_of_the_busiest_vm_grow_slower_than_the_number_of_vms() {
    let per_second = |size: usize| {
        let mut cluster = Cluster::start(size);
        cluster.time_to_leader();
        cluster.run(3_000);
        cluster.busiest()
    };
    let (small, large) = (per_second(30), per_second(300));
    assert!(large < 6.0 * small, "{small} a second with 30 VMs, {large} with 300");
    assert!(large < 1_300.0, "{large} a second with 300 VMs");
}

#[test]
fn a_lost_leader_is_replaced_as_soon_in_large_deployments_as_in_small_ones() {
    for size in [6, 30, 100, 300] {
        let mut cluster = Cluster::start(size);
        cluster.time_to_leader();
        cluster.run(4_000);
        let before = claims(&cluster, 0);
        let leader = cluster.leaders()[0];
        cluster.members[leader].alive = false;
        let took = cluster.time_to_leader();
        assert!(took <= 1_500, "{size} VMs: replaced after {took} ms");
        cluster.run(3_000);
        assert_eq!(cluster.leaders().len(), 1, "{size} VMs");
        let claims = claims(&cluster, before);
        assert!(claims <= 2, "{size} VMs: {claims} claims");
    }
}

#[test]
fn a_leader_is_replaced_when_all_vms_in_close_contact_with_it_are_lost_as_well() {
    let mut cluster = Cluster::start(100);
    cluster.time_to_leader();
    cluster.run(4_000);
    for (index, member) in cluster.members.iter_mut().enumerate() {
        member.alive &= CAPACITIES[index % CAPACITIES.len()] < 500;
    }
    let took = cluster.time_to_leader();
    assert!(took <= 6_000, "replaced after {took} ms");
}

#[test]
fn vms_that_all_start_at_once_agree_on_a_leader_without_a_storm_of_claims() {
    for size in [6, 30, 100, 300] {
        let mut cluster = Cluster::start(size);
        for round in 0..2 {
            let before = claims(&cluster, 0);
            let took = cluster.time_to_leader();
            assert!(took <= 1_500, "{size} VMs, round {round}: a leader after {took} ms");
            cluster.run(3_000);
            let claims = claims(&cluster, before);
            assert!(claims <= 3, "{size} VMs, round {round}: {claims} claims");
            let capacity =
                cluster.members[cluster.leaders()[0]].election.heartbeat(Purpose::Report, 0);
            assert_eq!(capacity.cpu_capacity, 500, "{size} VMs, round {round}");
            cluster.restart_all();
        }
    }
}

#[test]
fn leadership_does_not_go_round_between_vms_that_cannot_bear_the_load() {
    struct Case {
        name: &'static str,
        /// Lag of the first leader while it does not lead, in milliseconds.
        idle_lag: u32,
        /// Lag of the other VMs while they lead.
        others_lag: u32,
        /// Changes of leadership in 40 s.
        changes: std::ops::RangeInclusive<usize>,
    }
    let cases = [
        Case { name: "no VM can bear it", idle_lag: 0, others_lag: 200, changes: 1..=2 },
        Case { name: "the leader alone is slow", idle_lag: 200, others_lag: 0, changes: 1..=1 },
        Case { name: "another VM can bear it", idle_lag: 0, others_lag: 0, changes: 1..=1 },
    ];
    for case in cases {
        let mut cluster = Cluster::start(30);
        cluster.time_to_leader();
        let first = cluster.leaders()[0];
        for (index, member) in cluster.members.iter_mut().enumerate() {
            let slow = if index == first { (200, case.idle_lag) } else { (case.others_lag, 0) };
            member.lag = slow;
        }
        let before = cluster.epoch;
        cluster.run(40_000);
        let changes = (cluster.epoch - before) as usize;
        assert!(case.changes.contains(&changes), "{}: {changes} changes", case.name);
    }
}
