//! What proves that a process is dead, and what does not.

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

/// Something that a process learns.
enum Seen {
    List(u64, &'static [&'static str]),
    Beat(&'static str, u64),
    Gone(&'static [&'static str]),
}

struct Case {
    name: &'static str,
    seen: &'static [Seen],
    dead: bool,
}

#[test]
fn only_the_list_and_newer_processes_prove_death() {
    let cases = [
        Case { name: "nothing is known", seen: &[], dead: false },
        Case { name: "silence", seen: &[Seen::Beat("x", 100)], dead: false },
        Case { name: "a newer process of the VM", seen: &[Seen::Beat("x", 101)], dead: true },
        Case { name: "an older process answers late", seen: &[Seen::Beat("x", 99)], dead: false },
        Case { name: "another VM answers", seen: &[Seen::Beat("y", 500)], dead: false },
        Case {
            name: "listed, then not any more",
            seen: &[Seen::List(1000, &["me", "x"]), Seen::List(2000, &["me"])],
            dead: true,
        },
        Case {
            name: "an older list comes late",
            seen: &[Seen::List(2000, &["me", "x"]), Seen::List(1000, &["me"])],
            dead: false,
        },
        Case { name: "not listed yet", seen: &[Seen::List(100 + REGISTER, &["me"])], dead: false },
        Case {
            name: "not listed when it must be",
            seen: &[Seen::List(101 + REGISTER, &["me"])],
            dead: true,
        },
        Case {
            name: "another process saw it vanish",
            seen: &[Seen::List(1000, &["me"]), Seen::Gone(&["x"])],
            dead: true,
        },
        Case {
            name: "an identifier that has vanished does not come back",
            seen: &[
                Seen::List(1000, &["me", "x"]),
                Seen::List(2000, &["me"]),
                Seen::List(3000, &["me", "x"]),
            ],
            dead: true,
        },
    ];
    let now = Now { mono: 1, unix: 1 };
    for case in cases {
        let mut members = Members::open(peer("me", 1), "d".into());
        for seen in case.seen {
            match seen {
                Seen::List(asof, ids) => {
                    let vms = ids.iter().map(|id| vm(id)).collect();
                    members.on_list(&VmList { asof: *asof, version: 1, vms });
                }
                Seen::Beat(id, incarnation) => {
                    members.on_beat(&peer(id, *incarnation), false, now);
                }
                Seen::Gone(ids) => {
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
