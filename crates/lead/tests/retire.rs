//! Takeovers after workers that had runs have left.

#[allow(dead_code)]
mod fleet;

use base::{Millis, Size};
use fleet::{Fleet, Sent};
use job::{Spec, Step, TaskId};
use port::{Outcome, WorkerError};

/// Interval between two lists.
const INTERVAL: Millis = 400;
/// Time after which the commands of earlier leaders have ended, and after which all leases have.
const LONG: Millis = 20_000;
/// Longest time for which accepted work may wait beside idle workers.
const MAX_WAIT: Millis = 3_000;

/// A job of which each task takes up a worker.
fn spec(tasks: u32) -> Spec {
    let size = Size { cpu: 4_000, memory: 1, accel: 0 };
    let step = Step { count: tasks, size, estimate: 1_000, ..Step::default() };
    Spec { text: "t".into(), steps: vec![step], repeat: None }
}

/// Opens a fleet of two workers that run the tasks of job "a"; job "b" waits. Returns the run of w1.
fn open() -> (Fleet, Sent) {
    let mut fleet = Fleet::open(2);
    fleet.advance(LONG);
    fleet.list_all();
    fleet.accept("a", spec(2));
    let sent = fleet.start_waiting();
    assert_eq!(sent.len(), 2);
    fleet.accept("b", spec(1));
    let other = sent.into_iter().find(|(worker, _)| &**worker == "w1");
    (fleet, other.expect("a task on each worker"))
}

/// Passes `time` while worker w0 is silent and w1 lists what it runs.
fn pass(fleet: &mut Fleet, time: Millis) -> Vec<Sent> {
    let mut starts = Vec::new();
    for _ in 0..time / INTERVAL {
        fleet.advance(INTERVAL);
        if fleet.lead.workers.contains_key("w0") {
            fleet.fail_poll("w0");
        }
        fleet.list_known("w1");
        starts.extend(fleet.start_waiting());
        fleet.store();
    }
    starts
}

/// Replaces the leader; w1 has ended its run meanwhile.
fn take_over(fleet: &mut Fleet, ended: &Sent) {
    fleet.take_over();
    fleet.repeat_record_of("w1");
    fleet.list("w1", &[], &[(1, &ended.1, Outcome::Done)]);
    fleet.store();
}

/// Guards against work that waits beside idle workers after a takeover: the new leader waited for the
/// list of a worker that had left, until all its leases could have ended.
#[test]
fn tasks_do_not_wait_for_a_worker_that_left_before_a_takeover() {
    struct Case<'a> {
        name: &'a str,
        /// What happens to worker w0, which runs a task.
        leave: &'a dyn Fn(&mut Fleet),
        takeovers: usize,
    }
    let drain = |fleet: &mut Fleet| {
        let incarnation = fleet.lead.workers["w0"].info.incarnation;
        fleet.restart_draining("w0", incarnation);
        fleet.commands();
        fleet.unlist("w0");
    };
    let restart = |fleet: &mut Fleet| {
        fleet.crash("w0");
        fleet.store();
        let again = fleet.starts().remove(0);
        assert_eq!(&*again.0, "w0");
        again
    };
    let cases = [
        Case { name: "drained", leave: &drain, takeovers: 1 },
        Case { name: "drained, two takeovers", leave: &drain, takeovers: 2 },
        Case {
            name: "lost",
            leave: &|fleet| {
                fleet.unlist("w0");
                pass(fleet, 2_800);
            },
            takeovers: 1,
        },
        Case {
            name: "restarted, drained",
            leave: &|fleet| {
                let again = restart(fleet);
                fleet.reply_start(&again, Ok(1));
                drain(fleet);
            },
            takeovers: 1,
        },
        Case {
            name: "restarted, drained with a start in doubt",
            leave: &|fleet| {
                let again = restart(fleet);
                fleet.reply_start(&again, Err(WorkerError::InDoubt("timeout".into())));
                drain(fleet);
            },
            takeovers: 1,
        },
    ];
    for Case { name, leave, takeovers } in cases {
        let (mut fleet, other) = open();
        leave(&mut fleet);
        fleet.commands();
        fleet.store();
        let held: Vec<TaskId> = fleet.lead.workers["w0"].runs.keys().cloned().collect();
        for _ in 0..takeovers {
            take_over(&mut fleet, &other);
        }
        let starts = pass(&mut fleet, MAX_WAIT);
        assert_eq!(starts.len(), 1, "{name}");
        assert!(!held.contains(&starts[0].1.task), "{name}: leases of w0 may be valid");
        fleet.list("w1", &[], &[(2, &starts[0].1, Outcome::Done)]);
        let starts = pass(&mut fleet, LONG);
        let tasks: Vec<TaskId> = starts.into_iter().map(|(_, start)| start.task).collect();
        assert_eq!(tasks, held, "{name}: after the leases have expired");
    }
}

/// Guards against work on a worker of which the next leader believes that it gets none.
#[test]
fn a_worker_that_is_offered_again_gets_work_once_its_record_says_so() {
    struct Case<'a> {
        name: &'a str,
        /// Whether the record is durable before the takeover.
        stored: bool,
        again: &'a dyn Fn(&mut Fleet),
    }
    let cases = [
        Case { name: "listed", stored: true, again: &|fleet| fleet.repeat_record("w0") },
        Case { name: "listed, not stored", stored: false, again: &|f| f.repeat_record("w0") },
        Case { name: "restarted", stored: true, again: &|fleet| fleet.crash("w0") },
        Case { name: "restarted, not stored", stored: false, again: &|fleet| fleet.crash("w0") },
    ];
    for Case { name, stored, again } in cases {
        let (mut fleet, other) = open();
        fleet.unlist("w0");
        pass(&mut fleet, 2_800);
        again(&mut fleet);
        fleet.list("w0", &[], &[]);
        if stored {
            fleet.store();
        }
        let starts = fleet.starts();
        let here = starts.iter().filter(|(worker, _)| &**worker == "w0").count();
        assert_eq!(here, usize::from(stored), "{name}: starts on w0");
        take_over(&mut fleet, &other);
        let expected = usize::from(!stored);
        assert_eq!(pass(&mut fleet, MAX_WAIT).len(), expected, "{name}: starts of the next leader");
    }
}

/// Guards against a stop of the only run of a task: the record of a worker still had an earlier one.
#[test]
fn a_later_run_replaces_one_that_only_a_record_tells_of() {
    let (mut fleet, other) = open();
    fleet.unlist("w0");
    pass(&mut fleet, 2_800);
    let earlier = fleet.records();
    fleet.list("w1", &[], &[(1, &other.1, Outcome::Done)]);
    let next = pass(&mut fleet, MAX_WAIT);
    fleet.list("w1", &[], &[(2, &next[0].1, Outcome::Done)]);
    let moved = pass(&mut fleet, LONG).remove(0);
    assert_eq!(&*moved.1.task.job, "a");
    for (key, value) in earlier.iter().filter(|(key, _)| key.starts_with("w/")) {
        fleet.keep(&port::Record { key: key.clone(), value: value.clone() });
    }
    fleet.take_over();
    fleet.repeat_record_of("w1");
    fleet.list("w1", &[(&moved.1, 0)], &[]);
    assert!(fleet.stops().is_empty());
    fleet.list("w1", &[], &[(3, &moved.1, Outcome::Failed)]);
    assert_eq!(fleet.start_waiting()[0].1.task, moved.1.task);
}
