//! Which observations prove that a process is dead, and which do not.

use base::Now;
use cell::Peer;
use member::{Members, REGISTER};
use plat::{Kind, Vm, VmList, VmState};

fn peer(vm: &str, incarnation: u64) -> Peer {
    Peer { vm: vm.into(), incarnation }
}

fn vm(id: &str) -> Vm {
    Vm {
        id: id.into(),
        kind: Kind::Entry,
        domain: "d".into(),
        region: "r".into(),
        rack: "x".into(),
        http: ([127, 0, 0, 1], 1).into(),
        rpc: None,
        size: base::Size::ZERO,
        state: VmState::Live,
        until: None,
    }
}

/// An observation that a process feeds to its member table.
enum Observation {
    List(u64, &'static [&'static str]),
    Heartbeat(&'static str, u64),
    Gone(&'static [&'static str]),
}

struct Case {
    name: &'static str,
    observed: &'static [Observation],
    dead: bool,
}

#[test]
fn only_the_list_and_newer_processes_prove_death() {
    let cases = [
        Case { name: "no observation", observed: &[], dead: false },
        Case { name: "silence", observed: &[Observation::Heartbeat("x", 100)], dead: false },
        Case {
            name: "a heartbeat of a newer process on the VM",
            observed: &[Observation::Heartbeat("x", 101)],
            dead: true,
        },
        Case {
            name: "a late heartbeat of an older process",
            observed: &[Observation::Heartbeat("x", 99)],
            dead: false,
        },
        Case {
            name: "a heartbeat of another VM",
            observed: &[Observation::Heartbeat("y", 500)],
            dead: false,
        },
        Case {
            name: "listed, then no longer listed",
            observed: &[Observation::List(1000, &["me", "x"]), Observation::List(2000, &["me"])],
            dead: true,
        },
        Case {
            name: "an older list arrives late",
            observed: &[Observation::List(2000, &["me", "x"]), Observation::List(1000, &["me"])],
            dead: false,
        },
        Case {
            name: "not listed yet",
            observed: &[Observation::List(100 + REGISTER, &["me"])],
            dead: false,
        },
        Case {
            name: "not listed after the registration time",
            observed: &[Observation::List(101 + REGISTER, &["me"])],
            dead: true,
        },
        Case {
            name: "another process reports it as gone",
            observed: &[Observation::List(1000, &["me"]), Observation::Gone(&["x"])],
            dead: true,
        },
        Case {
            name: "a VM that is gone stays dead when listed again",
            observed: &[
                Observation::List(1000, &["me", "x"]),
                Observation::List(2000, &["me"]),
                Observation::List(3000, &["me", "x"]),
            ],
            dead: true,
        },
    ];
    let now = Now { mono: 1, unix: 1 };
    for case in cases {
        let mut members = Members::open(peer("me", 1), "d".into());
        for observation in case.observed {
            match observation {
                Observation::List(asof, ids) => {
                    let vms = ids.iter().map(|id| vm(id)).collect();
                    members.on_list(&VmList { asof: *asof, version: 1, vms });
                }
                Observation::Heartbeat(id, incarnation) => {
                    members.on_beat(&peer(id, *incarnation), false, now);
                }
                Observation::Gone(ids) => {
                    let ids: Vec<_> = ids.iter().map(|id| (*id).into()).collect();
                    members.learn_gone(&ids);
                }
            }
        }
        assert_eq!(members.dead(&peer("x", 100)), case.dead, "{}", case.name);
    }
}

#[test]
fn a_vm_that_the_list_has_lost_must_not_act() {
    let mut members = Members::open(peer("me", 1), "d".into());
    members.on_list(&VmList { asof: 1, version: 1, vms: vec![vm("me")] });
    assert!(!members.expelled());
    members.on_list(&VmList { asof: 2, version: 2, vms: Vec::new() });
    assert!(members.expelled());
}
