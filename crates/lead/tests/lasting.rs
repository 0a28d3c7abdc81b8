//! Long-running tasks that are down while there is capacity for them.

#[allow(dead_code)]
mod fleet;

use base::{Name, Size};
use fleet::{Fleet, Sent};
use job::{Spec, Step};
use lead::Command;
use port::Outcome;

/// Order of the waiting jobs' deadlines: a job with a longer estimate comes later.
const EARLY: u64 = 20_000;
const LATE: u64 = 100_000;

fn step(count: u32, cpu: u64, estimate: u64) -> Step {
    let size = Size { cpu, memory: 100, accel: 0 };
    Step { count, size, estimate, ..Step::default() }
}

fn service(count: u32, cpu: u64) -> Step {
    let step = step(count, cpu, 0);
    Step { long_running: true, latency_target: 50, image: "web".into(), per_worker: 1, ..step }
}

fn spec(step: Step) -> Spec {
    Spec { text: "t".into(), steps: vec![step], repeat: None }
}

/// Runs a service on workers with 4,000 thousandths of a core each and returns its starts.
fn run_service(fleet: &mut Fleet, service: Step) -> Vec<Sent> {
    fleet.accept("s", spec(service));
    let sent = fleet.starts();
    for one in &sent {
        fleet.reply_start(one, Ok(1));
        fleet.list_at(&one.0, &one.1, 100);
    }
    sent
}

/// Confirms that a run has been stopped, and returns the workers and jobs of the next starts.
fn starts_after(fleet: &mut Fleet, stopped: &Sent) -> Vec<(Name, Name)> {
    fleet.list(&stopped.0, &[], &[(1, &stopped.1, Outcome::Stopped)]);
    fleet.starts().into_iter().map(|(worker, start)| (worker, start.task.job)).collect()
}

/// Guards against capacity that stays reserved for a step and unused while long-running tasks are
/// down: the step was skipped for lack of capacity elsewhere.
#[test]
fn a_step_uses_the_worker_reserved_for_it_whatever_others_lack() {
    struct Case {
        name: &'static str,
        /// Jobs that come first in the scheduling order and cannot be placed.
        ahead: usize,
        step: Step,
    }
    let cases = [
        Case { name: "a smaller step", ahead: 1, step: step(1, 2_800, EARLY) },
        Case {
            name: "many steps",
            ahead: 60,
            step: Step { requires: Some("a".into()), ..step(1, 2_800, EARLY) },
        },
    ];
    for case in cases {
        let mut fleet = Fleet::open(3);
        let sent = run_service(&mut fleet, service(3, 2_500));
        fleet.accept("large", spec(step(1, 3_000, LATE)));
        let stopped = (0..6).flat_map(|_| fleet.stops()).next().expect("a preempted run");
        let stopped = sent.iter().find(|(_, s)| s.run == stopped.run).expect("a run");
        for n in 0..case.ahead {
            fleet.accept(&format!("ahead-{n}"), spec(case.step.clone()));
        }
        let started = starts_after(&mut fleet, stopped);
        assert_eq!(started, [(stopped.0.clone(), "large".into())], "{}", case.name);
    }
}

/// Guards against long-running tasks that wait behind plain ones anew after each takeover.
#[test]
fn inherited_long_running_tasks_start_before_plain_ones() {
    struct Case {
        name: &'static str,
        takeover: bool,
        first: &'static str,
    }
    let cases = [
        Case { name: "after a takeover", takeover: true, first: "down" },
        Case { name: "waiting for less than 4 s", takeover: false, first: "plain" },
    ];
    for case in cases {
        let mut fleet = Fleet::open(1);
        let sent = run_service(&mut fleet, service(1, 2_500));
        fleet.accept("down", spec(service(1, 3_000)));
        fleet.commands();
        if case.takeover {
            fleet.take_over();
            fleet.meet_with(&sent[0]);
        }
        fleet.accept("plain", spec(step(1, 3_000, LATE)));
        fleet.cancel("s");
        let stops = fleet.commands();
        assert!(stops.iter().any(|c| matches!(c, Command::Stop(..))), "{}", case.name);
        let started = starts_after(&mut fleet, &sent[0]);
        assert_eq!(started, [(sent[0].0.clone(), case.first.into())], "{}", case.name);
    }
}

/// Whether a step starts within 3 s on idle workers though many steps that no worker can run come
/// first.
fn starts_behind(lost: Step, sound: Step) -> bool {
    let mut fleet = Fleet::open(3);
    for n in 0..200 {
        let lost = Step { requires: Some("z".into()), ..lost.clone() };
        fleet.accept(&format!("lost-{n:03}"), spec(lost));
    }
    fleet.commands();
    fleet.accept("sound", spec(sound));
    (0..75).any(|_| fleet.starts().iter().any(|(_, start)| &*start.task.job == "sound"))
}

/// Guards against sound plain tasks that never start, since many jobs that no worker can run come
/// first.
#[test]
fn plain_steps_without_a_worker_do_not_hold_up_others() {
    assert!(starts_behind(step(1, 100, EARLY), step(1, 100, LATE)));
}

/// The same for the other kinds of tasks, for which no worker is reserved.
#[test]
fn steps_without_a_worker_do_not_hold_up_others_of_their_kind() {
    let fill = |estimate| Step { best_effort: true, ..step(1, 100, estimate) };
    let cases = [
        ("long-running", service(1, 100), service(1, 100)),
        ("best-effort", fill(EARLY), fill(LATE)),
    ];
    let waiting =
        cases.into_iter().filter(|(_, lost, sound)| !starts_behind(lost.clone(), sound.clone()));
    let waiting: Vec<&str> = waiting.map(|(name, ..)| name).collect();
    assert!(waiting.is_empty(), "waiting for 3 s: {waiting:?}");
}
