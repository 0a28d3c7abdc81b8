//! Restarts of workers that keep their identifier.

#[allow(dead_code)]
mod fleet;

use base::{Millis, Size};
use fleet::{Fleet, NOW, Sent, info, link::Link};
use job::{Spec, Step};
use lead::Command;
use port::{Outcome, Refusal, WorkerError, WorkerInfo};

/// Incarnation of a worker after its restart.
const RESTARTED: u64 = 2;

fn spec(count: u32) -> Spec {
    with_gang(count, false)
}

fn with_gang(count: u32, gang: bool) -> Spec {
    let size = Size { cpu: 1_000, memory: 100, accel: 0 };
    let step = Step { count, size, estimate: 1_000, gang, ..Step::default() };
    Spec { text: "t".into(), steps: vec![step], repeat: None }
}

/// Returns a fleet of two workers, one of which has confirmed the start of the only task.
fn fleet_with_run() -> (Fleet, Sent) {
    let mut fleet = Fleet::open(2);
    fleet.accept("a", spec(1));
    let start = fleet.starts().remove(0);
    fleet.reply_start(&start, Ok(1));
    (fleet, start)
}

/// Guards against two runs of a task: a worker that had restarted confirmed a start, the leader
/// learned of the restart afterwards, took the run for one of the earlier incarnation, and
/// started the task elsewhere.
#[test]
fn a_run_confirmed_before_the_restart_is_known_is_not_started_elsewhere() {
    struct Case<'a> {
        name: &'a str,
        /// Whether the run is being stopped, which the worker has confirmed.
        stopped: bool,
        /// How the leader learns of the restart.
        news: &'a dyn Fn(&mut Fleet, &Sent),
    }
    let by_record = |fleet: &mut Fleet, sent: &Sent| fleet.restart(&sent.0, RESTARTED);
    // The list was made before the worker started the run.
    let by_list = |fleet: &mut Fleet, sent: &Sent| {
        let sent_at = fleet.now() - 1_000;
        fleet.list_since(&sent.0, sent_at, RESTARTED, &[]);
    };
    let cases = [
        Case { name: "running, by its record", stopped: false, news: &by_record },
        Case { name: "running, by an earlier list", stopped: false, news: &by_list },
        Case { name: "stopping, by its record", stopped: true, news: &by_record },
        Case { name: "stopping, by an earlier list", stopped: true, news: &by_list },
    ];
    for case in cases {
        let (mut fleet, sent) = fleet_with_run();
        if case.stopped {
            fleet.leave(&sent.0);
            assert_eq!(fleet.stops().len(), 1, "{}", case.name);
            fleet.reply_stop(&sent, Ok(1));
        }
        fleet.advance(10);
        (case.news)(&mut fleet, &sent);
        fleet.store();
        assert!(fleet.starts().is_empty(), "{}: it may run on the worker", case.name);
        let now = fleet.now();
        fleet.list_since(&sent.0, now, RESTARTED, &[&sent.1]);
        fleet.store();
        assert!(fleet.starts().is_empty(), "{}: it runs on the worker", case.name);
        fleet.advance(10);
        let now = fleet.now();
        fleet.list_since(&sent.0, now, RESTARTED, &[]);
        fleet.store();
        assert_eq!(fleet.starts().len(), 1, "{}: it does not run there any more", case.name);
    }
}

/// Waiting for the next list would delay the tasks of every worker that restarts.
#[test]
fn a_run_listed_by_the_earlier_incarnation_is_started_again_at_once() {
    let (mut fleet, sent) = fleet_with_run();
    fleet.advance(10);
    fleet.list_known(&sent.0);
    fleet.restart(&sent.0, RESTARTED);
    fleet.store();
    assert_eq!(fleet.starts().len(), 1);
}

/// Guards against a task that waits for ever, as the worker does not come back to list its runs,
/// and against one that starts elsewhere while a lease may last that was granted on the clock of
/// the earlier incarnation.
#[test]
fn a_run_in_doubt_after_a_restart_is_started_again_once_its_lease_has_expired() {
    struct Case {
        name: &'static str,
        /// How the leader learns of the restart.
        news: fn(&mut Fleet, &Sent),
    }
    let cases = [
        Case { name: "by its record", news: |fleet, sent| fleet.restart(&sent.0, RESTARTED) },
        Case { name: "by its clock", news: |fleet, sent| fleet.reply_start_at(sent, 40) },
        Case {
            name: "a relay renews with the earlier clock",
            news: |fleet, sent| {
                fleet.restart(&sent.0, RESTARTED);
                let deadline = fleet.now() + 5_000;
                fleet.fail_relayed_poll(&sent.0, deadline);
            },
        },
    ];
    for case in cases {
        let (mut fleet, sent) = fleet_with_run();
        let other = if &*sent.0 == "w0" { "w1" } else { "w0" };
        fleet.advance(2_000);
        (case.news)(&mut fleet, &sent);
        fleet.store();
        let restarted_at = fleet.now();
        let mut started = None;
        while started.is_none() && fleet.now() < restarted_at + 20_000 {
            fleet.advance(100);
            fleet.list(other, &[], &[]);
            fleet.fail_poll(&sent.0);
            started = (!fleet.starts().is_empty()).then(|| fleet.now() - restarted_at);
        }
        let started = started.unwrap_or_else(|| panic!("{}: never started again", case.name));
        // A poll in flight, then the longest lease on a clock that runs 2 % slow.
        assert!((11_200..12_000).contains(&started), "{}: after {started} ms", case.name);
    }
}

/// Guards against the longest lease, of which a next leader may not know: a worker that had failed to
/// reply was sent a renewal on the clock of its earlier incarnation.
#[test]
fn a_worker_that_may_have_restarted_is_granted_no_lease() {
    let (mut fleet, sent) = fleet_with_run();
    fleet.list(&sent.0, &[(&sent.1, 0)], &[]);
    assert!(fleet.poll(&sent.0).deadline.is_some(), "it replies");
    fleet.fail_poll(&sent.0);
    fleet.advance(10);
    assert_eq!(fleet.poll(&sent.0).deadline, None, "it did not reply to a poll");
    fleet.list(&sent.0, &[(&sent.1, 0)], &[]);
    assert!(fleet.poll(&sent.0).deadline.is_some(), "it has listed its runs since");
}

/// Guards against a completion that is lost: the number to acknowledge was that of an earlier
/// incarnation, and the worker forgot completions that it had never listed.
#[test]
fn a_worker_that_may_have_restarted_is_sent_no_acknowledgement() {
    struct Case {
        name: &'static str,
        event: fn(&mut Fleet, &Sent),
        acked: u64,
    }
    let cases = [
        Case { name: "it replies", event: |_, _| {}, acked: 7 },
        Case {
            name: "it did not reply to a poll",
            event: |fleet, sent| fleet.fail_poll(&sent.0),
            acked: 0,
        },
        Case {
            name: "its clock has started anew",
            event: |fleet, sent| fleet.reply_start_at(sent, 40),
            acked: 0,
        },
        Case {
            name: "its clock runs slow",
            event: |fleet, sent| fleet.reply_start_at(sent, fleet.now() - 150),
            acked: 7,
        },
        Case {
            name: "its replies through a relay come late",
            event: |fleet, sent| fleet.reply_start_at(sent, fleet.now() - 600),
            acked: 7,
        },
        Case {
            name: "a start is in doubt",
            event: |fleet, sent| {
                fleet.reply_start(sent, Err(WorkerError::InDoubt("timeout".into())));
            },
            acked: 0,
        },
        Case {
            name: "its relay is lost, which may have seen it restart",
            event: |fleet, sent| fleet.lose_relay(&sent.0),
            acked: 0,
        },
        Case {
            name: "a stop is confirmed with a clock that has started anew",
            event: |fleet, sent| fleet.reply_stop_at(sent, 40),
            acked: 0,
        },
        Case {
            name: "a list requested before the doubt arrives after it",
            event: |fleet, sent| {
                let before = fleet.now() - 400;
                fleet.reply_start_at(sent, 40);
                fleet.list_since(&sent.0, before, 1, &[&sent.1]);
            },
            acked: 0,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::open(1);
        fleet.accept("a", spec(1));
        let first = fleet.starts().remove(0);
        fleet.reply_start(&first, Ok(1));
        fleet.list("w0", &[], &[(7, &first.1, Outcome::Done)]);
        fleet.accept("b", spec(1));
        let second = fleet.starts().remove(0);
        assert_eq!(fleet.poll("w0").acked, 7, "{}", case.name);
        fleet.advance(2_000);
        (case.event)(&mut fleet, &second);
        assert_eq!(fleet.poll("w0").acked, case.acked, "{}", case.name);
        fleet.advance(10);
        fleet.list("w0", &[(&second.1, 0)], &[]);
        assert_eq!(fleet.poll("w0").acked, 7, "{}: it has listed its runs again", case.name);
    }
}

/// Guards against tasks that are queued twice, of which a gang waits for ever: they were queued
/// when a restart showed that an unconfirmed start might still be carried out.
#[test]
fn tasks_whose_starts_may_still_be_carried_out_are_queued_once() {
    struct Case {
        name: &'static str,
        gang: bool,
    }
    let cases = [Case { name: "single tasks", gang: false }, Case { name: "a gang", gang: true }];
    for case in cases {
        let mut fleet = Fleet::open(1);
        fleet.accept("a", with_gang(2, case.gang));
        let starts = fleet.starts();
        for sent in &starts {
            fleet.reply_start(sent, Err(WorkerError::InDoubt("timeout".into())));
        }
        fleet.commands();
        settle(&mut fleet, &starts, 1);
        // The tasks are queued when the restart becomes known, and settled before the next tick.
        fleet.restart("w0", RESTARTED);
        settle(&mut fleet, &starts, RESTARTED);
        fleet.store();
        assert_eq!(fleet.starts().len(), 2, "{}", case.name);
    }
}

/// Confirms the stop commands of all runs and lists none.
fn settle(fleet: &mut Fleet, starts: &[Sent], incarnation: u64) {
    for sent in starts {
        fleet.reply_stop(sent, Ok(1));
    }
    fleet.advance(10);
    let now = fleet.now();
    fleet.list_since("w0", now, incarnation, &[]);
}

/// Guards against two runs of a task: a run that the leader had given up was found on its worker
/// while the task was queued, and the task was started elsewhere before that run had ended.
#[test]
fn a_queued_task_waits_for_the_end_of_a_run_that_is_found() {
    let mut fleet = Fleet::open(2);
    fleet.accept("a", spec(1));
    let sent = fleet.starts().remove(0);
    fleet.reply_start(&sent, Err(WorkerError::Unsent("refused".into())));
    fleet.list(&sent.0, &[(&sent.1, 0)], &[]);
    assert!(fleet.starts().is_empty(), "the run found is being stopped");
    fleet.list(&sent.0, &[], &[(1, &sent.1, Outcome::Stopped)]);
    fleet.store();
    assert_eq!(fleet.starts().len(), 1);
}

/// Guards against two runs of a task: a run that was kept over a restart hid an earlier start of
/// its task, which could still be carried out when that run turned out to be gone.
#[test]
fn a_kept_run_does_not_hide_an_earlier_start_in_doubt() {
    let mut fleet = Fleet::open(1);
    fleet.accept("a", spec(1));
    let first = fleet.starts();
    fleet.reply_start(&first[0], Err(WorkerError::InDoubt("timeout".into())));
    fleet.commands();
    settle(&mut fleet, &first, 1);
    let second = fleet.starts().remove(0);
    fleet.reply_start(&second, Ok(1));
    fleet.advance(100);
    fleet.restart("w0", RESTARTED);
    fleet.store();
    assert!(fleet.starts().is_empty());
    let now = fleet.now();
    fleet.list_since("w0", now, RESTARTED, &[]);
    assert!(fleet.starts().is_empty(), "the first start may still be carried out");
    settle(&mut fleet, &first, RESTARTED);
    assert_eq!(fleet.starts().len(), 1);
}

/// Guards against two runs of a task: the earlier incarnation's confirmation of a stop arrived after
/// the restart was known, and was taken for the new one's, which could still carry out the start.
#[test]
fn a_stop_confirmed_by_the_earlier_incarnation_does_not_count_for_the_new_one() {
    struct Case {
        name: &'static str,
        /// Whether the task is cancelled, so that the run is being stopped at the restart.
        cancelled: bool,
    }
    let cases =
        [Case { name: "in doubt", cancelled: false }, Case { name: "cancelled", cancelled: true }];
    for case in cases {
        let mut fleet = Fleet::open(2);
        fleet.accept("a", spec(1));
        let sent = fleet.starts().remove(0);
        fleet.reply_start(&sent, Err(WorkerError::InDoubt("timeout".into())));
        if case.cancelled {
            fleet.cancel("a");
        } else {
            // Otherwise the start would be sent again.
            fleet.drain(&sent.0);
        }
        fleet.advance(300);
        assert_eq!(fleet.stops().len(), 1, "{}", case.name);
        fleet.restart(&sent.0, RESTARTED);
        fleet.store();
        fleet.reply_stop(&sent, Ok(1));
        fleet.advance(10);
        let now = fleet.now();
        fleet.list_since(&sent.0, now, RESTARTED, &[]);
        let commands = fleet.commands();
        let is_start = |command: &Command| matches!(command, Command::Start(..));
        let is_stop = |command: &Command| matches!(command, Command::Stop(..));
        assert!(!commands.iter().any(is_start), "{}: it may still be carried out", case.name);
        assert!(commands.iter().any(is_stop), "{}: the new incarnation is told", case.name);
        fleet.reply_stop(&sent, Ok(1));
        fleet.advance(10);
        let now = fleet.now();
        fleet.list_since(&sent.0, now, RESTARTED, &[]);
        assert_eq!(fleet.starts().len(), usize::from(!case.cancelled), "{}", case.name);
    }
}

/// Guards against two runs of a task: two stops of a gang's member were on their way when its worker
/// restarted, and the earlier incarnation's reply to the second counted for the new one.
#[test]
fn the_second_of_two_outdated_confirmations_does_not_count_either() {
    let mut fleet = Fleet::open(2);
    fleet.accept("a", with_gang(2, true));
    let starts = fleet.starts();
    let (first, second) = (&starts[0], &starts[1]);
    fleet.reply_start(first, Err(WorkerError::InDoubt("timeout".into())));
    fleet.drain(&first.0);
    fleet.advance(300);
    assert_eq!(fleet.stops().len(), 1, "the start is followed up");
    fleet.reply_start(second, Err(WorkerError::Refused(Refusal::Room, None)));
    assert_eq!(fleet.stops().len(), 1, "the gang is broken");
    fleet.restart(&first.0, RESTARTED);
    fleet.store();
    fleet.reply_stop(first, Ok(1));
    fleet.reply_stop(first, Ok(1));
    fleet.advance(10);
    let other = if &*first.0 == "w0" { "w1" } else { "w0" };
    for _ in 0..2 {
        let now = fleet.now();
        fleet.list_since(&first.0, now, RESTARTED, &[]);
        fleet.list(other, &[], &[]);
        fleet.advance(300);
    }
    let commands = fleet.commands();
    let is_start = |command: &Command| matches!(command, Command::Start(..));
    assert!(!commands.iter().any(is_start), "it may still be carried out");
    let is_stop = |command: &Command| matches!(command, Command::Stop(..));
    assert!(commands.iter().any(is_stop), "the new incarnation is told");
}

/// Guards against a task that waits for ever: refusals of another worker at the address of a lost
/// one were taken for replies of the lost one.
#[test]
fn a_worker_whose_address_was_taken_over_is_given_up() {
    let (mut fleet, sent) = fleet_with_run();
    let other = if &*sent.0 == "w0" { "w1" } else { "w0" };
    let lost_at = fleet.now();
    let mut started = None;
    while started.is_none() && fleet.now() < lost_at + 20_000 {
        fleet.advance(100);
        fleet.list(other, &[], &[]);
        let clock = fleet.now() - lost_at;
        fleet.refuse_poll(&sent.0, Refusal::OtherLife, clock);
        started = (!fleet.starts().is_empty()).then(|| fleet.now() - lost_at);
    }
    let started = started.expect("started again");
    assert!((5_000..7_500).contains(&started), "started again after {started} ms");
}

/// Guards against two runs of a task: a worker that had left the list was forgotten with the
/// starts that its next incarnation could still carry out.
#[test]
fn a_start_in_doubt_outlives_the_absence_of_its_worker() {
    let mut fleet = Fleet::open(2);
    fleet.accept("a", spec(1));
    let sent = fleet.starts().remove(0);
    let other = if &*sent.0 == "w0" { "w1" } else { "w0" };
    fleet.reply_start(&sent, Err(WorkerError::InDoubt("timeout".into())));
    fleet.unlist(&sent.0);
    while !fleet.lead.workers[&sent.0].runs.is_empty() {
        fleet.advance(100);
        fleet.list(other, &[], &[]);
        fleet.fail_poll(&sent.0);
        assert!(fleet.starts().is_empty(), "it may still be carried out");
    }
    fleet.advance(500);
    fleet.list(other, &[], &[]);
    assert!(fleet.starts().is_empty(), "it may still be carried out");
    fleet.restart(&sent.0, RESTARTED);
    let stops = fleet.stops();
    assert!(stops.iter().any(|stop| stop.run == sent.1.run), "{stops:?}");
}

/// Guards against a worker that is ignored for good: an entry of another writer under its identifier
/// named a start in the far future, and all that the worker said itself was of an earlier one.
#[test]
fn a_start_in_the_far_future_is_not_believed() {
    let (mut fleet, sent) = fleet_with_run();
    for incarnation in [u64::MAX, NOW.unix + 86_400_000] {
        fleet.record(&sent.0, Some(WorkerInfo { incarnation, ..info(&sent.0) }));
        fleet.commands();
    }
    let now = fleet.now();
    fleet.list_since(&sent.0, now, 1, &[&sent.1]);
    assert_eq!(fleet.lead.workers[&sent.0].runs[&sent.1.task].percent, 10);
    fleet.record(&sent.0, Some(info(&sent.0)));
    assert!(fleet.lead.workers[&sent.0].listed);
}

/// Guards against two runs of a task: a worker restarts, holds the longest lease on its earlier
/// clock and is cut off, and a leader that takes over waits for shorter leases only.
#[test]
fn a_new_leader_waits_for_the_leases_of_a_restarted_worker() {
    let (mut fleet, sent) = fleet_with_run();
    let other = if &*sent.0 == "w0" { "w1" } else { "w0" };
    fleet.restart(&sent.0, RESTARTED);
    fleet.store();
    let restarted_at = fleet.now();
    fleet.take_over();
    fleet.restart(&sent.0, RESTARTED);
    fleet.restart(other, 1);
    fleet.store();
    let mut started = None;
    while started.is_none() && fleet.now() < restarted_at + 20_000 {
        fleet.advance(100);
        fleet.list(other, &[], &[]);
        fleet.fail_poll(&sent.0);
        started = (!fleet.starts().is_empty()).then(|| fleet.now() - restarted_at);
    }
    let started = started.expect("started again");
    assert!(started >= 10_200, "started again after {started} ms");
}

/// Guards against the same where the restart became known to the new leader only, by the worker's
/// record, and against a wait for every worker that cannot be reached.
#[test]
fn a_new_leader_waits_as_long_as_the_earlier_one_can_have_granted() {
    struct Case {
        name: &'static str,
        /// What happens before the takeover, and after it.
        before: fn(&mut Fleet, &Sent),
        incarnation: u64,
        /// Time from the takeover until the task is started elsewhere.
        waits: std::ops::Range<u64>,
    }
    let cases = [
        // The decisions of the earlier leader and the lease, on a clock that runs 2 % slow.
        Case {
            name: "no restart",
            before: |_, _| {},
            incarnation: 1,
            waits: (2_000 + 5_000) * 100 / 98..7_500,
        },
        Case {
            name: "a restart that only its record shows",
            before: |_, _| {},
            incarnation: RESTARTED,
            waits: 2_000 + 10_000 * 100 / 98..14_000,
        },
        Case {
            name: "a restart long ago",
            before: |fleet, sent| {
                fleet.restart(&sent.0, RESTARTED);
                fleet.list(&sent.0, &[(&sent.1, 0)], &[]);
                fleet.advance(26_000);
                fleet.commands();
                fleet.store();
            },
            incarnation: RESTARTED,
            waits: (2_000 + 5_000) * 100 / 98..7_500,
        },
    ];
    for case in cases {
        let (mut fleet, sent) = fleet_with_run();
        let other = if &*sent.0 == "w0" { "w1" } else { "w0" };
        (case.before)(&mut fleet, &sent);
        fleet.take_over();
        let taken_over_at = fleet.now();
        fleet.restart(&sent.0, case.incarnation);
        fleet.restart(other, 1);
        fleet.store();
        let mut started = None;
        while started.is_none() && fleet.now() < taken_over_at + 30_000 {
            fleet.advance(50);
            fleet.list(other, &[], &[]);
            fleet.fail_poll(&sent.0);
            started = (!fleet.starts().is_empty()).then(|| fleet.now() - taken_over_at);
        }
        let started = started.unwrap_or_else(|| panic!("{}: never started again", case.name));
        assert!(case.waits.contains(&started), "{}: after {started} ms", case.name);
    }
}

/// Guards against two runs of a task: a relay's times are early, so that a start confirmed
/// through it seems older than a list that the leader had requested before.
#[test]
fn a_start_confirmed_by_a_relay_is_not_missed_by_an_earlier_list() {
    let mut fleet = Fleet::open(2);
    fleet.accept("a", spec(1));
    let sent = fleet.starts().remove(0);
    let polled_at = fleet.now();
    fleet.advance(100);
    fleet.reply_start_early(&sent, 300);
    fleet.list_since(&sent.0, polled_at, 1, &[]);
    assert!(fleet.starts().is_empty(), "the list was requested before the start was confirmed");
}

/// Guards against two runs of a task: the end of its lease was computed from a reading of the
/// worker clock that had come through a relay, and was early by the error of that reading's time.
#[test]
fn a_lease_is_not_taken_as_expired_early_for_a_reading_through_a_relay() {
    struct Case {
        name: &'static str,
        /// Time that the relay's first orders took to arrive.
        transit: Millis,
        /// What happens until the worker is silent for good. Returns the last lease expiry that
        /// it was sent, on its clock, which shows the leader's time.
        events: fn(&mut Fleet, &mut Link, &Sent) -> Millis,
    }
    let silence = |fleet: &mut Fleet, link: &mut Link, sent: &Sent| {
        link.list(fleet, &sent.1);
        link.exchange(fleet);
        let deadline = link.fail(fleet).deadline.expect("the relay renews");
        let silent_at = fleet.now();
        while fleet.now() < silent_at + 2_000 {
            fleet.advance(200);
            assert_eq!(link.fail(fleet).deadline, None);
            link.exchange(fleet);
        }
        deadline
    };
    // A report is held up with the list that follows. The relay is lost, and goes on renewing
    // within its permission; the worker replies to the leader once.
    let loss = |fleet: &mut Fleet, link: &mut Link, sent: &Sent| {
        link.list(fleet, &sent.1);
        let report = link.take_report(fleet);
        link.list(fleet, &sent.1);
        fleet.advance(600);
        link.deliver(fleet, report);
        link.exchange(fleet);
        let lost_at = fleet.now();
        link.close(fleet);
        fleet.list(&sent.0, &[(&sent.1, 0)], &[]);
        let mut last = 0;
        while let Some(deadline) = link.list(fleet, &sent.1).deadline {
            last = deadline;
            fleet.advance(50);
        }
        assert!(fleet.now() > lost_at + 1_400, "the relay renews within its permission");
        fleet.advance(200);
        last
    };
    let cases = [
        Case { name: "the first orders come at once", transit: 0, events: silence },
        Case { name: "the first orders take long", transit: 600, events: silence },
        Case { name: "a list comes late, and the relay is lost", transit: 0, events: loss },
    ];
    for case in cases {
        let (mut fleet, sent) = fleet_with_run();
        let other = if &*sent.0 == "w0" { "w1" } else { "w0" };
        // Leases of an earlier leader have expired.
        fleet.advance(8_000);
        fleet.list(&sent.0, &[(&sent.1, 0)], &[]);
        let mut link = Link::open(&mut fleet, &sent.0, case.transit);
        let silent_at = fleet.now();
        let deadline = (case.events)(&mut fleet, &mut link, &sent);
        let mut started = None;
        while started.is_none() && fleet.now() < silent_at + 20_000 {
            fleet.advance(20);
            fleet.list(other, &[], &[]);
            fleet.fail_poll(&sent.0);
            started = (!fleet.starts().is_empty()).then(|| fleet.now());
        }
        let started = started.unwrap_or_else(|| panic!("{}: never started again", case.name));
        let late = started as i64 - deadline as i64;
        // A clock that runs 2 % slow shows the expiry later.
        assert!((100..1_000).contains(&late), "{}: {late} ms after the expiry", case.name);
    }
}

/// Guards against a second run beside the first one: another writer's entry under a worker's identifier
/// was taken for the worker's restart.
#[test]
fn a_record_of_a_service_that_nobody_names_is_no_restart() {
    struct Case {
        name: &'static str,
        service: &'static str,
        /// Whether the entry is taken for the worker's.
        restarts: bool,
    }
    let cases = [
        Case { name: "of the same service", service: "s", restarts: true },
        Case { name: "of no service", service: "testbed", restarts: false },
    ];
    for Case { name, service, restarts } in cases {
        let (mut fleet, sent) = fleet_with_run();
        fleet.advance(400);
        fleet.list_at(&sent.0, &sent.1, 10);
        let incarnation = fleet.time().unix;
        let entry = WorkerInfo { service: service.into(), incarnation, ..info(&sent.0) };
        fleet.record(&sent.0, Some(entry));
        assert_eq!(fleet.starts().is_empty(), !restarts, "{name}");
        if !restarts {
            assert!(fleet.poll(&sent.0).deadline.is_some(), "{name}: its runs keep their leases");
        }
    }
}
