//! When a VM claims leadership, and where it sends work.

use std::net::SocketAddr;

use base::Millis;
use elect::{Beat, Elect, Purpose, Vm};

fn vm(name: &str) -> Vm {
    Vm {
        name: name.into(),
        domain: "d".into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 9)),
        born: 1,
    }
}

/// A heartbeat of `from` that names `leader` in epoch 5.
fn beat(from: &str, leader: Option<&str>, heard: Millis) -> Beat {
    Beat {
        from: vm(from),
        purpose: Purpose::Tell,
        epoch: if leader.is_some() { 5 } else { 0 },
        leader: leader.map(vm),
        leading: leader == Some(from),
        heard,
        store: true,
        delay: 0,
        power: 250,
        version: 1,
        leaving: false,
        others: Vec::new(),
    }
}

/// VM `b`, which the store answers and which has heard `a` lead at 10 s.
fn follower(power: u32) -> Elect {
    let mut elect = Elect::open(vm("b"), power, 0);
    elect.store = true;
    elect.on_beat(beat("a", Some("a"), 0), 10_000);
    elect
}

struct Case {
    name: &'static str,
    power: u32,
    store: bool,
    leaving: bool,
    /// Heartbeats, each with when it came.
    beats: Vec<(Beat, Millis)>,
    /// When to look.
    at: Millis,
    claims: bool,
}

#[test]
fn a_silent_leader_is_followed_by_the_best_vm_that_reaches_the_store() {
    let strong = Beat { power: 500, ..beat("c", Some("a"), 900) };
    let away = Beat { store: false, ..strong.clone() };
    let order = Beat { purpose: Purpose::TakeOver, ..beat("a", Some("a"), 0) };
    let late = Beat { epoch: 4, ..order.clone() };
    let base = || Case {
        name: "",
        power: 250,
        store: true,
        leaving: false,
        beats: Vec::new(),
        at: 11_500,
        claims: true,
    };
    let cases = [
        Case { name: "silence", ..base() },
        Case { name: "no silence", at: 10_600, claims: false, ..base() },
        Case { name: "store away", store: false, claims: false, ..base() },
        Case { name: "shutting down", leaving: true, claims: false, ..base() },
        Case {
            name: "another hears the leader",
            beats: vec![(beat("c", Some("a"), 100), 11_400)],
            claims: false,
            ..base()
        },
        Case {
            name: "a stronger one goes first",
            beats: vec![(strong.clone(), 10_800)],
            at: 10_900,
            claims: false,
            ..base()
        },
        Case { name: "and has its turn only", beats: vec![(strong, 10_800)], at: 11_100, ..base() },
        Case {
            name: "a stronger one without the store does not count",
            beats: vec![(away, 10_800)],
            at: 10_900,
            ..base()
        },
        Case { name: "told to take over", beats: vec![(order, 10_100)], at: 10_110, ..base() },
        Case {
            name: "told by a leader of the past",
            beats: vec![(late, 10_100)],
            at: 10_110,
            claims: false,
            ..base()
        },
    ];
    for case in cases {
        let mut elect = follower(case.power);
        elect.store = case.store;
        elect.leaving = case.leaving;
        for (beat, at) in case.beats {
            elect.on_beat(beat, at);
        }
        assert_eq!(elect.should_claim(case.at), case.claims, "{}", case.name);
    }
}

#[test]
fn a_claim_that_failed_is_not_repeated_at_once() {
    let mut elect = follower(250);
    assert!(elect.should_claim(11_500));
    elect.yield_lead(11_500);
    assert!(!elect.should_claim(11_700));
    assert!(elect.should_claim(12_000));
}

#[test]
fn a_leader_that_lags_gives_way_to_a_vm_with_twice_its_power() {
    struct Case {
        name: &'static str,
        lag: u32,
        /// Powers of the others.
        others: &'static [u32],
        /// Time since it began to lead.
        led: Millis,
        outpaced: bool,
    }
    let cases = [
        Case { name: "on time", lag: 30, others: &[500], led: 6_000, outpaced: false },
        Case { name: "late", lag: 130, others: &[100, 250], led: 6_000, outpaced: true },
        Case {
            name: "the others are weaker",
            lag: 130,
            others: &[100],
            led: 6_000,
            outpaced: false,
        },
        Case {
            name: "leads since just now",
            lag: 130,
            others: &[250],
            led: 4_000,
            outpaced: false,
        },
        Case { name: "no other", lag: 130, others: &[], led: 6_000, outpaced: false },
    ];
    for case in cases {
        let mut elect = Elect::open(vm("a"), 250, 0);
        elect.store = true;
        elect.lead(5, 10_000 - case.led);
        for (at, power) in case.others.iter().enumerate() {
            let from = format!("c{at}");
            elect.on_beat(Beat { power: *power, ..beat(&from, Some("a"), 0) }, 9_900);
        }
        elect.lag = case.lag;
        assert_eq!(elect.outpaced(10_000), case.outpaced, "{}", case.name);
    }
}

#[test]
fn an_older_epoch_changes_nothing() {
    let mut elect = follower(250);
    let old = Beat { epoch: 4, ..beat("c", Some("c"), 0) };
    elect.on_beat(old, 10_100);
    assert_eq!(elect.leader().map(|leader| &*leader.vm.name), Some("a"));
    let new = Beat { epoch: 6, ..beat("c", Some("c"), 0) };
    elect.on_beat(new, 10_200);
    assert_eq!(elect.leader().map(|leader| &*leader.vm.name), Some("c"));
    assert_eq!(elect.epoch(), 6);
}

#[test]
fn work_goes_through_a_vm_that_hears_the_leader() {
    let mut elect = follower(250);
    assert_eq!(elect.path(10_100).map(|vm| vm.name), Some("a".into()));
    elect.on_beat(beat("c", Some("a"), 50), 11_400);
    assert_eq!(elect.path(11_500).map(|vm| vm.name), Some("c".into()));
}

#[test]
fn three_vms_of_a_failure_domain_read_the_manifest_for_the_others() {
    struct Case {
        name: &'static str,
        me: &'static str,
        /// Others of the domain with whether the store answers them, and their age.
        others: &'static [(&'static str, bool, Millis)],
        reads: bool,
    }
    let cases = [
        Case { name: "alone", me: "c", others: &[], reads: true },
        Case { name: "second", me: "c", others: &[("a", true, 0)], reads: true },
        Case { name: "third", me: "c", others: &[("a", true, 0), ("b", true, 0)], reads: true },
        Case {
            name: "fourth",
            me: "d",
            others: &[("a", true, 0), ("b", true, 0), ("c", true, 0)],
            reads: false,
        },
        Case { name: "first", me: "a", others: &[("b", true, 0), ("c", true, 0)], reads: true },
        Case {
            name: "one is turned away",
            me: "d",
            others: &[("a", false, 0), ("b", true, 0), ("c", true, 0)],
            reads: true,
        },
        Case {
            name: "one is silent",
            me: "d",
            others: &[("a", true, 3_000), ("b", true, 0), ("c", true, 0)],
            reads: true,
        },
    ];
    for case in cases {
        let mut elect = Elect::open(vm(case.me), 250, 0);
        for (name, store, age) in case.others {
            elect.on_beat(Beat { store: *store, ..beat(name, None, 0) }, 10_000 - age);
        }
        assert_eq!(elect.reads_manifest(10_000), case.reads, "{}", case.name);
    }
}
