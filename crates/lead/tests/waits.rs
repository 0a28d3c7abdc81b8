//! Why a task waits, as logs and operators are told.

#[allow(dead_code)]
mod fleet;

use base::{Now, Size};
use fleet::{Fleet, NOW};
use job::{Spec, Step, StepId};
use lead::Why;

fn step(count: u32, cpu: u64) -> Step {
    let size = Size { cpu, memory: 100, accel: 0 };
    Step { count, size, estimate: 1_000, ..Step::default() }
}

fn spec(step: Step) -> Spec {
    Spec { text: "t".into(), steps: vec![step], repeat: None }
}

#[test]
fn a_task_that_waits_tells_why() {
    struct Case {
        name: &'static str,
        /// What runs on workers of 4,000 already, one task a worker at most.
        taken: Step,
        waits: Step,
        why: Why,
        largest: u64,
        room: u64,
    }
    let apart = |count, cpu| Step { per_worker: 1, ..step(count, cpu) };
    let cases = [
        Case {
            name: "pieces too small",
            taken: apart(3, 3_000),
            waits: step(1, 2_000),
            why: Why::Scattered,
            largest: 1_000,
            room: 3_000,
        },
        Case {
            name: "not enough in all",
            taken: apart(3, 3_000),
            waits: step(2, 2_000),
            why: Why::Full,
            largest: 1_000,
            room: 3_000,
        },
        Case {
            name: "larger than any worker",
            taken: apart(3, 3_000),
            waits: step(1, 4_100),
            why: Why::TooLarge,
            largest: 1_000,
            room: 3_000,
        },
        Case {
            name: "label that no worker has",
            taken: apart(3, 3_000),
            waits: Step { requires: Some("z".into()), ..step(1, 100) },
            why: Why::NoWorker,
            largest: 0,
            room: 0,
        },
        Case {
            name: "label of a worker that is full",
            taken: apart(3, 3_000),
            waits: Step { requires: Some("b".into()), ..step(1, 2_000) },
            why: Why::Full,
            largest: 1_000,
            room: 1_000,
        },
        Case {
            name: "one on each worker already",
            taken: apart(3, 1_000),
            waits: apart(4, 1_000),
            why: Why::Apart,
            largest: 2_000,
            room: 6_000,
        },
        Case {
            name: "memory",
            taken: Step { size: Size { cpu: 100, memory: 7_000, accel: 0 }, ..apart(3, 0) },
            waits: Step { size: Size { cpu: 100, memory: 2_000, accel: 0 }, ..step(1, 0) },
            why: Why::Memory,
            largest: 3_900,
            room: 11_700,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::open(3);
        fleet.accept("a", spec(case.taken));
        fleet.run_all();
        fleet.accept("b", spec(case.waits.clone()));
        fleet.pass(200);
        fleet.orders();
        fleet.pass(500);
        fleet.orders();
        let id = StepId { job: "b".into(), occ: 0, step: 0 };
        let now = Now { mono: fleet.now(), unix: NOW.unix };
        let wait = fleet.lead.wait(&id, now).expect(case.name);
        assert_eq!(wait.why, case.why, "{}", case.name);
        assert_eq!((wait.largest, wait.room), (case.largest, case.room), "{}", case.name);
        assert_eq!(wait.size, case.waits.size, "{}", case.name);
        assert!((300..700).contains(&wait.waited), "{}: {} ms", case.name, wait.waited);
    }
}
