//! Decisions of the leader on a fleet that keeps still, case by case.

#[allow(dead_code)]
mod fleet;

use base::Size;
use fleet::{Fleet, NOW};
use job::{Spec, State, Step};
use lead::{Order, Submitted};
use port::{End, Refusal, WorkerFault};

fn step(count: u32, cpu: u64) -> Step {
    let size = Size { cpu, memory: 100, accel: 0 };
    Step { count, size, estimate: 1_000, ..Step::default() }
}

fn spec(step: Step) -> Spec {
    Spec { text: "t".into(), steps: vec![step], repeat: None }
}

#[test]
fn tasks_start_where_they_may() {
    struct Case {
        name: &'static str,
        step: Step,
        /// Starts on workers w0, w1 and w2.
        starts: [usize; 3],
    }
    let cases = [
        Case { name: "spread by what is idle", step: step(3, 1_000), starts: [1, 1, 1] },
        Case { name: "no more than fits", step: step(9, 3_000), starts: [1, 1, 1] },
        Case { name: "too large for any", step: step(1, 9_000), starts: [0, 0, 0] },
        Case {
            name: "label",
            step: Step { requires: Some("b".into()), ..step(2, 1_000) },
            starts: [0, 2, 0],
        },
        Case {
            name: "rack with the data",
            step: Step { affinity: Some("r2".into()), ..step(2, 1_000) },
            starts: [0, 0, 2],
        },
        Case {
            name: "one on each worker",
            step: Step { per_worker: 1, ..step(5, 500) },
            starts: [1, 1, 1],
        },
        Case {
            name: "a gang that fits",
            step: Step { gang: true, ..step(3, 3_000) },
            starts: [1, 1, 1],
        },
        Case {
            name: "a gang that does not fit as a whole",
            step: Step { gang: true, ..step(4, 3_000) },
            starts: [0, 0, 0],
        },
        Case {
            name: "a gang in one rack",
            step: Step { gang: true, rack_local: true, ..step(3, 1_000) },
            starts: [3, 0, 0],
        },
    ];
    for case in cases {
        let mut fleet = Fleet::open(3);
        fleet.accept("a", spec(case.step));
        let starts = fleet.starts();
        let on = |id: &str| starts.iter().filter(|(worker, _)| &**worker == id).count();
        assert_eq!([on("w0"), on("w1"), on("w2")], case.starts, "{}", case.name);
    }
}

#[test]
fn members_of_a_gang_share_a_run_and_stop_together() {
    let mut fleet = Fleet::open(3);
    fleet.accept("a", spec(Step { gang: true, ..step(3, 3_000) }));
    let starts = fleet.starts();
    assert!(starts.iter().all(|(_, start)| start.run == starts[0].1.run));
    let refused = Err(WorkerFault::Refused(Refusal::Unhealthy, None));
    fleet.answer_start(&starts[0], refused);
    fleet.answer_start(&starts[1], Ok(1));
    let stops = fleet.stops();
    assert_eq!(stops.len(), 2, "the others would wait alone: {stops:?}");
}

#[test]
fn a_job_runs_only_once_it_is_durable() {
    let mut fleet = Fleet::open(1);
    assert!(matches!(fleet.submit("a", spec(step(1, 100))), Submitted::Waiting(_)));
    assert!(fleet.starts().is_empty());
    assert_eq!(fleet.lead.state("a"), None, "what is not durable is not shown");
    fleet.store();
    assert_eq!(fleet.starts().len(), 1);
    assert_eq!(fleet.submit("a", spec(step(1, 100))), Submitted::Known);
}

#[test]
fn a_job_taken_back_in_time_never_runs() {
    let mut fleet = Fleet::open(1);
    fleet.submit("a", spec(step(1, 100)));
    assert!(fleet.lead.withdraw(&"a".into()));
    fleet.store();
    assert!(fleet.starts().is_empty());
    fleet.submit("b", spec(step(1, 100)));
    let batch = fleet.lead.batch().expect("a batch");
    assert!(!fleet.lead.withdraw(&"b".into()), "it is on its way to the store");
    fleet.lead.on_stored(&batch, NOW);
    assert_eq!(fleet.starts().len(), 1);
}

#[test]
fn a_job_taken_back_is_not_known_to_a_second_try_that_waits() {
    let mut fleet = Fleet::open(1);
    fleet.submit("a", spec(step(1, 100)));
    fleet.submit("b", spec(step(1, 100)));
    let waits = fleet.submit("a", spec(step(1, 100)));
    assert!(fleet.lead.withdraw(&"a".into()));
    fleet.store();
    assert!(matches!(waits, Submitted::Waiting(mark) if mark <= fleet.lead.stored()));
    assert_eq!(fleet.lead.state("a"), None, "so that the second try is not told 200");
}

#[test]
fn a_cancelling_stops_what_runs_once_it_is_durable() {
    let mut fleet = Fleet::open(1);
    fleet.accept("a", spec(step(2, 100)));
    for start in fleet.starts() {
        fleet.answer_start(&start, Ok(1));
    }
    assert!(matches!(fleet.lead.cancel(&"a".into(), NOW), Submitted::Waiting(_)));
    assert!(fleet.stops().is_empty());
    assert_eq!(fleet.lead.state("a"), Some(State::Active));
    fleet.store();
    assert_eq!(fleet.stops().len(), 2);
    assert_eq!(fleet.lead.state("a"), Some(State::Cancelled));
    assert_eq!(fleet.lead.cancel(&"b".into(), NOW), Submitted::NoJob);
}

#[test]
fn what_a_caller_was_told_outlives_the_leader() {
    struct Case {
        name: &'static str,
        end: Option<End>,
        cancel: bool,
        expected: State,
    }
    let cases = [
        Case { name: "waits", end: None, cancel: false, expected: State::Queued },
        Case { name: "done", end: Some(End::Done), cancel: false, expected: State::Completed },
        Case { name: "cancelled", end: None, cancel: true, expected: State::Cancelled },
    ];
    for case in cases {
        let mut fleet = Fleet::open(1);
        fleet.accept("a", spec(step(1, 1_000)));
        if let Some(end) = case.end {
            let sent = fleet.starts().remove(0);
            fleet.answer_start(&sent, Ok(1));
            fleet.list("w0", &[], &[(1, &sent.1, end)]);
        }
        if case.cancel {
            fleet.lead.cancel(&"a".into(), NOW);
        }
        fleet.store();
        fleet.succeed();
        // A change of leader in which the new one decides and makes it durable.
        fleet.orders();
        fleet.store();
        fleet.succeed();
        fleet.orders();
        assert_eq!(fleet.lead.state("a"), Some(case.expected), "{}", case.name);
        assert_eq!(fleet.submit("a", spec(step(1, 1_000))), Submitted::Known, "{}", case.name);
    }
}

#[test]
fn an_end_is_acknowledged_and_shown_only_once_it_is_durable() {
    let mut fleet = Fleet::open(1);
    fleet.accept("a", spec(step(1, 100)));
    let start = fleet.starts().remove(0);
    fleet.answer_start(&start, Ok(1));
    fleet.list("w0", &[], &[(7, &start.1, End::Done)]);
    assert_eq!(fleet.hold("w0").acked, 0);
    assert_eq!(fleet.lead.state("a"), Some(State::Active));
    fleet.store();
    assert_eq!(fleet.hold("w0").acked, 7);
    assert_eq!(fleet.lead.state("a"), Some(State::Completed));
}

#[test]
fn failures_count_up_to_the_queues_attempts() {
    let mut fleet = Fleet::open(2);
    fleet.accept("a", spec(step(1, 100)));
    for attempt in 1..=2 {
        let starts = fleet.starts();
        assert_eq!(starts.len(), 1, "attempt {attempt}");
        fleet.answer_start(&starts[0], Ok(1));
        fleet.list(&starts[0].0, &[], &[(attempt, &starts[0].1, End::Failed)]);
    }
    assert!(fleet.starts().is_empty(), "two attempts are allowed");
    fleet.store();
    assert_eq!(fleet.lead.state("a"), Some(State::Failed));
}

#[test]
fn a_start_in_doubt_is_settled_before_the_task_runs_elsewhere() {
    let mut fleet = Fleet::open(2);
    fleet.accept("a", spec(step(1, 100)));
    let start = fleet.starts().remove(0);
    fleet.answer_start(&start, Err(WorkerFault::InDoubt("timeout".into())));
    fleet.pass(600);
    let orders = fleet.orders();
    let stops = orders.iter().filter(|order| matches!(order, Order::Stop(..))).count();
    let starts = orders.iter().filter(|order| matches!(order, Order::Start(..))).count();
    assert_eq!((stops, starts), (1, 0));
    fleet.answer_stop(&start, Ok(1));
    fleet.pass(10);
    fleet.list(&start.0, &[], &[]);
    assert_eq!(fleet.starts().len(), 1);
}

#[test]
fn a_silent_worker_gives_its_tasks_back_when_its_leases_have_expired() {
    let mut fleet = Fleet::open(2);
    fleet.accept("a", spec(step(1, 100)));
    let start = fleet.starts().remove(0);
    fleet.answer_start(&start, Ok(1));
    let other = if &*start.0 == "w0" { "w1" } else { "w0" };
    let silent = fleet.now();
    let mut restarted = None;
    for _ in 0..90 {
        fleet.pass(100);
        fleet.list(other, &[], &[]);
        // Lists that get no answer must not prolong the leases for ever.
        fleet.no_answer(&start.0);
        if restarted.is_none() && !fleet.starts().is_empty() {
            restarted = Some(fleet.now() - silent);
        }
    }
    let restarted = restarted.expect("restarted");
    assert!((5_000..7_500).contains(&restarted), "restarted after {restarted} ms");
}

/// The pattern: a leader that had no processor time for seconds.
#[test]
fn a_worker_that_was_not_asked_in_time_is_asked_before_its_tasks_run_again() {
    let mut fleet = Fleet::open(1);
    fleet.accept("a", spec(step(1, 100)));
    let start = fleet.starts().remove(0);
    fleet.answer_start(&start, Ok(1));
    fleet.pass(9_000);
    assert!(fleet.starts().is_empty(), "it may have ended, which the worker knows");
    fleet.list("w0", &[], &[(1, &start.1, End::Done)]);
    fleet.store();
    assert_eq!(fleet.lead.state("a"), Some(State::Completed));
}

#[test]
fn a_worker_that_leaves_gets_nothing_new() {
    let mut fleet = Fleet::open(1);
    fleet.drain("w0");
    fleet.accept("a", spec(step(1, 100)));
    assert!(fleet.starts().is_empty());
}

#[test]
fn a_worker_that_leaves_and_has_nothing_is_not_waited_for_by_the_next_leader() {
    let mut fleet = Fleet::open(2);
    fleet.drain("w0");
    fleet.orders();
    let batch = fleet.lead.batch().expect("a batch");
    let dropped: Vec<&str> =
        batch.records.iter().filter(|r| r.value.is_empty()).map(|r| &*r.key).collect();
    assert_eq!(dropped, ["w/w0"]);
}

/// The pattern: a service that lost its worker beside a stream of small urgent jobs.
#[test]
fn tasks_that_last_go_first_however_late_they_are() {
    let mut fleet = Fleet::open(1);
    fleet.accept("s", spec(Step { lasting: true, ..step(1, 4_000) }));
    fleet.run_all();
    for n in 0..3 {
        fleet.accept(&format!("u{n}"), spec(step(1, 1_000)));
    }
    fleet.pass(20_000);
    fleet.list("w0", &[], &[]);
    let starts = fleet.starts();
    assert_eq!(starts.iter().map(|(_, s)| &*s.task.job).collect::<Vec<_>>(), ["s"]);
}

#[test]
fn a_queue_with_a_policy_starts_with_tickets_only() {
    let mut fleet = Fleet::open(3);
    fleet.accept_advised("a", spec(step(2, 1_000)));
    let asked = fleet.orders().into_iter().find_map(|order| match order {
        Order::Ask(step, workers) => Some((step, workers)),
        _ => None,
    });
    let (step, workers) = asked.expect("a question");
    assert_eq!(workers.len(), 3);
    assert!(fleet.starts().is_empty());
    fleet.advise(&step, &workers, &[("w1", "t1")]);
    let starts = fleet.starts();
    let found: Vec<(&str, &str)> = starts.iter().map(|(w, s)| (&**w, &*s.ticket)).collect();
    assert_eq!(found, [("w1", "t1"), ("w1", "t1")]);
}

#[test]
fn a_fence_deposes_the_leader() {
    let mut fleet = Fleet::open(1);
    fleet.accept("a", spec(step(1, 100)));
    let start = fleet.starts().remove(0);
    fleet.answer_start(&start, Err(WorkerFault::Refused(Refusal::Fence, None)));
    assert!(fleet.lead.deposed.is_some());
}

/// The pattern: tasks that serve at their target beside images of which one harms.
#[test]
fn what_harms_is_learned_moved_and_kept_away() {
    let mut fleet = Fleet::open(2);
    let serves = Step { lasting: true, target: 50, image: "web".into(), ..step(2, 1_000) };
    let fills = |image: &str| Step {
        fills: true,
        checkpoints: true,
        image: image.into(),
        ..step(2, 1_000)
    };
    fleet.accept("s", spec(Step { per_worker: 1, ..serves }));
    fleet.run_all();
    for round in 0..60 {
        let (id, image) = if round % 2 == 0 { ("h", "heavy") } else { ("l", "light") };
        fleet.accept(&format!("{id}{round}"), spec(fills(image)));
        fleet.run_all();
        fleet.pass(300);
        fleet.measure(&|beside| if beside.contains("heavy") { 200 } else { 15 });
        fleet.finish_fills();
        fleet.pass(900);
        fleet.measure(&|_| 15);
    }
    let harm = |image: &str| fleet.lead.known_harm(&"web".into(), &image.into());
    assert!(harm("heavy") > 3.0 * harm("light").max(0.2), "{} {}", harm("heavy"), harm("light"));
    fleet.accept("h", spec(fills("heavy")));
    assert!(fleet.starts().is_empty(), "the heavy image would push the service over its target");
    fleet.accept("l", spec(fills("light")));
    assert_eq!(fleet.starts().len(), 2);
}

/// The pattern: small tasks that come while a service misses its target.
#[test]
fn nothing_that_fills_starts_beside_a_service_that_misses_its_target() {
    struct Case {
        name: &'static str,
        /// Tails measured one after the other, against a target of 50.
        tails: &'static [u64],
        starts: usize,
    }
    let cases = [
        Case { name: "well", tails: &[15], starts: 1 },
        Case { name: "missed", tails: &[15, 60], starts: 0 },
        Case { name: "hardly met again", tails: &[15, 60, 48], starts: 0 },
        Case { name: "met again", tails: &[15, 60, 20], starts: 1 },
    ];
    for case in cases {
        let mut fleet = Fleet::open(1);
        let serves = Step { lasting: true, target: 50, image: "web".into(), ..step(1, 1_000) };
        fleet.accept("s", spec(serves));
        fleet.run_all();
        for tail in case.tails {
            fleet.pass(500);
            fleet.measure(&|_| *tail);
        }
        let tiny = Step { fills: true, image: "tiny".into(), ..step(1, 10) };
        fleet.accept("t", spec(tiny));
        assert_eq!(fleet.starts().len(), case.starts, "{}", case.name);
    }
}

/// The pattern: a queue of tasks that find no room, longer than a pass looks at,
/// in front of tasks that live on what others leave unused.
#[test]
fn a_long_queue_without_room_does_not_hold_up_what_fills() {
    struct Case {
        name: &'static str,
        /// Steps of the jobs that find no place, in turn.
        queue: &'static [u64],
    }
    let cases = [
        Case { name: "alike", queue: &[3_000] },
        Case { name: "ever smaller", queue: &[3_900, 3_800, 3_700, 3_600, 3_500, 3_400] },
    ];
    for case in cases {
        let mut fleet = Fleet::open(1);
        let serves = Step { lasting: true, target: 50, image: "web".into(), ..step(1, 2_000) };
        fleet.accept("s", spec(serves));
        fleet.run_all();
        fleet.pass(900);
        fleet.measure(&|_| 5);
        for n in 0..150 {
            let cpu = case.queue[n % case.queue.len()];
            fleet.accept(&format!("p{n:03}"), spec(step(1, cpu)));
        }
        fleet.pass(10);
        let fills = Step { fills: true, image: "tiny".into(), ..step(1, 100) };
        fleet.accept("z", spec(fills));
        let starts = fleet.starts();
        assert_eq!(starts.len(), 1, "{}", case.name);
        assert_eq!(&*starts[0].1.task.job, "z", "{}", case.name);
    }
}
