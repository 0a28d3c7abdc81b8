//! For how long a leader may decide, in simulated time.

use std::{cell::Cell, net::SocketAddr};

use base::Millis;
use elect::{EVIDENCE_TTL, Election, Heartbeat, Purpose, Vm, WORDS_TTL};

/// Step of the simulated time: the interval of the ticker.
const TICK: Millis = 50;
/// Time at which the cluster starts.
const START: Millis = 10_000;
/// Delay of a heartbeat.
const DELAY: Millis = 5;

fn vm(index: usize) -> Vm {
    Vm {
        name: format!("vm-{index}").into(),
        domain: "d".into(),
        addr: SocketAddr::from(([127, 0, 0, 1], index as u16 + 1)),
        incarnation: 1,
        cpu_capacity: 250,
    }
}

/// VMs that exchange heartbeats; VM 0 leads.
struct Cluster {
    now: Millis,
    vms: Vec<Election>,
    /// Whether a heartbeat passes from one VM to another.
    passes: Box<dyn Fn(usize, usize) -> bool>,
    /// Whether the store answers the leader.
    store_answers: bool,
    /// Heartbeats on their way, with the time of arrival, sender and receiver.
    in_flight: Vec<(Millis, usize, usize, Heartbeat)>,
}

impl Cluster {
    /// Starts VMs that all know each other, and runs them until all follow VM 0.
    fn open(size: usize) -> Cluster {
        let open = |index| {
            let mut election = Election::new(vm(index), START);
            election.store_reachable = true;
            (0..size).for_each(|other| election.add_vm(vm(other)));
            election
        };
        let vms = (0..size).map(open).collect();
        let passes = Box::new(|_, _| true);
        let mut cluster =
            Cluster { now: START, vms, passes, store_answers: true, in_flight: Vec::new() };
        cluster.vms[0].become_leader(5, START);
        cluster.vms[0].on_store_confirmed(START);
        cluster.run(3_000);
        cluster
    }

    /// Lets nothing pass but some heartbeats.
    fn cut(&mut self, passes: impl Fn(usize, usize) -> bool + 'static) {
        self.passes = Box::new(passes);
        self.store_answers = false;
    }

    fn run(&mut self, period: Millis) {
        let end = self.now + period;
        while self.now < end {
            self.now += TICK;
            if self.vms[0].store_query_due(self.now) && self.store_answers {
                self.vms[0].on_store_confirmed(self.now);
            }
            if let Some(members) = self.vms[0].members_due(self.now).filter(|_| self.store_answers)
            {
                self.vms[0].on_members_sent(members);
                self.vms[0].on_members_stored();
            }
            for index in 0..self.vms.len() {
                let (heartbeat, targets) = self.vms[index].due_heartbeats(self.now);
                for (vm, interval) in targets {
                    self.send(index, &vm, Heartbeat { interval, ..heartbeat.clone() });
                }
            }
            self.deliver();
        }
    }

    fn send(&mut self, from: usize, to: &Vm, heartbeat: Heartbeat) {
        let to = usize::from(to.addr.port()) - 1;
        if (self.passes)(from, to) {
            self.in_flight.push((self.now + DELAY, from, to, heartbeat));
        }
    }

    fn deliver(&mut self) {
        while let Some(next) = self.in_flight.iter().position(|(at, ..)| *at < self.now + TICK) {
            let (at, from, to, heartbeat) = self.in_flight.remove(next);
            let query = heartbeat.purpose == Purpose::Query;
            self.vms[to].on_heartbeat(heartbeat, at);
            if query {
                let reply = self.vms[to].heartbeat(Purpose::Report, at);
                self.send(to, &vm(from), reply);
            }
        }
    }

    fn leader_decides(&self) -> bool {
        self.vms[0].may_decide(self.now)
    }
}

/// Guards against two runs of a task: a leader whose failure domain was cut off went on, confirmed
/// by a follower in the same domain, beside the leader that had succeeded it.
#[test]
fn a_leader_decides_only_while_no_other_vm_can_have_claimed() {
    struct Case {
        name: &'static str,
        passes: fn(usize, usize) -> bool,
        decides: bool,
    }
    let cases = [
        Case { name: "all are in touch, without the store", passes: |_, _| true, decides: true },
        Case {
            name: "cut off with one follower of three",
            passes: |from, to| from / 2 == to / 2,
            decides: false,
        },
        Case {
            name: "one follower is cut off",
            passes: |from, to| from != 3 && to != 3,
            decides: false,
        },
        Case {
            name: "nothing gets to the leader from one follower",
            passes: |from, to| (from, to) != (3, 0),
            decides: false,
        },
        Case {
            name: "nothing gets from the leader to one follower",
            passes: |from, to| (from, to) != (0, 3),
            decides: false,
        },
        Case { name: "cut off alone", passes: |from, to| from > 0 && to > 0, decides: false },
    ];
    for case in cases {
        let mut cluster = Cluster::open(4);
        assert!(cluster.leader_decides(), "{}: before", case.name);
        cluster.cut(case.passes);
        cluster.run(EVIDENCE_TTL + 2 * TICK);
        assert_eq!(cluster.leader_decides(), case.decides, "{}", case.name);
        cluster.run(8_000);
        assert_eq!(cluster.leader_decides(), case.decides, "{}: later", case.name);
    }
}

/// Guards against evidence that is older than it seems: it counted from its receipt, which a
/// pause of the receiver or a delay on the way puts off.
#[test]
fn evidence_counts_from_when_it_was_asked_for() {
    struct Case {
        name: &'static str,
        evidence: fn(&mut Election, Heartbeat),
    }
    let cases = [
        Case {
            name: "an answer of the store",
            evidence: |leader, _| leader.on_store_confirmed(START + 3_000),
        },
        Case {
            name: "a word of the only follower",
            evidence: |leader, word| leader.on_heartbeat(word, START + 9_000),
        },
    ];
    for case in cases {
        let mut cluster = Cluster::open(2);
        let query = cluster.vms[0].heartbeat(Purpose::Query, START + 3_000);
        cluster.vms[1].on_heartbeat(query, START + 3_005);
        let word = cluster.vms[1].heartbeat(Purpose::Report, START + 8_900);
        (case.evidence)(&mut cluster.vms[0], word);
        let end = START + 3_000 + EVIDENCE_TTL;
        assert!(cluster.vms[0].may_decide(end - 1), "{}", case.name);
        assert!(!cluster.vms[0].may_decide(end), "{}", case.name);
    }
}

/// Guards against a leader that stops deciding for good, and with it all work that lasts: all other
/// VMs were lost, nobody submitted jobs, and without decisions nothing was appended.
#[test]
fn a_leader_that_nobody_follows_decides_while_the_store_answers() {
    for size in [1, 3] {
        let mut cluster = Cluster::open(size);
        cluster.cut(|_, _| false);
        cluster.store_answers = true;
        for _ in 0..100 {
            cluster.run(300);
            assert!(cluster.leader_decides(), "{size} VMs, {} ms", cluster.now - START);
        }
        assert!(!cluster.vms[0].has_lost_store(cluster.now), "{size} VMs");
        cluster.store_answers = false;
        cluster.run(EVIDENCE_TTL);
        assert!(cluster.vms[0].has_lost_store(cluster.now), "{size} VMs, without the store");
    }
}

/// Guards against lasting tasks that lapse while the store is away for all, because a VM that was
/// lost before gives no word; and against decisions beside a leader that is none of the members.
#[test]
fn a_leader_decides_by_the_words_of_the_members_for_a_limited_time() {
    struct Case {
        name: &'static str,
        /// VMs, one of which is lost.
        size: usize,
        /// Time from its loss until the store is away.
        lost_before: Millis,
        /// Time from then on for which the leader decides.
        decides_for: Millis,
    }
    let cases = [
        Case { name: "lost long before", size: 3, lost_before: 8_000, decides_for: WORDS_TTL },
        Case { name: "lost just then", size: 3, lost_before: 0, decides_for: EVIDENCE_TTL },
        Case { name: "nobody else", size: 2, lost_before: 8_000, decides_for: WORDS_TTL },
    ];
    for case in cases {
        let mut cluster = Cluster::open(case.size);
        let lost = case.size - 1;
        cluster.cut(move |from, to| from != lost && to != lost);
        cluster.store_answers = true;
        cluster.run(case.lost_before);
        cluster.store_answers = false;
        let away_at = cluster.now;
        while cluster.leader_decides() {
            cluster.run(TICK);
        }
        let decided_for = cluster.now - away_at;
        let expected = case.decides_for - 400..=case.decides_for + TICK;
        assert!(expected.contains(&decided_for), "{}: {decided_for} ms", case.name);
    }
}

/// Guards against a record of the members of which it is not known whether the store has it: a
/// claimant reads either one.
#[test]
fn the_word_of_each_member_that_the_store_may_have_is_needed() {
    let mut cluster = Cluster::open(3);
    cluster.cut(|from, to| from != 2 && to != 2);
    let leader = &mut cluster.vms[0];
    leader.on_members_sent(["vm-0".into(), "vm-1".into()].into());
    cluster.run(EVIDENCE_TTL + 2 * TICK);
    assert!(!cluster.leader_decides(), "the store may have the earlier record");
    cluster.vms[0].on_members_stored();
    assert!(cluster.leader_decides(), "the store has the new record");
}

/// Guards against work that stops while the store is away for all of many VMs, most of which report
/// to the leader rarely, and heartbeats are lost.
#[test]
fn the_words_of_many_members_are_heard_in_time() {
    let mut cluster = Cluster::open(40);
    let sent = Cell::new(0);
    cluster.cut(move |_, _| sent.replace(sent.get() + 1) % 7 != 0);
    for _ in 0..100 {
        cluster.run(100);
        assert!(cluster.leader_decides(), "{} ms", cluster.now - START);
    }
}
