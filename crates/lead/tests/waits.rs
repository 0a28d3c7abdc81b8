//! Reasons for waiting, as reported in the log and to callers of `Lead::wait_status`.

#[allow(dead_code)]
mod fleet;

use base::{Now, Size};
use fleet::{Fleet, NOW};
use job::{Spec, Step, StepId};
use lead::WaitReason;

fn step(count: u32, cpu: u64) -> Step {
    let size = Size { cpu, memory: 100, accel: 0 };
    Step { count, size, estimate: 1_000, ..Step::default() }
}

fn spec(step: Step) -> Spec {
    Spec { text: "t".into(), steps: vec![step], repeat: None }
}

#[test]
fn the_reason_for_a_wait_is_reported() {
    struct Case {
        name: &'static str,
        /// Step running on the workers of 4,000 thousandths of a core, at most one task per
        /// worker.
        running: Step,
        waiting: Step,
        reason: WaitReason,
        free_max: u64,
        free_total: u64,
    }
    let apart = |count, cpu| Step { per_worker: 1, ..step(count, cpu) };
    let cases = [
        Case {
            name: "free capacity fragmented",
            running: apart(3, 3_000),
            waiting: step(1, 2_000),
            reason: WaitReason::Fragmented,
            free_max: 1_000,
            free_total: 3_000,
        },
        Case {
            name: "not enough in all",
            running: apart(3, 3_000),
            waiting: step(2, 2_000),
            reason: WaitReason::Full,
            free_max: 1_000,
            free_total: 3_000,
        },
        Case {
            name: "larger than any worker",
            running: apart(3, 3_000),
            waiting: step(1, 4_100),
            reason: WaitReason::TooLarge,
            free_max: 1_000,
            free_total: 3_000,
        },
        Case {
            name: "label that no worker has",
            running: apart(3, 3_000),
            waiting: Step { requires: Some("z".into()), ..step(1, 100) },
            reason: WaitReason::NoWorker,
            free_max: 0,
            free_total: 0,
        },
        Case {
            name: "label of a worker that is full",
            running: apart(3, 3_000),
            waiting: Step { requires: Some("b".into()), ..step(1, 2_000) },
            reason: WaitReason::Full,
            free_max: 1_000,
            free_total: 1_000,
        },
        Case {
            name: "one on each worker already",
            running: apart(3, 1_000),
            waiting: apart(4, 1_000),
            reason: WaitReason::PerWorkerLimit,
            free_max: 2_000,
            free_total: 6_000,
        },
        Case {
            name: "memory",
            running: Step { size: Size { cpu: 100, memory: 7_000, accel: 0 }, ..apart(3, 0) },
            waiting: Step { size: Size { cpu: 100, memory: 2_000, accel: 0 }, ..step(1, 0) },
            reason: WaitReason::Memory,
            free_max: 3_900,
            free_total: 11_700,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::open(3);
        fleet.accept("a", spec(case.running));
        fleet.start_all();
        fleet.accept("b", spec(case.waiting.clone()));
        fleet.advance(200);
        fleet.commands();
        fleet.advance(500);
        fleet.commands();
        let id = StepId { job: "b".into(), occurrence: 0, step: 0 };
        let now = Now { mono: fleet.now(), unix: NOW.unix };
        let wait = fleet.lead.wait_status(&id, now).expect(case.name);
        assert_eq!(wait.reason, case.reason, "{}", case.name);
        assert_eq!(
            (wait.free_max, wait.free_total),
            (case.free_max, case.free_total),
            "{}",
            case.name
        );
        assert_eq!(wait.size, case.waiting.size, "{}", case.name);
        assert!((300..700).contains(&wait.waited), "{}: {} ms", case.name, wait.waited);
    }
}

/// A task that waited for the runs of an earlier leader was reported as waiting for its turn.
#[test]
fn an_inherited_task_waits_for_the_takeover() {
    let mut fleet = Fleet::open(3);
    fleet.accept("a", spec(step(1, 1_000)));
    fleet.take_over();
    for id in ["w0", "w1"] {
        fleet.record(id, Some(fleet::info(id)));
        fleet.list(id, &[], &[]);
    }
    fleet.store();
    fleet.advance(100);
    assert!(fleet.starts().is_empty(), "a start before the takeover has settled");
    let id = StepId { job: "a".into(), occurrence: 0, step: 0 };
    let now = Now { mono: fleet.now(), unix: NOW.unix };
    let wait = fleet.lead.wait_status(&id, now).expect("a waiting task");
    assert_eq!(wait.reason, WaitReason::Takeover);
}

/// A task that waited for an isolated worker was reported as waiting for its turn.
#[test]
fn a_task_that_may_crash_its_worker_waits_for_isolation() {
    let mut fleet = Fleet::open(1);
    fleet.accept("a", spec(step(3, 1_000)));
    for sent in fleet.starts() {
        fleet.reply_start(&sent, Ok(1));
    }
    fleet.crash("w0");
    fleet.store();
    fleet.advance(50);
    fleet.list_all();
    assert_eq!(fleet.starts().len(), 1, "one task is on probation at a time");
    let id = StepId { job: "a".into(), occurrence: 0, step: 0 };
    let now = Now { mono: fleet.now(), unix: NOW.unix };
    let wait = fleet.lead.wait_status(&id, now).expect("waiting tasks");
    assert_eq!((wait.reason, wait.tasks, wait.suspects), (WaitReason::Isolation, 2, 2));
}

/// A task that waited beside workers isolated for others was reported as waiting for its turn.
#[test]
fn a_task_waits_for_the_end_of_an_isolation() {
    let mut fleet = Fleet::open(1);
    fleet.accept("a", spec(step(1, 1_000)));
    fleet.start_all();
    fleet.crash("w0");
    let suspect = (0..30).find_map(|_| {
        fleet.store();
        fleet.starts().pop()
    });
    assert!(suspect.is_some(), "no start on an isolated worker");
    fleet.accept("b", spec(step(1, 1_000)));
    fleet.advance(100);
    assert!(fleet.starts().is_empty(), "a start beside a suspect");
    let id = StepId { job: "b".into(), occurrence: 0, step: 0 };
    let now = Now { mono: fleet.now(), unix: NOW.unix };
    let wait = fleet.lead.wait_status(&id, now).expect("a waiting task");
    assert_eq!(wait.reason, WaitReason::Isolation);
}
