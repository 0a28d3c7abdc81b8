//! Starts to workers that may have restarted without the leader's knowledge. A deadline on the clock
//! of the earlier incarnation gives the longest lease.

#[allow(dead_code)]
mod fleet;
#[allow(dead_code, unused_imports)]
mod world;

use base::{Millis, Size};
use fleet::{Fleet, Sent, info};
use job::{Spec, Step};
use lead::Command;
use port::{Poll, WorkerError};
use world::FakeWorker;

fn step() -> Step {
    let size = Size { cpu: 1_000, memory: 100, accel: 0 };
    Step { count: 1, size, estimate: 30_000, ..Step::default() }
}

/// Starts a task on a worker of two whose poll breaks off before the start arrives: the worker has
/// crashed and is back. Returns the start, and that worker with its run.
fn start_on_new_incarnation(fleet: &mut Fleet) -> (Sent, FakeWorker) {
    fleet.advance(8_000);
    fleet.list_all();
    fleet.accept("a", Spec { text: "t".into(), steps: vec![step()], repeat: None });
    let sent = fleet.starts().remove(0);
    fleet.fail_poll("w0");
    fleet.fail_poll("w1");
    let mut worker = FakeWorker::open(0, "s", 4_000);
    worker.crash(fleet.now(), fleet.now());
    worker.start(sent.1.clone(), &step(), false, fleet.now() + 10).expect("it starts");
    (sent, worker)
}

fn other(sent: &Sent) -> &'static str {
    if &*sent.0 == "w0" { "w1" } else { "w0" }
}

/// Returns when the task is started on the other worker, while the first one is silent.
fn started_again(fleet: &mut Fleet, sent: &Sent) -> Millis {
    for _ in 0..300 {
        fleet.advance(60);
        fleet.list(other(sent), &[], &[]);
        fleet.fail_poll(&sent.0);
        fleet.store();
        if !fleet.starts().is_empty() {
            return fleet.now();
        }
    }
    panic!("never started again");
}

/// Guards against a start that gives a restarted worker the longest lease: it was sent although the
/// worker might have restarted.
#[test]
fn a_worker_that_may_have_restarted_gets_no_start_before_its_next_list() {
    struct Case<'a> {
        name: &'a str,
        event: &'a dyn Fn(&mut Fleet),
    }
    let cases = [
        Case { name: "a poll without a reply", event: &|fleet| fleet.fail_poll("w0") },
        Case {
            name: "a start without a reply",
            event: &|fleet| {
                fleet.accept("b", Spec { text: "t".into(), steps: vec![step()], repeat: None });
                let sent = fleet.starts().remove(0);
                fleet.reply_start(&sent, Err(WorkerError::InDoubt("timeout".into())));
            },
        },
        Case {
            name: "a stop without a reply",
            event: &|fleet| {
                fleet.accept("b", Spec { text: "t".into(), steps: vec![step()], repeat: None });
                let sent = fleet.start_waiting().remove(0);
                fleet.cancel("b");
                fleet.commands();
                fleet.reply_stop(&sent, Err(WorkerError::InDoubt("timeout".into())));
            },
        },
        Case { name: "its relay is lost", event: &|fleet| fleet.lose_relay("w0") },
    ];
    for case in cases {
        let mut fleet = Fleet::open(1);
        (case.event)(&mut fleet);
        fleet.accept("a", Spec { text: "t".into(), steps: vec![step()], repeat: None });
        let asks = |order: &Command| matches!(order, Command::Poll(id) if &**id == "w0");
        let commands = fleet.commands();
        let starts = commands.iter().filter(|order| matches!(order, Command::Start(..))).count();
        assert_eq!(starts, 0, "{}: in doubt", case.name);
        let polled = case.name == "a poll without a reply" || commands.iter().any(asks);
        assert!(polled, "{}: it is asked at once", case.name);
        fleet.advance(10);
        fleet.list_known("w0");
        assert_eq!(fleet.starts().len(), 1, "{}: it has listed its runs", case.name);
    }
}

/// Guards against two runs of a task: a start that got no reply had given a restarted worker the
/// longest lease, and its run was given up after the lease that the leader had meant.
#[test]
fn a_run_on_an_unknown_incarnation_is_not_given_up_while_it_goes_on() {
    let mut fleet = Fleet::open(2);
    let (sent, worker) = start_on_new_incarnation(&mut fleet);
    fleet.advance(700);
    fleet.reply_start(&sent, Err(WorkerError::InDoubt("timeout".into())));
    let at = started_again(&mut fleet, &sent);
    assert!(worker.has_lapsed(at), "the first run goes on");
}

/// Guards against two runs of a task: a poll in doubt had given the worker's next incarnation the
/// longest lease, and a run there was given up after the lease that the leader had meant.
#[test]
fn a_run_beside_a_late_renewal_is_not_given_up_while_it_goes_on() {
    let mut fleet = Fleet::open(2);
    fleet.advance(20_000);
    fleet.list_all();
    let mut worker = FakeWorker::open(0, "s", 4_000);
    worker.crash(fleet.now(), fleet.now());
    fleet.fail_poll("w0");
    fleet.restart("w0", 2);
    fleet.advance(4_000);
    fleet.fail_poll("w0");
    // The poll of the earlier incarnation arrives just before the first one of the next.
    let late = Poll { token: 0, acked: 0, deadline: Some(Millis::MAX), wait: 0 };
    worker.poll(&late, fleet.now()).expect("the first request");
    fleet.list_since("w0", fleet.now(), 2, &[]);
    fleet.store();
    fleet.fail_poll("w1");
    fleet.accept("a", Spec { text: "t".into(), steps: vec![step()], repeat: None });
    let sent = fleet.starts().remove(0);
    assert_eq!(&*sent.0, "w0");
    let now = fleet.now();
    worker.start(sent.1.clone(), &step(), false, now).expect("it starts");
    fleet.reply_start(&sent, Ok(1));
    let at = started_again(&mut fleet, &sent);
    assert!(worker.has_lapsed(at), "the first run goes on");
}

/// Guards against the same with a leader that takes over: nothing tells it of that lease.
#[test]
fn a_run_on_an_unknown_incarnation_is_not_given_up_by_the_next_leader() {
    let mut fleet = Fleet::open(2);
    let (sent, worker) = start_on_new_incarnation(&mut fleet);
    fleet.take_over();
    let time = fleet.time();
    fleet.lead.on_worker_info(info(other(&sent)), time);
    fleet.store();
    let at = started_again(&mut fleet, &sent);
    assert!(worker.has_lapsed(at), "the first run goes on");
}
