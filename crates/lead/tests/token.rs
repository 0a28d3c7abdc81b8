//! Fencing tokens that are raised while starts are in doubt.

#[allow(dead_code)]
mod fleet;
#[allow(dead_code, unused_imports)]
mod world;

use base::Size;
use fleet::{Fleet, Sent};
use job::{Spec, Step};
use port::{Outcome, Poll, Refusal, Start, Stop, Throttle, WorkerError};
use world::FakeWorker;

fn step() -> Step {
    let size = Size { cpu: 1_000, memory: 100, accel: 0 };
    Step { count: 1, size, estimate: 1_000, ..Step::default() }
}

fn spec() -> Spec {
    Spec { text: "t".into(), steps: vec![step()], repeat: None }
}

fn in_doubt<T>() -> Result<T, WorkerError> {
    Err(WorkerError::InDoubt("timeout".into()))
}

fn fenced<T>() -> Result<T, WorkerError> {
    Err(WorkerError::Refused(Refusal::Fence, None))
}

/// Returns a fleet of one worker with the start of the only task of job `a`.
fn fleet_with_start() -> (Fleet, Sent) {
    let mut fleet = Fleet::open(1);
    fleet.accept("a", spec());
    let start = fleet.starts().remove(0);
    (fleet, start)
}

/// Guards against a task that runs again after its acknowledged completion: the next incarnation
/// of a worker carried out a start in doubt, although the leader had polled it.
#[test]
fn a_start_in_doubt_is_refused_by_an_incarnation_that_has_been_polled() {
    struct Case {
        name: &'static str,
        /// What the leader learns of the start.
        news: fn(&mut Fleet, &Sent),
        refused: bool,
    }
    let cases = [
        Case { name: "no news", news: |_, _| {}, refused: false },
        Case {
            name: "in doubt",
            news: |fleet, sent| fleet.reply_start(sent, in_doubt()),
            refused: true,
        },
        Case {
            name: "in doubt once its run is gone",
            news: |fleet, sent| {
                fleet.cancel("a");
                fleet.store();
                fleet.commands();
                fleet.reply_stop(sent, Ok(1));
                fleet.advance(10);
                fleet.list(&sent.0, &[], &[]);
                assert!(fleet.lead.workers[&sent.0].runs.is_empty());
                fleet.reply_start(sent, in_doubt());
            },
            refused: true,
        },
        Case {
            name: "in doubt, before its worker was forgotten",
            news: |fleet, sent| {
                fleet.reply_start(sent, in_doubt());
                fleet.cancel("a");
                fleet.store();
                fleet.commands();
                fleet.reply_stop(sent, Ok(1));
                fleet.advance(10);
                fleet.list(&sent.0, &[], &[]);
                fleet.unlist(&sent.0);
                while !fleet.lead.workers.is_empty() {
                    fleet.advance(100);
                    fleet.commands();
                }
                fleet.lead.on_worker_info(fleet::info("w0"), fleet::NOW);
            },
            refused: true,
        },
        Case {
            name: "its leader has a successor",
            news: |fleet, _| fleet.take_over(),
            refused: true,
        },
    ];
    for case in cases {
        let (mut fleet, sent) = fleet_with_start();
        (case.news)(&mut fleet, &sent);
        let mut worker = FakeWorker::open(0, "s", 4_000);
        let now = fleet.now();
        worker.poll(&fleet.poll(&sent.0), now).expect("the highest token so far");
        let late = worker.start(Start { deadline: 2 * now, ..sent.1 }, &step(), false, now);
        assert_eq!(late.is_err(), case.refused, "{}: {late:?}", case.name);
    }
}

/// Returns a fleet of one worker that has listed the completion of a task, and the poll that
/// acknowledges it.
fn fleet_with_ack() -> (Fleet, Poll) {
    let (mut fleet, sent) = fleet_with_start();
    fleet.reply_start(&sent, Ok(1));
    fleet.advance(10);
    fleet.list("w0", &[], &[(1, &sent.1, Outcome::Done)]);
    fleet.store();
    let poll = fleet.poll("w0");
    assert_eq!(poll.acked, 1);
    (fleet, poll)
}

/// Guards against completions that a worker forgets before it has listed them, so that done tasks
/// run again: a poll without a reply acknowledged the numbers of its earlier incarnation.
#[test]
fn an_acknowledgement_in_doubt_is_refused_by_an_incarnation_that_has_got_a_start() {
    struct Case {
        name: &'static str,
        /// What the leader learns of the poll and of the restart.
        news: fn(&mut Fleet),
    }
    let cases = [
        Case {
            name: "in doubt, then listed by the next incarnation",
            news: |fleet| {
                fleet.fail_poll("w0");
                fleet.advance(10);
                fleet.list_since("w0", fleet.now(), 2, &[]);
            },
        },
        Case {
            name: "in doubt through a relay",
            news: |fleet| {
                fleet.fail_relayed_poll("w0", fleet.now() + 5_000);
                fleet.advance(10);
                fleet.list_since("w0", fleet.now(), 2, &[]);
            },
        },
        Case {
            name: "on its way while the record tells of the restart",
            news: |fleet| {
                fleet.advance(10);
                fleet.restart("w0", 2);
                fleet.advance(10);
                fleet.list_since("w0", fleet.now(), 2, &[]);
            },
        },
        Case {
            name: "on its way while another poll shows the restart",
            news: |fleet| {
                fleet.advance(10);
                fleet.list_since("w0", fleet.now(), 2, &[]);
            },
        },
    ];
    for case in cases {
        let (mut fleet, late) = fleet_with_ack();
        (case.news)(&mut fleet);
        fleet.store();
        fleet.accept("b", spec());
        let start = fleet.starts().remove(0).1;
        let mut worker = FakeWorker::open(0, "s", 4_000);
        let now = fleet.now();
        worker.start(Start { deadline: 2 * now, ..start }, &step(), false, now).expect("it starts");
        assert!(worker.poll(&late, now).is_err(), "{}: it acknowledges {}", case.name, late.acked);
    }
}

/// Guards against a run that goes on at a speed limit that was lifted: the command that set the limit
/// got no reply and was carried out after the one that lifted it.
#[test]
fn a_speed_limit_in_doubt_is_refused_after_a_later_one() {
    let (mut fleet, sent) = fleet_with_start();
    let token = fleet.token("w0");
    let throttle = Throttle { task: sent.1.task.clone(), run: sent.1.run, percent: 20, token };
    let time = fleet.time();
    fleet.lead.on_throttle(&"w0".into(), &throttle, in_doubt(), time);
    assert!(fleet.token("w0") > token, "the next command has a higher token");
}

/// Guards against tokens that are raised for each of many requests which get no reply together.
#[test]
fn requests_in_doubt_that_are_fenced_off_already_raise_no_token() {
    let (mut fleet, sent) = fleet_with_start();
    fleet.reply_start(&sent, in_doubt());
    let raised = fleet.token("w0");
    let time = fleet.time();
    let old = sent.1.token;
    fleet.lead.on_poll(&"w0".into(), old, time.mono, in_doubt(), time);
    assert_eq!(fleet.token("w0"), raised);
    fleet.lead.on_poll(&"w0".into(), raised, time.mono, in_doubt(), time);
    assert!(fleet.token("w0") > raised);
}

/// Guards against a leader that takes the refusal of a token that it has raised itself for a sign
/// of its successor.
#[test]
fn only_the_refusal_of_the_newest_token_deposes_the_leader() {
    struct Case {
        name: &'static str,
        /// Lets a command with the token of the fleet be refused.
        refuse: fn(&mut Fleet, &Sent),
    }
    let cases = [
        Case { name: "start", refuse: |fleet, sent| fleet.reply_start(sent, fenced()) },
        Case {
            name: "stop",
            refuse: |fleet, sent| {
                fleet.cancel("a");
                fleet.store();
                fleet.commands();
                fleet.reply_stop(sent, fenced());
            },
        },
        Case {
            name: "poll",
            refuse: |fleet, sent| {
                let time = base::Now { mono: fleet.now(), ..fleet::NOW };
                fleet.lead.on_poll(&sent.0, sent.1.token, time.mono, fenced(), time);
            },
        },
    ];
    for case in cases {
        for raised in [false, true] {
            let (mut fleet, sent) = fleet_with_start();
            if raised {
                fleet.accept("b", spec());
                let other = fleet.starts().remove(0);
                fleet.reply_start(&other, in_doubt());
            }
            (case.refuse)(&mut fleet, &sent);
            assert_eq!(fleet.lead.deposed.is_none(), raised, "{}, raised: {raised}", case.name);
        }
    }
}

/// Guards against a task that waits for ever, or counts as in doubt: its start was refused for a
/// token that the leader had raised meanwhile.
#[test]
fn a_command_refused_for_a_raised_token_is_issued_again_with_the_newest() {
    let (mut fleet, sent) = fleet_with_start();
    fleet.accept("b", spec());
    let other = fleet.starts().remove(0);
    fleet.reply_start(&other, in_doubt());
    fleet.reply_start(&sent, fenced());
    assert_eq!(fleet.lead.starts_in_doubt(&sent.0), 1);
    fleet.advance(100);
    fleet.list(&sent.0, &[], &[]);
    let mut starts = fleet.starts();
    starts.retain(|(_, start)| start.task == sent.1.task);
    let again = starts.remove(0);
    assert!(again.1.token > sent.1.token);
    assert_eq!(again.1.token, fleet.token(&sent.0));
    fleet.cancel("a");
    fleet.store();
    fleet.commands();
    fleet.reply_stop(&sent_with(&again, sent.1.token), fenced());
    let stops: Vec<Stop> = fleet.stops().into_iter().filter(|s| s.run == again.1.run).collect();
    let tokens: Vec<u64> = stops.iter().map(|stop| stop.token).collect();
    assert_eq!(tokens, [fleet.token(&sent.0)]);
}

fn sent_with(sent: &Sent, token: u64) -> Sent {
    (sent.0.clone(), Start { token, ..sent.1.clone() })
}
