//! Tasks that crash the workers that start them.

#[allow(dead_code)]
mod fleet;
#[allow(dead_code)]
mod world;

use base::{Millis, Name, Size};
use fleet::{Fleet, Sent};
use job::{Repeat, Spec, State, Step, TaskId};
use lead::Command;
use port::WorkerError;
use world::{Faults, World, spec, step};

/// Seeds of each case.
const SEEDS: std::ops::Range<u64> = 1..9;
/// Time within which a job whose task crashes its workers is shown as failed, in milliseconds.
const GIVE_UP_TIME: Millis = 40_000;

const NONE: Faults = Faults {
    lost_reply: 0.0,
    late_command: 0.0,
    late_poll: 0.0,
    unhealthy: 0.0,
    takeover: 0.0,
    unreachable: 0.0,
    crash: 0.0,
    store_outage: 0.0,
    fail: 0.0,
    record_delay: 0,
    resize: 0.0,
};

fn task(job: &str, index: u32) -> TaskId {
    TaskId { job: job.into(), occurrence: 0, step: 0, index }
}

/// Deadly tasks among sound ones: their jobs fail after a bounded number of crashes, no other
/// job does.
#[test]
fn a_deadly_task_is_given_up_and_its_neighbours_are_not() {
    struct Case {
        name: &'static str,
        step: Step,
        /// Whether crashed workers come back under identifiers of their own.
        renamed: bool,
        faults: Faults,
    }
    let plain = step(4, 400, 1_000);
    let cases = [
        Case { name: "same identifier", step: plain.clone(), renamed: false, faults: NONE },
        Case { name: "new identifier", step: plain.clone(), renamed: true, faults: NONE },
        Case {
            name: "speculative",
            step: Step { speculative: true, ..plain.clone() },
            renamed: true,
            faults: NONE,
        },
        Case {
            name: "checkpoints",
            step: Step { checkpoints: true, ..plain.clone() },
            renamed: false,
            faults: NONE,
        },
        Case {
            name: "long-running",
            step: Step { long_running: true, ..plain.clone() },
            renamed: true,
            faults: NONE,
        },
        Case {
            name: "leaders die",
            step: plain.clone(),
            renamed: true,
            faults: Faults { takeover: 0.1, ..NONE },
        },
        Case {
            name: "replies lost",
            step: plain.clone(),
            renamed: false,
            faults: Faults { lost_reply: 0.1, ..NONE },
        },
        Case {
            name: "half of the replies lost",
            step: plain.clone(),
            renamed: true,
            faults: Faults { lost_reply: 0.5, ..NONE },
        },
        Case {
            name: "copies, leaders die",
            step: Step { speculative: true, ..plain.clone() },
            renamed: true,
            faults: Faults { takeover: 0.1, lost_reply: 0.1, ..NONE },
        },
        Case {
            name: "workers crash",
            step: plain.clone(),
            renamed: true,
            faults: Faults { crash: 0.3, ..NONE },
        },
        Case {
            name: "workers unreachable",
            step: plain.clone(),
            renamed: false,
            faults: Faults { unreachable: 0.3, ..NONE },
        },
        Case {
            name: "store unavailable",
            step: plain,
            renamed: true,
            faults: Faults { store_outage: 0.1, ..NONE },
        },
    ];
    for case in cases {
        for seed in SEEDS {
            let name = format!("{}, seed {seed}", case.name);
            let mut world = World::open(seed, 12, case.faults);
            world.renamed = case.renamed;
            world.deadly = [task("d0", 0), task("d1", 2)].into();
            for n in 0..16 {
                world.submit(&format!("s{n}"), spec(step(4, 400, 1_000)));
                if n % 8 == 3 {
                    world.submit(&format!("d{}", n / 8), spec(case.step.clone()));
                }
                world.run(300);
            }
            world.faults = NONE;
            world.resubmit();
            world.run(GIVE_UP_TIME);
            assert!(world.violations.is_empty(), "{name}: {:#?}", world.violations);
            let lead = world.lead.as_ref().expect("a leader");
            for id in ["d0", "d1"] {
                assert_eq!(lead.state(id), Some(State::Failed), "{name}: {id}");
            }
            for n in 0..16 {
                let id = format!("s{n}");
                assert_eq!(lead.state(&id), Some(State::Completed), "{name}: {id}");
            }
        }
    }
}

/// No task is at fault: all jobs end, however often many workers crash together.
#[test]
fn crashes_of_many_workers_give_up_no_job() {
    struct Case {
        name: &'static str,
        renamed: bool,
        /// Workers that crash together, out of 12.
        workers: usize,
        /// Time between two crashes.
        gap: Millis,
    }
    let cases = [
        Case { name: "all, same identifiers", renamed: false, workers: 12, gap: 4_000 },
        Case { name: "a rack, same identifiers", renamed: false, workers: 4, gap: 4_000 },
        Case { name: "a rack, new identifiers", renamed: true, workers: 4, gap: 4_000 },
        Case { name: "a rack, often", renamed: true, workers: 4, gap: 1_700 },
        Case { name: "one after the other", renamed: true, workers: 1, gap: 500 },
    ];
    for case in cases {
        for seed in SEEDS {
            let name = format!("{}, seed {seed}", case.name);
            let mut world = World::open(seed, 12, NONE);
            world.renamed = case.renamed;
            for n in 0..24 {
                world.submit(&format!("s{n}"), spec(step(4, 400, 1_000)));
                world.run(250);
            }
            for round in 0..8 {
                let up = world.workers.values().filter(|worker| worker.down_until <= world.now);
                let up: Vec<Name> = up.map(|worker| worker.id.clone()).collect();
                let skip = round * case.workers;
                let crashing = up.iter().cycle().skip(skip).take(case.workers.min(up.len()));
                for id in crashing {
                    world.crash_worker(id);
                }
                world.submit(&format!("t{round}"), spec(step(6, 400, 1_000)));
                world.run(case.gap);
            }
            world.run(GIVE_UP_TIME);
            assert!(world.violations.is_empty(), "{name}: {:#?}", world.violations);
            let lead = world.lead.as_ref().expect("a leader");
            let jobs = lead.jobs.values();
            let open: Vec<(&Name, State)> = jobs
                .map(|job| (&job.id, job.state()))
                .filter(|(_, s)| *s != State::Completed)
                .collect();
            assert!(open.is_empty(), "{name}: {open:?}");
        }
    }
}

fn fleet_spec(step: Step) -> Spec {
    let size = Size { cpu: 1_000, memory: 100, accel: 0 };
    Spec { text: "t".into(), steps: vec![Step { size, estimate: 1_000, ..step }], repeat: None }
}

/// Runs a fleet until the first job has failed or its task has been started `most` times, with
/// each start followed by `after`. Returns the number of starts.
fn play(fleet: &mut Fleet, most: usize, after: &dyn Fn(&mut Fleet, &Sent)) -> usize {
    let mut count = 0;
    for _ in 0..1_000 {
        for command in fleet.commands() {
            match command {
                Command::Start(worker, start) => {
                    let sent = (worker.id, start);
                    fleet.reply_start(&sent, Ok(1));
                    count += 1;
                    fleet.advance(20);
                    after(fleet, &sent);
                }
                Command::Stop(worker, stop) => fleet.confirm_stop(&worker.id, &stop),
                _ => {}
            }
        }
        fleet.store();
        fleet.advance(50);
        fleet.list_all();
        if count >= most || fleet.lead.state("a") == Some(State::Failed) {
            break;
        }
    }
    count
}

/// What happens to a worker after it has started a task counts against the task only if the
/// worker crashed.
#[test]
fn only_crashes_count_against_a_task() {
    struct Case<'a> {
        name: &'a str,
        step: Step,
        repeat: Option<Repeat>,
        /// What happens after each start.
        after: &'a dyn Fn(&mut Fleet, &Sent),
        /// Starts until the job has failed; `None` if it does not.
        starts: Option<usize>,
    }
    let crash = |fleet: &mut Fleet, sent: &Sent| fleet.crash(&sent.0);
    let crash_seen_twice = |fleet: &mut Fleet, sent: &Sent| {
        fleet.crash(&sent.0);
        fleet.repeat_record(&sent.0);
        let now = fleet.now();
        let incarnation = fleet.lead.workers[&sent.0].info.incarnation;
        fleet.list_since(&sent.0, now, incarnation, &[]);
        fleet.unlist(&sent.0);
        fleet.repeat_record(&sent.0);
    };
    let crash_and_take_over = |fleet: &mut Fleet, sent: &Sent| {
        fleet.crash(&sent.0);
        fleet.list_all();
        fleet.store();
        fleet.take_over();
        fleet.meet_all();
    };
    let replaced = |fleet: &mut Fleet, sent: &Sent| fleet.replace(&sent.0);
    let survived = |fleet: &mut Fleet, sent: &Sent| {
        for _ in 0..10 {
            fleet.advance(100);
            fleet.list_known(&sent.0);
        }
        fleet.crash(&sent.0);
    };
    let left = |fleet: &mut Fleet, sent: &Sent| {
        fleet.leave(&sent.0);
        fleet.advance(100);
        fleet.crash(&sent.0);
    };
    let silent = |fleet: &mut Fleet, sent: &Sent| fleet.cut(&sent.0);
    let refused = |fleet: &mut Fleet, sent: &Sent| {
        fleet.reply_start(sent, Err(WorkerError::Unsent("refused".into())));
    };
    let not_there = |fleet: &mut Fleet, sent: &Sent| {
        fleet.advance(100);
        fleet.list(&sent.0, &[], &[]);
    };
    let all = |fleet: &mut Fleet, _: &Sent| fleet.crash_all();
    let plain = Step { count: 1, ..Step::default() };
    let gang = Step { gang: true, count: 2, ..plain.clone() };
    let lasting = Step { long_running: true, ..plain.clone() };
    let repeat = Some(Repeat { count: 3, start: fleet::NOW.unix - 10, interval: 1 });
    let case = Case { name: "", step: plain, repeat: None, after: &crash, starts: Some(2) };
    let cases = [
        Case { name: "crash", step: case.step.clone(), ..case },
        Case { name: "long-running", step: lasting, ..case },
        Case { name: "gang", step: gang, after: &crash, starts: Some(4), ..case },
        Case { name: "replaced", step: case.step.clone(), after: &replaced, ..case },
        Case { name: "seen twice", step: case.step.clone(), after: &crash_seen_twice, ..case },
        Case { name: "take-over", step: case.step.clone(), after: &crash_and_take_over, ..case },
        Case { name: "survived", step: case.step.clone(), after: &survived, starts: None, ..case },
        Case { name: "left", step: case.step.clone(), after: &left, starts: None, ..case },
        Case { name: "silent", step: case.step.clone(), after: &silent, starts: None, ..case },
        Case { name: "refused", step: case.step.clone(), after: &refused, starts: None, ..case },
        Case {
            name: "not there",
            step: case.step.clone(),
            after: &not_there,
            starts: None,
            ..case
        },
        Case { name: "all workers", step: case.step.clone(), after: &all, starts: None, ..case },
        Case { name: "occurrences", repeat, starts: Some(5), ..case },
    ];
    for case in cases {
        let mut fleet = Fleet::open(8);
        fleet.accept("a", Spec { repeat: case.repeat, ..fleet_spec(case.step) });
        let starts = play(&mut fleet, 12, case.after);
        let failed = fleet.lead.state("a") == Some(State::Failed);
        assert_eq!(failed.then_some(starts), case.starts, "{}: {starts} starts", case.name);
    }
}

/// A suspect that is sound is not held up where every worker is busy.
#[test]
fn a_sound_suspect_runs_soon_on_a_full_fleet() {
    for seed in SEEDS {
        let mut world = World::open(seed, 12, NONE);
        let jobs = |world: &mut World, n: u32| {
            world.submit(&format!("s{n:03}"), spec(step(9, 900, 1_000)))
        };
        for n in 0..14 {
            jobs(&mut world, n);
            world.run(200);
        }
        let busy = world.workers.values().find(|worker| worker.runs.len() > 1);
        let id = busy.expect("a busy worker").id.clone();
        let lost: Vec<TaskId> = world.workers[&id].runs.keys().cloned().collect();
        world.crash_worker(&id);
        for n in 14..40 {
            jobs(&mut world, n);
            world.run(200);
        }
        world.run(4_000);
        let lead = world.lead.as_ref().expect("a leader");
        for task in lost {
            let done = lead.jobs[&task.job].task(&task).is_none_or(|task| task.done);
            assert!(done, "seed {seed}: {task} still waits at {}", world.now);
        }
    }
}

/// A crash soon after a change of leader blamed all runs that the new leader had adopted, however
/// long they had run.
#[test]
fn an_adopted_run_that_has_made_progress_is_not_blamed() {
    struct Case {
        name: &'static str,
        percent: u32,
        crashes: usize,
    }
    let cases = [
        Case { name: "just started", percent: 0, crashes: 1 },
        Case { name: "at work", percent: 40, crashes: 0 },
    ];
    for case in cases {
        let mut fleet = Fleet::open(2);
        fleet.accept("a", fleet_spec(Step { count: 1, ..Step::default() }));
        let sent = fleet.starts().remove(0);
        fleet.reply_start(&sent, Ok(1));
        fleet.take_over();
        fleet.record(&sent.0, Some(fleet::info(&sent.0)));
        fleet.list_at(&sent.0, &sent.1, case.percent);
        fleet.crash(&sent.0);
        let task = fleet.lead.jobs["a"].task(&task("a", 0)).expect("a task");
        assert_eq!(task.crashes.len(), case.crashes, "{}", case.name);
    }
}

/// A worker that had crashed under a task got it again, and again, since it was empty: crashes of
/// one machine prove nothing about the task.
#[test]
fn a_suspect_starts_on_a_machine_that_has_not_crashed_under_it() {
    for renamed in [false, true] {
        let mut fleet = Fleet::open(3);
        fleet.accept("a", fleet_spec(Step { count: 1, ..Step::default() }));
        let sent = fleet.starts().remove(0);
        fleet.reply_start(&sent, Ok(1));
        if renamed {
            fleet.replace(&sent.0)
        } else {
            fleet.crash(&sent.0)
        }
        let first = fleet.lead.workers[&sent.0].info.addr;
        let mut starts = Vec::new();
        for _ in 0..200 {
            fleet.store();
            fleet.advance(50);
            fleet.list_all();
            starts.extend(fleet.starts());
        }
        let again = starts.first().expect("a second start");
        assert_ne!(fleet.lead.workers[&again.0].info.addr, first, "renamed: {renamed}");
    }
}

/// A crashed worker whose time of day was an hour ahead held up the end of a deadly job for as long:
/// others might still have come back together with it.
#[test]
fn a_clock_that_is_ahead_does_not_hold_up_the_end_of_a_deadly_job() {
    const AHEAD: Millis = 3_000_000;
    let crash = |fleet: &mut Fleet, sent: &Sent| {
        fleet.advance(2_000);
        let incarnation = fleet.time().unix + AHEAD;
        fleet.restart(&sent.0, incarnation);
        for _ in 0..2 {
            fleet.advance(10);
            let now = fleet.now();
            fleet.list_since(&sent.0, now, incarnation, &[]);
        }
    };
    let mut fleet = Fleet::open(8);
    fleet.accept("a", fleet_spec(Step { count: 1, ..Step::default() }));
    let starts = play(&mut fleet, 12, &crash);
    assert_eq!(fleet.lead.state("a"), Some(State::Failed), "{starts} starts");
}

/// A best-effort suspect that would have harmed the service on the only worker left kept that
/// worker isolated, so that its free capacity stayed empty.
#[test]
fn a_suspect_that_may_not_start_on_a_worker_does_not_isolate_it() {
    let mut fleet = Fleet::open(2);
    let service = Step {
        count: 1,
        long_running: true,
        latency_target: 50,
        image: "web".into(),
        ..Step::default()
    };
    fleet.accept("s", fleet_spec(service));
    fleet.start_all();
    for tail in [15, 60] {
        fleet.advance(500);
        fleet.report_latency(&|_| tail);
    }
    let filling = Step { count: 1, best_effort: true, image: "fill".into(), ..Step::default() };
    fleet.accept("f", fleet_spec(filling));
    let sent = fleet.starts().remove(0);
    fleet.reply_start(&sent, Ok(1));
    fleet.advance(2_000);
    let incarnation = fleet.time().unix;
    fleet.restart(&sent.0, incarnation);
    fleet.leave(&sent.0);
    for _ in 0..2 {
        fleet.store();
        fleet.advance(100);
        let now = fleet.now();
        fleet.list_since(&sent.0, now, incarnation, &[]);
        fleet.report_latency(&|_| 60);
        assert!(fleet.starts().is_empty(), "a start beside a service that misses its target");
    }
    fleet.accept("p", fleet_spec(Step { count: 1, ..Step::default() }));
    let starts = fleet.starts();
    assert_eq!(starts.len(), 1, "the plain task starts on the worker of the service");
}
