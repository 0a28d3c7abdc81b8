//! Workers whose size changes while they run: what is started on them, moved from them and kept
//! waiting.

#[allow(dead_code)]
mod fleet;

use base::Size;
use fleet::{Fleet, Sent, info};
use job::{Spec, Step};
use lead::Command;
use port::{Outcome, Start, WorkerError, WorkerInfo};

/// Size of a worker when the fleet opens.
const FULL: Size = Size { cpu: 4_000, memory: 8_000, accel: 0 };
/// Longest time for which a service may miss its target because of best-effort tasks, in
/// milliseconds.
const MAX_IMPACT: u64 = 4_000;

fn cpu(cpu: u64) -> Size {
    Size { cpu, ..FULL }
}

fn step(count: u32, size: Size) -> Step {
    Step { count, size, estimate: 1_000, ..Step::default() }
}

fn plain(count: u32, cpu: u64) -> Step {
    step(count, Size { cpu, memory: 100, accel: 0 })
}

fn service(count: u32, cpu: u64) -> Step {
    Step { long_running: true, latency_target: 50, image: "web".into(), ..plain(count, cpu) }
}

fn best_effort(count: u32, cpu: u64) -> Step {
    Step { best_effort: true, image: "batch".into(), ..plain(count, cpu) }
}

fn spec(step: Step) -> Spec {
    Spec { text: "t".into(), steps: vec![step], repeat: None }
}

/// Starts the tasks of a step and lists them as running.
fn run(fleet: &mut Fleet, id: &str, step: Step) -> Vec<Sent> {
    fleet.accept(id, spec(step));
    let sent = fleet.starts();
    for one in &sent {
        fleet.reply_start(one, Ok(1));
        fleet.list_at(&one.0, &one.1, 100);
    }
    sent
}

/// Ticks the leader for 0.4 s, while the workers list the runs that they are known to have, and
/// returns its commands.
fn tick(fleet: &mut Fleet, workers: usize) -> Vec<Command> {
    let mut commands = Vec::new();
    for _ in 0..10 {
        commands.extend(fleet.commands());
        (0..workers).for_each(|n| fleet.list_known(&format!("w{n}")));
    }
    commands
}

fn starts(commands: &[Command]) -> Vec<&Start> {
    let mut starts = Vec::new();
    for command in commands {
        if let Command::Start(_, start) = command {
            starts.push(start);
        }
    }
    starts
}

fn stops(commands: &[Command]) -> usize {
    commands.iter().filter(|command| matches!(command, Command::Stop(..))).count()
}

/// Lists runs that have ended on the only worker, and those that are left.
fn complete(fleet: &mut Fleet, ended: &[Sent], left: &[&Start], outcome: Outcome) {
    let left: Vec<(&Start, u64)> = left.iter().map(|start| (*start, 0)).collect();
    let ended: Vec<(u64, &Start, Outcome)> =
        (1..).zip(ended).map(|(number, (_, start))| (number, start, outcome)).collect();
    fleet.list("w0", &left, &ended);
}

struct Case {
    name: &'static str,
    before: Size,
    runs: Step,
    /// Size while the runs are there.
    shrunk: Size,
    waits: Step,
    /// Tasks started beside the runs, and in all once those have ended.
    started: [usize; 2],
}

/// Runs a step on the only worker, changes the worker's size and counts the starts of another.
/// The runs are being stopped, confirmed by the worker, where `stopped` is set.
fn check(case: Case, stopped: bool) {
    let mut fleet = Fleet::open(1);
    fleet.resize("w0", case.before);
    let sent = run(&mut fleet, "a", case.runs.clone());
    assert_eq!(sent.len(), case.runs.count as usize, "{}", case.name);
    fleet.resize("w0", case.shrunk);
    if stopped {
        fleet.cancel("a");
        fleet.commands();
        sent.iter().for_each(|one| fleet.reply_stop(one, Ok(1)));
    }
    fleet.accept("b", spec(case.waits));
    let commands = tick(&mut fleet, 1);
    let beside = starts(&commands);
    assert_eq!(beside.len(), case.started[0], "{}, stopped: {stopped}", case.name);
    let outcome = if stopped { Outcome::Stopped } else { Outcome::Done };
    complete(&mut fleet, &sent, &beside, outcome);
    let after = starts(&tick(&mut fleet, 1)).len();
    assert_eq!(beside.len() + after, case.started[1], "{}, stopped: {stopped}", case.name);
}

#[test]
fn only_what_fits_the_newest_size_is_started() {
    let memory = |memory| Size { memory, ..FULL };
    let accel = |accel| Size { accel, ..FULL };
    let cases = || {
        [
            Case {
                name: "no change",
                before: FULL,
                runs: plain(2, 1_000),
                shrunk: FULL,
                waits: plain(9, 1_000),
                started: [2, 4],
            },
            Case {
                name: "shrunk to less than is used",
                before: FULL,
                runs: plain(3, 1_000),
                shrunk: cpu(2_000),
                waits: plain(9, 500),
                started: [0, 4],
            },
            Case {
                name: "shrunk to just what is used",
                before: FULL,
                runs: plain(3, 1_000),
                shrunk: cpu(3_000),
                waits: plain(9, 500),
                started: [0, 6],
            },
            Case {
                name: "shrunk to nothing",
                before: FULL,
                runs: plain(3, 1_000),
                shrunk: Size::ZERO,
                waits: plain(9, 500),
                started: [0, 0],
            },
            Case {
                name: "grown",
                before: cpu(2_000),
                runs: plain(2, 1_000),
                shrunk: FULL,
                waits: plain(9, 1_000),
                started: [2, 4],
            },
            Case {
                name: "memory",
                before: FULL,
                runs: step(2, Size { cpu: 100, memory: 4_000, accel: 0 }),
                shrunk: memory(5_000),
                waits: step(9, Size { cpu: 100, memory: 2_000, accel: 0 }),
                started: [0, 2],
            },
            Case {
                name: "accelerators",
                before: accel(4),
                runs: step(2, Size { cpu: 100, memory: 100, accel: 2 }),
                shrunk: accel(2),
                waits: step(9, Size { cpu: 100, memory: 100, accel: 1 }),
                started: [0, 2],
            },
            Case {
                name: "a gang",
                before: FULL,
                runs: plain(1, 1_000),
                shrunk: cpu(3_000),
                waits: Step { gang: true, ..plain(3, 1_000) },
                started: [0, 3],
            },
            Case {
                name: "a service",
                before: FULL,
                runs: plain(2, 1_000),
                shrunk: cpu(2_500),
                waits: service(9, 1_000),
                started: [0, 2],
            },
        ]
    };
    cases().into_iter().for_each(|case| check(case, false));
    cases().into_iter().for_each(|case| check(case, true));
}

#[test]
fn a_worker_over_its_size_in_one_resource_gets_no_task_that_needs_none_of_it() {
    let small = |cpu| step(1, Size { cpu, memory: 0, accel: 0 });
    let cases = [
        Case {
            name: "memory",
            before: FULL,
            runs: step(2, Size { cpu: 100, memory: 4_000, accel: 0 }),
            shrunk: Size { memory: 5_000, ..FULL },
            waits: small(100),
            started: [0, 1],
        },
        Case {
            name: "accelerators",
            before: Size { accel: 4, ..FULL },
            runs: step(2, Size { cpu: 100, memory: 100, accel: 2 }),
            shrunk: Size { accel: 3, ..FULL },
            waits: small(100),
            started: [0, 1],
        },
        Case {
            name: "CPU, which best-effort tasks do not take up",
            before: FULL,
            runs: Step { long_running: false, ..service(2, 2_000) },
            shrunk: cpu(2_000),
            waits: best_effort(1, 1_000),
            started: [0, 1],
        },
    ];
    cases.into_iter().for_each(|case| check(case, false));
}

/// The next list of all workers would show the growth only up to 200 ms later.
#[test]
fn growth_is_used_at_once() {
    let mut fleet = Fleet::open(1);
    fleet.resize("w0", cpu(1_000));
    run(&mut fleet, "a", plain(1, 1_000));
    fleet.accept("b", spec(plain(1, 1_000)));
    assert!(fleet.starts().is_empty(), "the worker is full");
    fleet.resize("w0", FULL);
    assert_eq!(fleet.starts().len(), 1, "within 40 ms");
}

/// Guards against services that were moved one after the other from a worker that stayed over its
/// size.
#[test]
fn services_are_moved_from_a_shrunk_worker_only_if_that_makes_a_task_fit() {
    struct Moves {
        name: &'static str,
        shrunk: Size,
        moved: usize,
    }
    let cases = [
        Moves { name: "the worker stays over its size", shrunk: cpu(2_000), moved: 0 },
        Moves { name: "the task fits then", shrunk: cpu(3_000), moved: 1 },
        Moves { name: "no worker is large enough", shrunk: cpu(200), moved: 0 },
    ];
    for case in cases {
        let mut fleet = Fleet::open(2);
        let sent = run(&mut fleet, "s", Step { per_worker: 3, ..service(6, 1_300) });
        assert_eq!(sent.len(), 6, "{}", case.name);
        for one in &sent {
            fleet.list_at(&one.0, &one.1, 100);
        }
        ["w0", "w1"].iter().for_each(|id| fleet.resize(id, case.shrunk));
        fleet.accept("p", spec(plain(1, 300)));
        let commands: Vec<Command> = (0..20).flat_map(|_| fleet.commands()).collect();
        assert_eq!((starts(&commands).len(), stops(&commands)), (0, case.moved), "{}", case.name);
    }
}

/// Guards against a worker that was filled beside a start that it may still carry out.
#[test]
fn a_start_in_doubt_takes_up_capacity_after_a_restart() {
    for starts in [1, 2] {
        let mut fleet = Fleet::open(1);
        fleet.accept("a", spec(plain(1, 3_000)));
        let mut last = None;
        for _ in 0..starts {
            let sent = fleet.starts().remove(0);
            fleet.reply_start(&sent, Err(WorkerError::InDoubt("no reply".into())));
            fleet.advance(10);
            fleet.list("w0", &[], &[]);
            last = Some(sent);
        }
        fleet.cancel("a");
        assert_eq!(fleet.stops().len(), 1, "{starts} starts");
        fleet.reply_stop(last.as_ref().expect("a start"), Ok(1));
        fleet.advance(10);
        fleet.list("w0", &[], &[]);
        // The new incarnation does not know of the stops.
        fleet.restart("w0", 2);
        fleet.store();
        let now = fleet.now();
        fleet.list_since("w0", now, 2, &[]);
        fleet.accept("b", spec(plain(1, 4_000)));
        assert!(fleet.starts().is_empty(), "{starts} starts: the last may still begin");
        fleet.reply_stop(&last.expect("a start"), Ok(1));
        fleet.advance(10);
        let now = fleet.now();
        fleet.list_since("w0", now, 2, &[]);
        assert_eq!(fleet.starts().len(), 1, "{starts} starts: none will begin any more");
    }
}

#[test]
fn a_worker_whose_record_is_unreadable_gets_no_work_until_it_is_readable_again() {
    let foreign = WorkerInfo { service: "other".into(), ..info("w0") };
    let cases = [("unreadable", None), ("of another service", Some(foreign))];
    for (name, record) in cases {
        let mut fleet = Fleet::open(1);
        let sent = run(&mut fleet, "a", plain(1, 1_000));
        fleet.record("w0", record);
        fleet.accept("b", spec(plain(1, 1_000)));
        let commands = tick(&mut fleet, 1);
        assert_eq!((starts(&commands).len(), stops(&commands)), (0, 0), "{name}");
        assert!(fleet.lead.workers["w0"].runs.contains_key(&sent[0].1.task), "{name}: it runs on");
        fleet.record("w0", Some(info("w0")));
        assert_eq!(starts(&tick(&mut fleet, 1)).len(), 1, "{name}");
    }
}

#[test]
fn no_size_takes_the_leader_down() {
    let huge = Size { cpu: u64::MAX, memory: u64::MAX, accel: u64::MAX };
    for size in [Size::ZERO, huge, Size { memory: 0, ..huge }, Size { cpu: 0, ..huge }] {
        let mut fleet = Fleet::open(3);
        run(&mut fleet, "s", service(3, 2_500));
        run(&mut fleet, "e", best_effort(3, 500));
        ["w0", "w1"].iter().for_each(|id| fleet.resize(id, size));
        fleet.accept("p", spec(plain(40, 3_000)));
        fleet.accept("f", spec(best_effort(3, 500)));
        fleet.accept("l", spec(step(2, huge)));
        (0..5).for_each(|_| drop(tick(&mut fleet, 3)));
        fleet.resize("w0", FULL);
        (0..5).for_each(|_| drop(tick(&mut fleet, 3)));
    }
}

/// The record of an earlier incarnation says nothing about the size of the present one.
#[test]
fn the_record_of_an_earlier_incarnation_changes_no_size() {
    let mut fleet = Fleet::open(1);
    let record = |incarnation, size| Some(WorkerInfo { incarnation, size, ..info("w0") });
    fleet.record("w0", record(2, cpu(1_000)));
    fleet.record("w0", record(1, FULL));
    fleet.store();
    let now = fleet.now();
    fleet.list_since("w0", now, 2, &[]);
    fleet.accept("a", spec(plain(9, 500)));
    assert_eq!(fleet.starts().len(), 2);
}

/// A new leader knows no size until it has read the worker's record.
#[test]
fn a_new_leader_starts_nothing_on_a_worker_before_it_knows_its_size_and_runs() {
    let mut fleet = Fleet::open(1);
    let sent = run(&mut fleet, "a", plain(2, 1_000));
    fleet.accept("b", spec(plain(9, 500)));
    fleet.take_over();
    fleet.list("w0", &[(&sent[0].1, 0), (&sent[1].1, 0)], &[]);
    assert!(fleet.starts().is_empty(), "its record has not been read");
    fleet.resize("w0", cpu(3_000));
    assert_eq!(starts(&tick(&mut fleet, 1)).len(), 2);
}

/// A reservation must not keep a worker empty on which the step does not fit any more.
#[test]
fn a_shrunk_worker_is_reserved_for_a_second_at_most() {
    let mut fleet = Fleet::open(2);
    let sent = run(&mut fleet, "s", Step { per_worker: 1, ..service(2, 2_500) });
    fleet.accept("large", spec(plain(1, 3_000)));
    let mut moved = None;
    for _ in 0..10 {
        let stopped = fleet.stops().pop();
        moved = moved.or(stopped.and_then(|s| sent.iter().find(|(_, r)| r.task == s.task)));
    }
    let (id, start) = moved.expect("a worker is made free");
    fleet.resize(id, cpu(1_000));
    fleet.list(id, &[], &[(1, start, Outcome::Stopped)]);
    fleet.accept("small", spec(plain(9, 1_000)));
    let reserved_at = fleet.now();
    let mut began = None;
    while began.is_none() && fleet.now() < reserved_at + 3_000 {
        let sent = fleet.starts();
        ["w0", "w1"].iter().for_each(|id| fleet.list_known(id));
        began = sent.iter().any(|(on, _)| on == id).then(|| fleet.now() - reserved_at);
    }
    assert!(began.is_some_and(|ms| ms < 1_200), "{began:?}");
}

/// A service on a shrunk worker has less CPU beside the best-effort tasks.
#[test]
fn best_effort_tasks_give_way_where_a_service_misses_its_target_on_a_shrunk_worker() {
    let mut fleet = Fleet::open(1);
    let web = run(&mut fleet, "s", service(1, 2_000)).remove(0).1;
    let batch = run(&mut fleet, "e", best_effort(1, 1_500)).remove(0).1;
    fleet.resize("w0", cpu(2_000));
    let shrunk_at = fleet.now();
    let mut stopped = None;
    while stopped.is_none() && fleet.now() < shrunk_at + 2 * MAX_IMPACT {
        fleet.advance(160);
        fleet.list("w0", &[(&web, 80), (&batch, 1_500)], &[]);
        let commands = fleet.commands();
        let gives_way = |c: &Command| matches!(c, Command::Stop(..) | Command::Throttle(..));
        stopped = commands.iter().any(gives_way).then(|| fleet.now() - shrunk_at);
    }
    assert!(stopped.is_some_and(|ms| ms < MAX_IMPACT), "{stopped:?}");
}
