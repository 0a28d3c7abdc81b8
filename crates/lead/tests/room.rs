//! Preemption of service tasks for tasks that don't fit on any worker: which tasks are moved,
//! which workers are reserved meanwhile, and which services are left alone.

#[allow(dead_code)]
mod fleet;

use base::{Name, Size};
use fleet::{Fleet, Sent};
use job::{Spec, Step};
use lead::{Command, RunState};
use port::{Outcome, Stop};

fn step(count: u32, cpu: u64) -> Step {
    let size = Size { cpu, memory: 100, accel: 0 };
    Step { count, size, estimate: 1_000, ..Step::default() }
}

/// A service with at most one task per worker.
fn service(count: u32, cpu: u64) -> Step {
    Step {
        long_running: true,
        latency_target: 50,
        image: "web".into(),
        per_worker: 1,
        ..step(count, cpu)
    }
}

fn spec(step: Step) -> Spec {
    Spec { text: "t".into(), steps: vec![step], repeat: None }
}

/// Runs a service on workers with 4,000 thousandths of a core each and returns its starts.
/// Each run reports `percent`.
fn fleet_with_service(workers: usize, service: Step, percent: u32) -> (Fleet, Vec<Sent>) {
    let mut fleet = Fleet::open(workers);
    fleet.accept("s", spec(service));
    let sent = fleet.starts();
    for one in &sent {
        fleet.reply_start(one, Ok(1));
        fleet.list_at(&one.0, &one.1, percent);
    }
    (fleet, sent)
}

/// Ticks the leader six times, 40 ms each, and returns its commands.
fn tick(fleet: &mut Fleet) -> Vec<Command> {
    (0..6).flat_map(|_| fleet.commands()).collect()
}

fn stops(commands: &[Command]) -> Vec<Stop> {
    let stop = |command: &Command| match command {
        Command::Stop(_, stop) => Some(stop.clone()),
        _ => None,
    };
    commands.iter().filter_map(stop).collect()
}

fn starts(commands: &[Command]) -> Vec<(Name, Name)> {
    let start = |command: &Command| match command {
        Command::Start(worker, start) => Some((worker.id.clone(), start.task.job.clone())),
        _ => None,
    };
    commands.iter().filter_map(start).collect()
}

#[test]
fn services_are_moved_only_as_far_as_they_can_bear() {
    struct Case {
        name: &'static str,
        service: Step,
        percent: u32,
        waits: Step,
        moved: usize,
    }
    let up = 100;
    let cases = [
        Case {
            name: "one of a service for one task",
            service: service(3, 2_500),
            percent: up,
            waits: step(1, 3_000),
            moved: 1,
        },
        Case {
            name: "one of three at a time, however many tasks wait",
            service: service(3, 2_500),
            percent: up,
            waits: step(3, 3_000),
            moved: 1,
        },
        Case {
            name: "more where the service is large",
            service: service(40, 2_500),
            percent: up,
            waits: step(40, 3_000),
            moved: 2,
        },
        Case {
            name: "no more than the step's limit",
            service: Step { max_unavailable: 1, ..service(40, 2_500) },
            percent: up,
            waits: step(40, 3_000),
            moved: 1,
        },
        Case {
            name: "none while another task of the service is not up",
            service: service(3, 2_500),
            percent: 40,
            waits: step(1, 3_000),
            moved: 0,
        },
        Case {
            name: "not the only task of a service",
            service: service(1, 2_500),
            percent: up,
            waits: Step { requires: Some("a".into()), ..step(3, 3_000) },
            moved: 0,
        },
        Case {
            name: "nothing for a task larger than any worker",
            service: service(3, 2_500),
            percent: up,
            waits: step(1, 4_500),
            moved: 0,
        },
        Case {
            name: "nothing for a task whose label no worker has",
            service: service(3, 2_500),
            percent: up,
            waits: Step { requires: Some("z".into()), ..step(1, 3_000) },
            moved: 0,
        },
        Case {
            name: "nothing for another service",
            service: service(3, 2_500),
            percent: up,
            waits: Step { image: "other".into(), ..service(2, 3_000) },
            moved: 0,
        },
        Case {
            name: "nothing for part of a gang",
            service: service(3, 2_500),
            percent: up,
            waits: Step { gang: true, ..step(3, 3_000) },
            moved: 0,
        },
        Case {
            name: "enough for a gang of one",
            service: service(3, 2_500),
            percent: up,
            waits: Step { gang: true, ..step(1, 3_000) },
            moved: 1,
        },
    ];
    for case in cases {
        let workers = case.service.count.max(3) as usize;
        let (mut fleet, _) = fleet_with_service(workers, case.service, case.percent);
        fleet.accept("p", spec(case.waits));
        let stopped = stops(&tick(&mut fleet));
        let moved = stopped.iter().filter(|stop| &*stop.task.job == "s").count();
        assert_eq!(moved, case.moved, "{}", case.name);
    }
}

#[test]
fn nothing_is_moved_at_once_for_a_task_that_fits_where_plain_ones_end() {
    struct Case {
        name: &'static str,
        /// Number of workers; the service runs on three of them.
        workers: usize,
        /// Tasks moved within 120 ms, and within 400 ms.
        moved: [usize; 2],
    }
    let cases = [
        Case { name: "capacity for it becomes free by itself", workers: 4, moved: [0, 1] },
        Case { name: "the capacity that becomes free is too small", workers: 3, moved: [1, 1] },
    ];
    for case in cases {
        let (mut fleet, _) = fleet_with_service(case.workers, service(3, 2_300), 100);
        fleet.accept("beside", spec(step(1, 1_500)));
        for one in fleet.starts() {
            fleet.reply_start(&one, Ok(1));
        }
        fleet.accept("large", spec(step(1, 3_100)));
        let mut moved = Vec::new();
        for ticks in [3, 7] {
            let commands: Vec<Command> = (0..ticks).flat_map(|_| fleet.commands()).collect();
            moved.push(stops(&commands).len() + moved.last().copied().unwrap_or(0));
        }
        assert_eq!(moved, case.moved, "{}", case.name);
    }
}

/// Regression test: small tasks kept taking all the CPU that became free while a large task
/// waited.
#[test]
fn small_tasks_do_not_take_the_capacity_reserved_for_a_large_one() {
    let (mut fleet, sent) = fleet_with_service(3, service(3, 2_500), 100);
    fleet.accept("large", spec(step(1, 3_000)));
    let stopped = stops(&tick(&mut fleet));
    let at = sent.iter().position(|(_, start)| start.task == stopped[0].task).expect("a run");
    let (worker, start) = sent[at].clone();
    fleet.accept("small", spec(step(9, 1_400)));
    let started = starts(&fleet.commands());
    assert_eq!(started.len(), 2, "one on each other worker: {started:?}");
    assert!(started.iter().all(|(on, _)| *on != worker), "{started:?}");
    fleet.list(&worker, &[], &[(1, &start, Outcome::Stopped)]);
    assert_eq!(starts(&fleet.commands()), [(worker, "large".into())]);
}

/// Long-running tasks must not wait long while there is free capacity for them.
#[test]
fn a_worker_is_reserved_for_a_second_at_most() {
    let (mut fleet, sent) = fleet_with_service(3, service(3, 2_500), 100);
    fleet.accept("large", spec(step(1, 3_000)));
    let stopped = stops(&tick(&mut fleet));
    let at = sent.iter().position(|(_, start)| start.task == stopped[0].task).expect("a run");
    let worker = sent[at].0.clone();
    // The stop command gets no reply, so that the capacity isn't free in time.
    let small = Step { requires: None, ..step(9, 1_400) };
    fleet.accept("small", spec(small));
    let mut began = None;
    for _ in 0..40 {
        let commands = fleet.commands();
        for (name, _) in &sent {
            fleet.list_known(name);
        }
        if starts(&commands).iter().any(|(on, job)| *on == worker && &**job == "small") {
            began = Some(fleet.now());
            break;
        }
    }
    assert!(began.is_some(), "the worker stays reserved");
}

/// Regression test: workers stayed reserved for steps that no longer waited while
/// long-running tasks did.
#[test]
fn a_worker_is_reserved_only_while_the_step_waits() {
    let (mut fleet, sent) = fleet_with_service(3, service(3, 2_500), 100);
    fleet.accept("large", spec(step(1, 3_000)));
    let stopped = stops(&tick(&mut fleet));
    let at = sent.iter().position(|(_, start)| start.task == stopped[0].task).expect("a run");
    let (worker, start) = sent[at].clone();
    fleet.cancel("large");
    fleet.list(&worker, &[], &[(1, &start, Outcome::Stopped)]);
    let started: Vec<_> = (0..3).flat_map(|_| starts(&fleet.commands())).collect();
    assert_eq!(started, [(worker, "s".into())], "within 120 ms");
}

#[test]
fn a_moved_task_runs_elsewhere_once_its_run_has_ended() {
    let (mut fleet, sent) = fleet_with_service(4, service(3, 2_500), 100);
    let large = Step { requires: Some("b".into()), ..step(1, 3_000) };
    fleet.accept("large", spec(large));
    let stopped = stops(&tick(&mut fleet));
    let at = sent.iter().position(|(_, start)| start.task == stopped[0].task).expect("a run");
    let (worker, start) = sent[at].clone();
    assert_eq!(&*worker, "w1", "the only one with the label");
    let run = fleet.lead.workers["w1"].runs.get(&start.task).expect("the run");
    assert_eq!(run.state, RunState::Stopping);
    fleet.list(&worker, &[], &[(1, &start, Outcome::Stopped)]);
    let started = starts(&fleet.commands());
    assert_eq!(started.len(), 2, "{started:?}");
    let again = started.iter().find(|(_, job)| &**job == "s").expect("the service");
    assert!(sent.iter().all(|(on, _)| *on != again.0), "a worker without a task of it");
}

/// Guards against commands that are in doubt, and runs that are stopped and started again, since more
/// starts leave at a time than their worker accepts connections.
#[test]
fn a_worker_gets_further_starts_as_it_replies() {
    const MAX_CONNECTIONS: usize = 64;
    let mut fleet = Fleet::open(2);
    let size = Size { cpu: 1, memory: 1, accel: 0 };
    let wide = Step { count: 1_000, size, estimate: 1_000, ..Step::default() };
    fleet.accept("a", Spec { text: "t".into(), steps: vec![wide], repeat: None });
    let mut started = 0;
    for _ in 0..100 {
        let starts = fleet.starts();
        for id in ["w0", "w1"] {
            let to_worker = starts.iter().filter(|(worker, _)| &**worker == id).count();
            assert!(to_worker <= MAX_CONNECTIONS / 2, "{to_worker} starts to {id} at a time");
        }
        let further = fleet.starts();
        assert!(further.is_empty() || starts.is_empty(), "{} before a reply", further.len());
        started += starts.len();
        starts.iter().for_each(|sent| fleet.reply_start(sent, Ok(1)));
    }
    assert_eq!(started, 1_000);
}
