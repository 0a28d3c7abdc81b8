//! Workers whose time of day was ahead at an earlier start: their next incarnation names a lower
//! start.

#[allow(dead_code)]
mod fleet;

use std::net::SocketAddr;

use base::{Millis, Size};
use fleet::{Fleet, Sent, info, link::Link};
use job::{Spec, Step};
use port::{Outcome, WorkerInfo};

/// Incarnation of a worker whose time of day is ahead, and the next two with the time right.
const AHEAD: u64 = 9;
const NEXT: u64 = 5;
const LAST: u64 = 7;

fn spec(count: u32, long_running: bool) -> Spec {
    let size = Size { cpu: 1_000, memory: 100, accel: 0 };
    let step = Step { count, size, estimate: 1_000, long_running, ..Step::default() };
    Spec { text: "t".into(), steps: vec![step], repeat: None }
}

/// Returns a fleet of one worker, whose time of day is ahead, that has listed a long-running task.
fn fleet_ahead() -> (Fleet, Sent) {
    let mut fleet = Fleet::open(1);
    fleet.restart("w0", AHEAD);
    fleet.advance(10);
    fleet.list("w0", &[], &[]);
    fleet.store();
    fleet.accept("a", spec(1, true));
    let start = fleet.starts().remove(0);
    fleet.reply_start(&start, Ok(1));
    fleet.advance(10);
    fleet.list("w0", &[(&start.1, 0)], &[]);
    (fleet, start)
}

/// Delivers a list that an incarnation makes now.
fn list(fleet: &mut Fleet, incarnation: u64, sent: &[&Sent]) {
    fleet.advance(10);
    let runs: Vec<_> = sent.iter().map(|sent| &sent.1).collect();
    let now = fleet.now();
    fleet.list_since("w0", now, incarnation, &runs);
}

/// Guards against a long-running task that stays down for ever: its worker named a lower start than
/// before, and the leader ignored all that it said.
#[test]
fn a_worker_that_names_a_lower_start_gets_its_task_again() {
    struct Case {
        name: &'static str,
        news: fn(&mut Fleet),
    }
    let cases = [
        Case { name: "by its list", news: |_| {} },
        Case { name: "by its record", news: |fleet| fleet.restart("w0", NEXT) },
        Case {
            name: "its record was removed and is back",
            news: |fleet| {
                fleet.unlist("w0");
                fleet.restart("w0", NEXT);
            },
        },
        Case {
            name: "by the record of an incarnation between",
            news: |fleet| {
                fleet.restart("w0", LAST);
                fleet.restart("w0", NEXT);
            },
        },
        Case {
            name: "to the next leader, which the store tells of the higher start",
            news: |fleet| {
                fleet.take_over();
                fleet.restart("w0", NEXT);
            },
        },
        Case {
            name: "to the next leader, by its list",
            news: |fleet| {
                fleet.take_over();
                fleet.restart("w0", AHEAD);
            },
        },
    ];
    for case in cases {
        let (mut fleet, _) = fleet_ahead();
        (case.news)(&mut fleet);
        let mut started = Vec::new();
        for _ in 0..3 {
            list(&mut fleet, NEXT, &[]);
            fleet.store();
            started.extend(fleet.starts());
        }
        assert_eq!(started.len(), 1, "{}", case.name);
        assert_eq!(fleet.lead.workers["w0"].info.incarnation, NEXT, "{}", case.name);
        fleet.reply_start(&started[0], Ok(1));
        list(&mut fleet, NEXT, &[&started[0]]);
        fleet.take_over();
        fleet.restart("w0", NEXT);
        list(&mut fleet, NEXT, &[&started[0]]);
        fleet.store();
        assert!(fleet.starts().is_empty(), "{}: it runs, as the next leader knows", case.name);
        assert_eq!(fleet.lead.workers["w0"].runs.len(), 1, "{}", case.name);
    }
}

/// Guards against the same where a relay polls the worker.
#[test]
fn a_worker_that_names_a_lower_start_to_a_relay_gets_its_task_again() {
    for transit in [0, 600] {
        let (mut fleet, sent) = fleet_ahead();
        let mut link = Link::open(&mut fleet, &"w0".into(), transit);
        link.list(&fleet, &sent.1);
        link.exchange(&mut fleet);
        let restarted_at = fleet.now();
        let mut started = Vec::new();
        while started.is_empty() && fleet.now() < restarted_at + 3_000 {
            fleet.advance(200);
            link.list_none(&fleet, NEXT);
            link.exchange(&mut fleet);
            fleet.store();
            started = fleet.starts();
        }
        assert_eq!(started.len(), 1, "{transit} ms");
    }
}

/// Guards against two runs of a task: messages of an earlier incarnation that named a higher start
/// were taken for the present one's, and a run that it had not listed for one that is gone.
#[test]
fn late_messages_of_the_earlier_incarnation_are_not_believed() {
    struct Case {
        name: &'static str,
        late: fn(&mut Fleet, Millis),
    }
    let cases = [
        Case {
            name: "a list of the earlier incarnation",
            late: |fleet, before| fleet.list_since("w0", before, AHEAD, &[]),
        },
        Case {
            name: "a list of an incarnation between that was never heard of",
            late: |fleet, before| fleet.list_since("w0", before, LAST, &[]),
        },
        Case {
            name: "the record of the earlier incarnation",
            late: |fleet, _| fleet.restart("w0", AHEAD),
        },
    ];
    for case in cases {
        let (mut fleet, _) = fleet_ahead();
        let before = fleet.now();
        fleet.restart("w0", NEXT);
        list(&mut fleet, NEXT, &[]);
        fleet.store();
        let started = fleet.starts().remove(0);
        fleet.reply_start(&started, Ok(1));
        list(&mut fleet, NEXT, &[&started]);
        (case.late)(&mut fleet, before);
        fleet.store();
        assert!(fleet.starts().is_empty(), "{}", case.name);
        assert_eq!(fleet.lead.workers["w0"].info.incarnation, NEXT, "{}", case.name);
        list(&mut fleet, NEXT, &[&started]);
        assert!(fleet.starts().is_empty(), "{}: it goes on", case.name);
        assert!(fleet.poll("w0").deadline.is_some(), "{}: its lease is renewed", case.name);
    }
}

/// Guards against two runs of a task: a record with a lower start came late, from before the present
/// incarnation, and was taken for a restart.
#[test]
fn a_record_with_a_lower_start_is_no_restart_by_itself() {
    let (mut fleet, sent) = fleet_ahead();
    fleet.restart("w0", NEXT);
    fleet.store();
    assert!(fleet.starts().is_empty(), "its run may go on");
    list(&mut fleet, AHEAD, &[&sent]);
    assert!(fleet.starts().is_empty(), "its run goes on");
    assert_eq!(fleet.lead.workers["w0"].info.incarnation, AHEAD);
    fleet.restart("w0", NEXT);
    assert!(fleet.poll("w0").deadline.is_some(), "the repeated record tells nothing new");
}

/// Guards against completions that are lost: the incarnation with the lower start was sent the
/// number of a completion of the earlier one.
#[test]
fn a_worker_whose_record_has_a_lower_start_is_sent_no_acknowledgement() {
    let (mut fleet, _) = fleet_ahead();
    fleet.accept("b", spec(1, false));
    let sent = fleet.starts().remove(0);
    fleet.reply_start(&sent, Ok(1));
    fleet.list("w0", &[], &[(7, &sent.1, Outcome::Done)]);
    fleet.store();
    assert_eq!(fleet.poll("w0").acked, 7);
    fleet.restart("w0", NEXT);
    assert_eq!(fleet.poll("w0").acked, 0);
    list(&mut fleet, NEXT, &[]);
    assert_eq!(fleet.poll("w0").acked, 0);
}

/// Guards against a worker that is polled at its earlier address for good.
#[test]
fn a_worker_with_a_lower_start_at_another_address_is_reached() {
    let (mut fleet, sent) = fleet_ahead();
    let addr = SocketAddr::from(([127, 0, 0, 1], 99));
    let moved = WorkerInfo { incarnation: NEXT, addr, ..info("w0") };
    fleet.record("w0", Some(moved));
    let restarted_at = fleet.now();
    let polled = |fleet: &mut Fleet| {
        let time = fleet.time();
        fleet.lead.poll(&"w0".into(), true, true, time).expect("a known worker").0.addr
    };
    while polled(&mut fleet) != addr && fleet.now() < restarted_at + 20_000 {
        fleet.advance(100);
        fleet.fail_poll("w0");
        assert!(fleet.starts().is_empty(), "its leases may be valid");
    }
    assert_eq!(polled(&mut fleet), addr);
    list(&mut fleet, NEXT, &[]);
    fleet.store();
    let started = fleet.starts();
    assert_eq!(fleet.lead.workers["w0"].info.addr, addr);
    assert_eq!(started.len(), 1);
    assert!(started[0].1.run > sent.1.run);
}
