//! Placement beside steps that no worker can run.

#[allow(dead_code)]
mod fleet;

use base::{Millis, Size};
use fleet::{Fleet, NOW};
use job::{Repeat, Spec, Step, StepId};
use port::Start;

/// Time within which a task has to start beside idle workers.
const MAX_WAIT: Millis = 3_000;
/// Time that a round takes at least.
const ROUND: Millis = 40;
/// Number of jobs that no worker can run.
const LOST: u32 = 300;

fn step(count: u32, cpu: u64) -> Step {
    let size = Size { cpu, memory: 10, accel: 0 };
    Step { count, size, estimate: 1_000, ..Step::default() }
}

fn spec(step: Step) -> Spec {
    Spec { text: "t".into(), steps: vec![step], repeat: None }
}

/// Guards against tasks that wait for good beside idle workers: a pass tried no more steps of a kind
/// after 60 that found no place, whatever those had asked for.
#[test]
fn steps_without_a_place_hold_up_no_step_that_has_one() {
    struct Case<'a> {
        name: &'a str,
        /// Returns the step of the nth job that finds no place.
        lost: &'a dyn Fn(u32) -> Step,
        tickets: bool,
    }
    let cases = [
        Case {
            name: "a label that is gone",
            lost: &|_| Step { requires: Some("z".into()), ..step(1, 100) },
            tickets: false,
        },
        Case {
            name: "a label that is gone, and smaller from job to job",
            lost: &|n| Step { requires: Some("z".into()), ..step(1, u64::from(1_000 - n)) },
            tickets: false,
        },
        Case {
            name: "a label of its own each",
            lost: &|n| Step { requires: Some(format!("z{n}").into()), ..step(1, 100) },
            tickets: false,
        },
        Case {
            name: "too large for any worker, and smaller from job to job",
            lost: &|n| step(1, u64::from(9_000 - n)),
            tickets: false,
        },
        Case {
            name: "a limit for each worker, and one task more than workers",
            lost: &|_| Step { per_worker: 1, ..step(4, 1) },
            tickets: false,
        },
        Case { name: "no ticket", lost: &|_| step(1, 100), tickets: true },
        Case {
            name: "a gang that doesn't fit",
            lost: &|n| Step { gang: true, ..step(4, u64::from(3_900 - n)) },
            tickets: false,
        },
    ];
    let kinds: [(&str, &dyn Fn(Step) -> Step); 3] = [
        ("plain", &|step| step),
        ("long-running", &|step| Step { long_running: true, latency_target: 100, ..step }),
        ("best-effort", &|step| Step { best_effort: true, ..step }),
    ];
    let mut waiting = Vec::new();
    for case in &cases {
        for (kind, with) in &kinds {
            let mut fleet = Fleet::open(3);
            for n in 0..LOST {
                let (id, lost) = (format!("lost-{n:03}"), with((case.lost)(n)));
                match case.tickets {
                    true => fleet.accept_with_tickets(&id, spec(lost)),
                    false => fleet.accept(&id, spec(lost)),
                }
            }
            for _ in 0..20 {
                fleet.start_all();
                fleet.list_all();
            }
            // Its name is between those that wait.
            fleet.accept("lost-150-sound", spec(with(step(1, 100))));
            let begun = fleet.now();
            let mut started = false;
            while !started && fleet.now() < begun + MAX_WAIT {
                let starts = fleet.starts();
                started = starts.iter().any(|(_, start)| &*start.task.job == "lost-150-sound");
                starts.iter().for_each(|sent| fleet.reply_start(sent, Ok(1)));
                fleet.list_all();
            }
            if !started {
                waiting.push(format!("{kind}: {}", case.name));
            }
        }
    }
    assert!(waiting.is_empty(), "waiting for {MAX_WAIT} ms: {waiting:#?}");
}

/// Guards against a schedule that ends with its first time whose worker is lost: each time has tickets
/// of its own, and a pass tried the first time only.
#[test]
fn a_time_without_an_allowed_worker_holds_up_no_later_one() {
    let mut fleet = Fleet::open(2);
    let repeat = Repeat { count: 2, start: NOW.unix - 1_000, interval: 500 };
    fleet.accept_with_tickets("a", Spec { repeat: Some(repeat), ..spec(step(1, 100)) });
    let id = |occurrence| StepId { job: "a".into(), occurrence, step: 0 };
    let workers = ["w0".into(), "w1".into()];
    let mut starts: Vec<Start> = Vec::new();
    for _ in 0..MAX_WAIT / ROUND {
        fleet.reply_policy(&id(0), &workers, &[]);
        fleet.reply_policy(&id(1), &workers, &[("w1", "t")]);
        starts.extend(fleet.starts().into_iter().map(|(_, start)| start));
    }
    let tasks: Vec<String> = starts.iter().map(|start| start.task.to_string()).collect();
    assert_eq!(tasks, ["a.1.0.0"]);
}

/// Guards against passes that take longer with each job that waits for the same.
#[test]
fn steps_that_ask_for_the_same_are_searched_once() {
    let mut fleet = Fleet::open(3);
    for n in 0..1_000 {
        let lost = Step { requires: Some("b".into()), ..step(1, 4_001) };
        fleet.accept(&format!("lost-{n}"), spec(lost));
    }
    let before = fleet.lead.evaluations();
    for _ in 0..10 {
        fleet.commands();
    }
    let compared = fleet.lead.evaluations() - before;
    assert!(compared <= 30, "{compared} comparisons of 3 workers in ten passes");
}

/// Guards against a leader that lags: each round of preemptions compared every waiting plain step
/// with every worker.
#[test]
fn rounds_of_preemptions_do_not_compare_each_step_with_each_worker() {
    const WORKERS: usize = 20;
    struct Case {
        name: &'static str,
        /// CPU of the long-running task on each worker.
        long_running: u64,
        /// Number of sizes that the waiting steps ask for, falling from one to the next.
        sizes: u64,
    }
    let cases = [
        Case { name: "alike", long_running: 0, sizes: 1 },
        Case { name: "different", long_running: 0, sizes: 500 },
        Case { name: "beside long-running tasks, alike", long_running: 400, sizes: 1 },
        Case { name: "beside long-running tasks, different", long_running: 400, sizes: 500 },
    ];
    for Case { name, long_running, sizes } in cases {
        let mut fleet = Fleet::open(WORKERS);
        if long_running > 0 {
            let service = Step { long_running: true, ..step(WORKERS as u32, long_running) };
            fleet.accept("service", spec(Step { per_worker: 1, ..service }));
            assert_eq!(fleet.start_waiting().len(), WORKERS);
            fleet.list_all();
        }
        fleet.accept("full", spec(step(WORKERS as u32, 4_000 - long_running)));
        assert_eq!(fleet.start_waiting().len(), WORKERS);
        for n in 0..1_000 {
            fleet.accept(&format!("j{n:04}"), spec(step(1, 4_000 - n % sizes)));
        }
        fleet.advance(1_000);
        fleet.commands();
        let before = fleet.lead.evaluations();
        for _ in 0..20 {
            fleet.advance(60);
            assert!(fleet.commands().is_empty(), "{name}: nothing has room");
        }
        let compared = (fleet.lead.evaluations() - before) / 20;
        assert!(compared <= 3 * WORKERS as u64, "{name}: {compared} comparisons a round");
    }
}

/// Guards against tasks of a crashed worker that never start again: workers were isolated for the
/// suspects that had waited longest, though none could ever run those.
#[test]
fn suspects_that_no_worker_can_run_hold_up_no_others() {
    let mut fleet = Fleet::open(4);
    for n in 0..70 {
        let labelled = Step { requires: Some("b".into()), ..step(1, 50) };
        fleet.accept(&format!("lost-{n}"), spec(labelled));
    }
    let lost = fleet.starts();
    assert!(lost.iter().all(|(worker, _)| &**worker == "w1"));
    lost.iter().for_each(|sent| fleet.reply_start(sent, Ok(1)));
    fleet.crash("w1");
    fleet.unlist("w1");
    fleet.advance(5_000);
    fleet.list_all();
    fleet.accept("sound", spec(step(1, 100)));
    let sent = fleet.starts().pop().expect("a start");
    assert_eq!(&*sent.1.task.job, "sound");
    fleet.reply_start(&sent, Ok(1));
    fleet.crash(&sent.0);
    let begun = fleet.now();
    let mut started = false;
    while !started && fleet.now() < begun + MAX_WAIT {
        let starts = fleet.starts();
        started = starts.iter().any(|(_, start)| &*start.task.job == "sound");
        fleet.list_all();
    }
    assert!(started, "a suspect waits beside idle workers");
}
