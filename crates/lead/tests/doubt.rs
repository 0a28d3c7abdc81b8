//! Starts to workers that may have restarted without the leader's knowledge. A deadline on the clock
//! of the earlier incarnation gives the longest lease.

#[allow(dead_code)]
mod fleet;
#[allow(dead_code, unused_imports)]
mod world;

use base::{Millis, Size};
use fleet::{Fleet, Sent, info};
use job::{Spec, State, Step};
use lead::Command;
use port::{Outcome, Poll, Refusal, Start, WorkerError, WorkerInfo};
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

/// Returns the starts that the fleet issues within `ms`, while each worker but `silent` lists what it
/// has.
fn starts_within(fleet: &mut Fleet, ms: Millis, silent: Option<&str>) -> Vec<Sent> {
    let mut starts = Vec::new();
    let end = fleet.now() + ms;
    while fleet.now() < end {
        fleet.advance(50);
        for id in ["w0", "w1"] {
            match silent == Some(id) {
                // A worker that was replaced is forgotten.
                true if fleet.lead.workers.contains_key(id) => fleet.fail_poll(id),
                true => {}
                false => fleet.list_known(id),
            }
        }
        fleet.store();
        starts.extend(fleet.starts());
    }
    starts
}

fn in_doubt<T>() -> Result<T, WorkerError> {
    Err(WorkerError::InDoubt("timeout".into()))
}

/// Returns a fleet of two workers with a start that got no reply.
fn fleet_with_doubt(step: Step) -> (Fleet, Sent) {
    let mut fleet = Fleet::open(2);
    fleet.accept("a", Spec { text: "t".into(), steps: vec![step], repeat: None });
    let sent = fleet.starts().remove(0);
    fleet.advance(700);
    fleet.reply_start(&sent, in_doubt());
    (fleet, sent)
}

/// Guards against a done task that runs again, and against one that waits for the time in which a
/// command may be late: a start without a reply was stopped, and the task started elsewhere, while
/// the next incarnation of the worker could still carry out the first start.
#[test]
fn a_start_in_doubt_is_sent_again_as_the_same_run_to_the_same_worker() {
    let (mut fleet, sent) = fleet_with_doubt(step());
    assert!(fleet.starts().is_empty(), "its next list tells first");
    fleet.advance(10);
    fleet.list(&sent.0, &[], &[]);
    let again = fleet.starts();
    assert_eq!(again.len(), 1);
    assert_eq!((&again[0].0, again[0].1.run), (&sent.0, sent.1.run));
    assert!(again[0].1.token > sent.1.token);
    fleet.reply_start(&again[0], Ok(1));
    assert!(starts_within(&mut fleet, 1_000, None).is_empty(), "it runs");
}

/// Guards against a run that is taken for lost: its first start was carried out, and the second one
/// refused since it had ended.
#[test]
fn a_refusal_of_the_second_start_means_that_the_first_was_carried_out() {
    let (mut fleet, sent) = fleet_with_doubt(step());
    fleet.advance(10);
    fleet.list(&sent.0, &[], &[]);
    let again = fleet.starts().remove(0);
    fleet.reply_start(&again, Err(WorkerError::Refused(Refusal::Old, Some(fleet.now()))));
    assert!(fleet.starts().is_empty(), "the next list has its end");
    fleet.advance(10);
    fleet.list(&sent.0, &[], &[(1, &sent.1, Outcome::Done)]);
    fleet.store();
    assert_eq!(fleet.lead.state("a"), Some(State::Completed));
    assert!(fleet.starts().is_empty());
}

/// Guards against two runs of a task: its worker was lost, and the task started elsewhere, while the
/// worker's next incarnation could still carry out a start in doubt.
#[test]
fn a_task_stays_on_its_worker_while_a_start_in_doubt_may_arrive() {
    struct Case {
        name: &'static str,
        /// Whether the start is sent again and confirmed before the worker is lost.
        resent: bool,
        /// Whether the next leader has taken over by then.
        taken_over: bool,
    }
    let cases = [
        Case { name: "in doubt", resent: false, taken_over: false },
        Case { name: "sent again", resent: true, taken_over: false },
        Case { name: "sent again, by the next leader", resent: true, taken_over: true },
    ];
    for case in cases {
        let (mut fleet, sent) = fleet_with_doubt(step());
        let sent_at = fleet.now() - 700;
        if case.resent {
            fleet.advance(10);
            fleet.list(&sent.0, &[], &[]);
            let again = fleet.starts().remove(0);
            fleet.reply_start(&again, Ok(1));
        }
        fleet.store();
        if case.taken_over {
            fleet.take_over();
            for id in ["w0", "w1"] {
                fleet.lead.on_worker_info(info(id), fleet.time());
            }
            fleet.list(other(&sent), &[], &[]);
            fleet.store();
        }
        let until = sent_at + 12_000 - fleet.now();
        let starts = starts_within(&mut fleet, until, Some(&sent.0));
        assert!(starts.is_empty(), "{}: {starts:?}", case.name);
        let starts = starts_within(&mut fleet, 8_000, Some(&sent.0));
        assert_eq!(starts.len(), 1, "{}: it has waited for long enough", case.name);
    }
}

/// Guards against long-running tasks that are down for as long as a command may be late.
#[test]
fn a_long_running_task_of_a_lost_worker_does_not_wait_for_a_late_start() {
    let (mut fleet, sent) = fleet_with_doubt(Step { long_running: true, ..step() });
    let sent_at = fleet.now() - 700;
    let starts = starts_within(&mut fleet, 8_000, Some(&sent.0));
    assert_eq!(starts.len(), 1, "{starts:?}");
    assert!(fleet.now() < sent_at + 10_000);
}

/// Guards against a task that waits anew under each leader, since each one counted a start in doubt
/// from its own claim.
#[test]
fn a_start_in_doubt_ages_over_takeovers() {
    let (mut fleet, sent) = fleet_with_doubt(step());
    let sent_at = fleet.now() - 700;
    fleet.store();
    for _ in 0..3 {
        fleet.advance(4_000);
        fleet.take_over();
        for id in ["w0", "w1"] {
            fleet.lead.on_worker_info(info(id), fleet.time());
        }
        fleet.list(other(&sent), &[], &[]);
        fleet.store();
    }
    assert!(fleet.starts().is_empty(), "12.7 s after it was sent");
    starts_within(&mut fleet, 8_000, Some(&sent.0));
    let run = fleet.lead.workers[other(&sent)].runs.values().next().expect("it runs elsewhere");
    assert!(run.started_at < sent_at + 20_000, "started {} ms after", run.started_at - sent_at);
}

/// Guards against a suspect that waits for the time in which a start may be late, although its worker is
/// back.
#[test]
fn a_suspect_starts_on_its_worker_while_a_start_in_doubt_may_arrive() {
    let (mut fleet, sent) = fleet_with_doubt(step());
    fleet.advance(300);
    fleet.restart(&sent.0, 2);
    fleet.advance(10);
    fleet.list_since(&sent.0, fleet.now(), 2, &[]);
    fleet.store();
    let mut starts = Vec::new();
    for _ in 0..40 {
        for command in fleet.commands() {
            match command {
                Command::Start(worker, start) => starts.push((worker.id, start.run)),
                Command::Stop(worker, stop) => fleet.confirm_stop(&worker.id, &stop),
                _ => {}
            }
        }
        fleet.advance(50);
        fleet.list_since(&sent.0, fleet.now(), 2, &[]);
        fleet.list(other(&sent), &[], &[]);
        fleet.store();
    }
    assert!(starts.iter().any(|(id, run)| *id == sent.0 && *run > sent.1.run), "{starts:?}");
    assert!(starts.iter().all(|(id, _)| *id == sent.0), "{starts:?}");
}

/// Guards against a task that waits for a worker of which no incarnation can come: another worker has its
/// address and refuses what was meant for it.
#[test]
fn a_task_does_not_stay_on_a_worker_that_was_replaced() {
    let (mut fleet, sent) = fleet_with_doubt(step());
    let sent_at = fleet.now() - 700;
    let replaced = info(&sent.0);
    let other = WorkerInfo { id: "w2".into(), incarnation: 2, ..replaced };
    fleet.lead.on_worker_info(other, fleet.time());
    fleet.unlist(&sent.0);
    let starts = starts_within(&mut fleet, 8_000, Some(&sent.0));
    assert_eq!(starts.len(), 1, "{starts:?}");
    assert!(fleet.now() < sent_at + 10_000);
}

/// Guards against a start after a noted end: the end of a task was acknowledged, and its worker's next
/// incarnation carried out a start in doubt.
#[test]
fn an_end_is_not_acknowledged_while_a_start_of_its_task_may_arrive() {
    struct Case {
        name: &'static str,
        step: Step,
        outcome: Outcome,
        /// Whether the start is sent again, so that the first one may still arrive.
        resent: bool,
        taken_over: bool,
        held: bool,
    }
    let case = Case {
        name: "done",
        step: step(),
        outcome: Outcome::Done,
        resent: true,
        taken_over: false,
        held: true,
    };
    let cases = [
        Case { step: step(), ..case },
        Case { name: "failed", outcome: Outcome::Failed, step: step(), ..case },
        Case { name: "done, then a takeover", taken_over: true, step: step(), ..case },
        Case { name: "lapsed", outcome: Outcome::Lapsed, held: false, step: step(), ..case },
        Case { name: "carried out, the reply lost", resent: false, held: false, ..case },
    ];
    for case in cases {
        let (mut fleet, sent) = fleet_with_doubt(case.step);
        let sent_at = fleet.now() - 700;
        fleet.advance(10);
        if case.resent {
            fleet.list(&sent.0, &[], &[]);
            let again = fleet.starts().remove(0);
            fleet.reply_start(&again, Ok(1));
            fleet.advance(10);
        } else {
            fleet.list(&sent.0, &[(&sent.1, 0)], &[]);
        }
        let ends = [(1, &sent.1, case.outcome)];
        fleet.list(&sent.0, &[], &ends);
        fleet.store();
        if case.taken_over {
            fleet.take_over();
            fleet.meet_all();
            fleet.list(&sent.0, &[], &ends);
            fleet.store();
        }
        let acked = fleet.poll(&sent.0).acked;
        assert_eq!(acked, u64::from(!case.held), "{}", case.name);
        fleet.advance(sent_at + 12_000 - fleet.now());
        fleet.list(&sent.0, &[], &ends);
        assert_eq!(fleet.poll(&sent.0).acked, acked, "{}: 12 s later", case.name);
        fleet.advance(3_000);
        fleet.list(&sent.0, &[], &ends);
        assert_eq!(fleet.poll(&sent.0).acked, 1, "{}: too old to arrive", case.name);
    }
}

/// Guards against starts in doubt that keep workers from listing ends: no more than a list has are
/// placed on a worker whose ends may not be acknowledged.
#[test]
fn a_worker_gets_no_more_tasks_than_it_can_list_while_ends_wait() {
    let (mut fleet, sent) = fleet_with_doubt(tiny(1));
    fleet.advance(10);
    fleet.list(&sent.0, &[], &[]);
    let mut here = fleet.start_waiting();
    assert_eq!(here.len(), 1, "sent again");
    fleet.accept("b", Spec { text: "t".into(), steps: vec![tiny(700)], repeat: None });
    here.extend(fleet.start_waiting().into_iter().filter(|(id, _)| *id == sent.0));
    let ends: Vec<(u64, &Start, Outcome)> =
        here.iter().zip(1..).map(|((_, start), number)| (number, start, Outcome::Done)).collect();
    fleet.advance(10);
    fleet.list(&sent.0, &[], &ends);
    fleet.accept("c", Spec { text: "t".into(), steps: vec![tiny(1_400)], repeat: None });
    let more = fleet.start_waiting();
    let (ended, more) = (ends.len(), more.iter().filter(|(id, _)| *id == sent.0).count());
    assert!(more > 0 && ended + more <= 500, "{ended} have ended and {more} were started");
}

/// Returns a step of which a worker can hold hundreds of tasks.
fn tiny(count: u32) -> Step {
    Step { count, size: Size { cpu: 4, memory: 1, accel: 0 }, ..step() }
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
