//! When a VM claims leadership, hands it over, forwards requests and reads the manifest.

use std::net::SocketAddr;

use base::Millis;
use elect::{Election, Heartbeat, Purpose, Vm};

fn vm(name: &str) -> Vm {
    Vm {
        name: name.into(),
        domain: "d".into(),
        addr: SocketAddr::from(([127, 0, 0, 1], 9)),
        incarnation: 1,
        cpu_capacity: 250,
    }
}

/// Returns a heartbeat of `from` that names `leader` in epoch 5 and was last in contact
/// with it `contact_age` ms ago.
fn heartbeat(from: &str, leader: Option<&str>, contact_age: Millis) -> Heartbeat {
    Heartbeat {
        from: vm(from),
        purpose: Purpose::Report,
        epoch: if leader.is_some() { 5 } else { 0 },
        leader: leader.map(vm),
        leading: leader == Some(from),
        contact_age,
        store_reachable: true,
        store_latency: 0,
        cpu_capacity: 250,
        manifest_version: 1,
        leaving: false,
        overloaded: false,
        claiming: false,
        interval: 0,
        others: Vec::new(),
        sent_at: 0,
        echo: 0,
        newcomers: Vec::new(),
    }
}

/// Returns the state of VM `b`, which can reach the store and received a heartbeat of the
/// leader `a` at 10 s.
fn follower(cpu_capacity: u32) -> Election {
    let mut election = Election::new(Vm { cpu_capacity, ..vm("b") }, 0);
    election.store_reachable = true;
    election.on_heartbeat(heartbeat("a", Some("a"), 0), 10_000);
    election
}

struct Case {
    name: &'static str,
    cpu_capacity: u32,
    store_reachable: bool,
    leaving: bool,
    /// Heartbeats with their times of receipt.
    heartbeats: Vec<(Heartbeat, Millis)>,
    /// When to check for a claim.
    at: Millis,
    claims: bool,
}

#[test]
fn a_silent_leader_is_followed_by_the_best_vm_that_reaches_the_store() {
    let strong = Heartbeat { cpu_capacity: 500, ..heartbeat("c", Some("a"), 900) };
    let no_store = Heartbeat { store_reachable: false, ..strong.clone() };
    let takeover = Heartbeat { purpose: Purpose::TakeOver, ..heartbeat("a", Some("a"), 0) };
    let outdated = Heartbeat { epoch: 4, ..takeover.clone() };
    let base = || Case {
        name: "",
        cpu_capacity: 250,
        store_reachable: true,
        leaving: false,
        heartbeats: Vec::new(),
        at: 11_500,
        claims: true,
    };
    let cases = [
        Case { name: "leader silent", ..base() },
        Case { name: "leader not silent", at: 10_600, claims: false, ..base() },
        Case { name: "store unreachable", store_reachable: false, claims: false, ..base() },
        Case { name: "shutting down", leaving: true, claims: false, ..base() },
        Case {
            name: "another VM is in contact with the leader",
            heartbeats: vec![(heartbeat("c", Some("a"), 100), 11_400)],
            claims: false,
            ..base()
        },
        Case {
            name: "a stronger candidate claims first",
            heartbeats: vec![(strong.clone(), 10_800)],
            at: 10_900,
            claims: false,
            ..base()
        },
        Case {
            name: "the stronger candidate has not claimed in time",
            heartbeats: vec![(strong, 10_800)],
            at: 11_100,
            ..base()
        },
        Case {
            name: "a stronger VM without store access is no candidate",
            heartbeats: vec![(no_store, 10_800)],
            at: 10_900,
            ..base()
        },
        Case {
            name: "takeover requested",
            heartbeats: vec![(takeover, 10_100)],
            at: 10_110,
            ..base()
        },
        Case {
            name: "takeover requested in an old epoch",
            heartbeats: vec![(outdated, 10_100)],
            at: 10_110,
            claims: false,
            ..base()
        },
    ];
    for case in cases {
        let mut election = follower(case.cpu_capacity);
        election.store_reachable = case.store_reachable;
        election.leaving = case.leaving;
        for (heartbeat, at) in case.heartbeats {
            election.on_heartbeat(heartbeat, at);
        }
        assert_eq!(election.should_claim(case.at), case.claims, "{}", case.name);
    }
}

#[test]
fn a_claim_that_failed_is_not_repeated_at_once() {
    let mut election = follower(250);
    assert!(election.should_claim(11_500));
    election.step_down(11_500);
    assert!(!election.should_claim(11_700));
    assert!(election.should_claim(12_000));
}

#[test]
fn a_leader_that_lags_gives_way_to_a_vm_with_twice_its_capacity() {
    struct Case {
        name: &'static str,
        lag: u32,
        /// CPU capacities of the other VMs.
        others: &'static [u32],
        /// Time since it became the leader.
        tenure: Millis,
        hands_over: bool,
    }
    let cases = [
        Case { name: "no lag", lag: 30, others: &[500], tenure: 6_000, hands_over: false },
        Case { name: "lag", lag: 130, others: &[100, 250], tenure: 6_000, hands_over: true },
        Case {
            name: "the other VMs are weaker",
            lag: 130,
            others: &[100],
            tenure: 6_000,
            hands_over: false,
        },
        Case {
            name: "just became the leader",
            lag: 130,
            others: &[250],
            tenure: 4_000,
            hands_over: false,
        },
        Case { name: "no other VM", lag: 130, others: &[], tenure: 6_000, hands_over: false },
    ];
    for case in cases {
        let mut election = Election::new(vm("a"), 0);
        election.store_reachable = true;
        election.become_leader(5, 10_000 - case.tenure);
        for (at, cpu_capacity) in case.others.iter().enumerate() {
            let from = format!("c{at}");
            election.on_heartbeat(
                Heartbeat { cpu_capacity: *cpu_capacity, ..heartbeat(&from, Some("a"), 0) },
                9_900,
            );
        }
        election.set_lag(case.lag, 10_000);
        assert_eq!(election.should_hand_over(10_000), case.hands_over, "{}", case.name);
    }
}

#[test]
fn an_older_epoch_changes_nothing() {
    let mut election = follower(250);
    let old = Heartbeat { epoch: 4, ..heartbeat("c", Some("c"), 0) };
    election.on_heartbeat(old, 10_100);
    assert_eq!(election.leader().map(|leader| &*leader.vm.name), Some("a"));
    let new = Heartbeat { epoch: 6, ..heartbeat("c", Some("c"), 0) };
    election.on_heartbeat(new, 10_200);
    assert_eq!(election.leader().map(|leader| &*leader.vm.name), Some("c"));
    assert_eq!(election.epoch(), 6);
}

#[test]
fn requests_go_through_a_vm_in_contact_with_the_leader() {
    let mut election = follower(250);
    assert_eq!(election.next_hop(10_100).map(|vm| vm.name), Some("a".into()));
    election.on_heartbeat(heartbeat("c", Some("a"), 50), 11_400);
    assert_eq!(election.next_hop(11_500).map(|vm| vm.name), Some("c".into()));
}

#[test]
fn three_vms_of_a_failure_domain_read_the_manifest_for_the_others() {
    struct Case {
        name: &'static str,
        me: &'static str,
        /// Other VMs of the domain: name, whether the store is reachable, age of heartbeat.
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
            name: "one cannot reach the store",
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
        let mut election = Election::new(vm(case.me), 0);
        for (name, store_reachable, age) in case.others {
            election.on_heartbeat(
                Heartbeat { store_reachable: *store_reachable, ..heartbeat(name, None, 0) },
                10_000 - age,
            );
        }
        assert_eq!(election.reads_manifest(10_000), case.reads, "{}", case.name);
    }
}

/// Guards against inherited work that waits for long after a takeover: a VM that the members do not
/// count yet became leader although a member could.
#[test]
fn members_come_before_newcomers_in_the_order_of_claims() {
    struct Case {
        name: &'static str,
        /// Newcomers by the word of the leader.
        newcomers: &'static [&'static str],
        /// CPU capacity of the other candidate, `c`.
        capacity: u32,
        /// Whether this VM, `b`, claims when the leader has been silent for as long as the best
        /// candidate waits.
        first: bool,
    }
    let cases = [
        Case { name: "stronger", newcomers: &[], capacity: 200, first: true },
        Case { name: "weaker", newcomers: &[], capacity: 300, first: false },
        Case { name: "stronger newcomer", newcomers: &["b"], capacity: 200, first: false },
        Case { name: "weaker member", newcomers: &["c"], capacity: 300, first: true },
        Case { name: "both newcomers", newcomers: &["b", "c"], capacity: 200, first: true },
    ];
    for case in cases {
        let mut election = follower(250);
        let newcomers = case.newcomers.iter().map(|name| (*name).into()).collect();
        let leader = Heartbeat { newcomers, ..heartbeat("a", Some("a"), 0) };
        election.on_heartbeat(leader, 10_000);
        let other = Heartbeat { cpu_capacity: case.capacity, ..heartbeat("c", Some("a"), 1_000) };
        election.on_heartbeat(other, 11_000);
        let mut alone = follower(250);
        let due = (10_000..).find(|at| alone.should_claim(*at)).expect("it claims");
        assert_eq!(election.should_claim(due), case.first, "{}", case.name);
    }
}

/// Guards against the same where the leader hands over.
#[test]
fn a_leader_hands_over_to_a_member() {
    let mut election = Election::new(vm("a"), 0);
    election.become_leader(5, 9_000);
    let members = ["a", "b"].into_iter().map(Into::into).collect();
    election.set_members(Some(members), 9_000);
    for (name, cpu_capacity) in [("b", 250), ("c", 500)] {
        let heartbeat = Heartbeat { cpu_capacity, ..heartbeat(name, Some("a"), 0) };
        election.on_heartbeat(heartbeat, 10_000);
    }
    assert_eq!(election.successor(10_100).map(|vm| vm.name), Some("b".into()));
    let sent = election.heartbeat(Purpose::Report, 10_100);
    assert_eq!(sent.newcomers, vec!["c".into()]);
}

/// Guards against manifests that arrive late: a VM that does not read them from the store went on
/// asking one that was suspended.
#[test]
fn a_newer_manifest_is_requested_from_a_vm_that_replies() {
    struct Case {
        name: &'static str,
        /// Other VMs: name, failure domain, version of the manifest, age of the heartbeat.
        others: &'static [(&'static str, &'static str, u64, Millis)],
        /// VMs that did not reply to a request, and how long ago.
        failed: &'static [(&'static str, Millis)],
        source: Option<&'static str>,
    }
    let case = || Case { name: "", others: &[], failed: &[], source: None };
    let cases = [
        Case { name: "none is newer", others: &[("a", "d", 1, 0)], ..case() },
        Case {
            name: "same domain",
            others: &[("a", "d", 2, 0), ("c", "e", 3, 0)],
            source: Some("a"),
            ..case()
        },
        Case {
            name: "the newest of the domain",
            others: &[("a", "d", 3, 100), ("c", "d", 2, 0)],
            source: Some("a"),
            ..case()
        },
        Case {
            name: "silent since it announced the same version",
            others: &[("a", "d", 2, 100), ("c", "d", 2, 1_200)],
            source: Some("a"),
            ..case()
        },
        Case {
            name: "silent for long, another domain",
            others: &[("a", "e", 2, 0), ("c", "d", 3, 2_300)],
            source: Some("a"),
            ..case()
        },
        Case {
            name: "silent for long, the only one",
            others: &[("c", "d", 3, 2_300)],
            source: Some("c"),
            ..case()
        },
        Case {
            name: "did not reply",
            others: &[("a", "d", 2, 100), ("c", "d", 3, 900)],
            failed: &[("c", 0)],
            source: Some("a"),
        },
        Case {
            name: "did not reply, another domain",
            others: &[("a", "e", 2, 100), ("c", "d", 3, 900)],
            failed: &[("c", 0)],
            source: Some("a"),
        },
        Case {
            name: "none replied",
            others: &[("a", "d", 2, 100), ("c", "d", 3, 900)],
            failed: &[("a", 1_000), ("c", 0)],
            source: Some("a"),
        },
        Case {
            name: "did not reply long ago",
            others: &[("a", "d", 2, 100), ("c", "d", 3, 900)],
            failed: &[("c", 5_000)],
            source: Some("c"),
        },
    ];
    for case in cases {
        let mut election = Election::new(vm("b"), 0);
        election.manifest_version = 1;
        for (name, domain, manifest_version, age) in case.others {
            let from = Vm { domain: (*domain).into(), ..vm(name) };
            let manifest_version = *manifest_version;
            let heartbeat = Heartbeat { from, manifest_version, ..heartbeat(name, None, 0) };
            election.on_heartbeat(heartbeat, 10_000 - age);
        }
        for (name, age) in case.failed {
            election.on_fetch_failed(&(*name).into(), 10_000 - age);
        }
        let source = election.manifest_source(10_000).map(|vm| vm.name);
        assert_eq!(source.as_deref(), case.source, "{}", case.name);
    }
}

#[test]
fn a_leader_holds_back_appends_for_a_successor_but_not_for_ever() {
    struct Case {
        name: &'static str,
        /// Takeover requests, in milliseconds after the first.
        requests: &'static [Millis],
        at: Millis,
        holds: bool,
    }
    let cases = [
        Case { name: "no request", requests: &[], at: 0, holds: false },
        Case { name: "requested", requests: &[0], at: 300, holds: true },
        Case { name: "not taken over in time", requests: &[0], at: 700, holds: false },
        Case { name: "requested again soon", requests: &[0, 200, 600, 800], at: 900, holds: false },
        Case { name: "requested again later", requests: &[0, 800, 1_600], at: 1_700, holds: true },
    ];
    for case in cases {
        let mut election = Election::new(vm("a"), 0);
        election.become_leader(5, 10_000);
        case.requests.iter().for_each(|at| election.on_takeover_requested(20_000 + at));
        assert_eq!(election.holds_appends(20_000 + case.at), case.holds, "{}", case.name);
    }
}
