//! Tasks that wait although workers are idle.

#[allow(dead_code)]
mod world;

use std::collections::BTreeMap;

use base::{Millis, Name};
use job::{Step, TaskId};
use lead::Lead;
use world::{Faults, World, spec, step};

/// Seeds of each case.
const SEEDS: std::ops::Range<u64> = 1..7;
/// Number of workers, and the CPU of each in thousandths of a core.
const WORKERS: usize = 24;
const WORKER_CPU: u64 = 16_000;
/// Time without disturbance after which waits count, in milliseconds.
const CALM_AFTER: Millis = 4_000;
/// Longest wait beside idle workers, in milliseconds.
const MAX_WAIT: Millis = 3_000;
/// Time after the last crash for which waits are checked, in milliseconds.
const WATCH_TIME: Millis = 40_000;

/// Measures for how long each task waits while under half of the capacity is in use.
#[derive(Debug, Default)]
struct Watch {
    waits: BTreeMap<TaskId, Millis>,
    longest: Option<(Millis, TaskId)>,
}

impl Watch {
    /// Adds `elapsed` to the waits of the queued tasks if capacity for them is idle.
    fn observe(&mut self, world: &World, lead: &Lead, elapsed: Millis) {
        let up = world.workers.values().filter(|worker| worker.down_until <= world.now);
        let used: Vec<u64> = up.map(|w| w.runs.values().map(|run| run.cpu).sum()).collect();
        let total = WORKER_CPU * used.len() as u64;
        let idle = 2 * used.iter().sum::<u64>() < total;
        let mut waits = BTreeMap::new();
        for (id, cpu) in queued(lead) {
            let fitting = used.iter().filter(|used| WORKER_CPU - **used >= cpu).count();
            if idle && fitting >= 2 {
                let wait = self.waits.get(&id).copied().unwrap_or(0) + elapsed;
                if self.longest.as_ref().is_none_or(|(longest, _)| wait > *longest) {
                    self.longest = Some((wait, id.clone()));
                }
                waits.insert(id, wait);
            }
        }
        self.waits = waits;
    }
}

/// Returns the tasks in the queue, with the CPU that they request.
fn queued(lead: &Lead) -> Vec<(TaskId, u64)> {
    let mut queued = Vec::new();
    for job in lead.jobs.values().filter(|job| !job.is_terminal()) {
        for (occurrence, state) in &job.in_progress {
            for (number, step) in state.steps.iter().enumerate() {
                let cpu = job.spec.steps[number].size.cpu;
                for (index, _) in step.tasks.iter().enumerate().filter(|(_, task)| task.queued) {
                    let (step, index) = (number as u32, index as u32);
                    let id = TaskId { job: job.id.clone(), occurrence: *occurrence, step, index };
                    queued.push((id, cpu));
                }
            }
        }
    }
    queued
}

/// Fills the workers, crashes a share of them several times and returns the longest wait beside
/// idle workers once they are all back.
fn crash_and_watch(world: &mut World, case: &Case) -> Option<(Millis, TaskId)> {
    let mut jobs = 0;
    for _ in 0..case.waves {
        for _ in 0..case.jobs {
            world.submit(&format!("s{jobs:03}"), spec(case.step.clone()));
            jobs += 1;
            world.run(20);
        }
        world.run(case.age);
        let up = world.workers.values().filter(|worker| worker.down_until <= world.now);
        let up: Vec<Name> = up.map(|worker| worker.id.clone()).collect();
        let crashing = up.len() * case.share / 100;
        up.iter().take(crashing).for_each(|id| world.crash_worker(id));
        if case.take_over {
            world.take_over();
        }
        world.run(case.gap);
    }
    world.run(CALM_AFTER);
    let mut watch = Watch::default();
    let end = world.now + WATCH_TIME;
    while world.now < end {
        world.run(50);
        if let Some(lead) = &world.lead {
            watch.observe(world, lead, 50);
        }
    }
    watch.longest
}

#[derive(Debug, Clone)]
struct Case {
    name: &'static str,
    step: Step,
    /// Jobs submitted before each wave of crashes.
    jobs: usize,
    /// Age of the youngest runs at the crash, in milliseconds.
    age: Millis,
    waves: usize,
    /// Share of the workers that crash together, in percent.
    share: usize,
    /// Time between two waves, in milliseconds.
    gap: Millis,
    /// Whether another leader takes over after each wave.
    take_over: bool,
    renamed: bool,
}

/// A mass crash of workers left the tasks that were young on them waiting for isolated workers, a
/// few at a time, for over a minute beside idle workers.
#[test]
fn tasks_lost_in_mass_crashes_start_soon_beside_idle_workers() {
    let lasting = Step { long_running: true, ..step(8, 400, 1_000) };
    let case = mass_crash();
    let cases = [
        Case { name: "one wave", ..case.clone() },
        Case { name: "one wave, new identifiers", renamed: true, ..case.clone() },
        Case { name: "one wave, another leader", take_over: true, ..case.clone() },
        Case { name: "three waves", waves: 3, ..case.clone() },
        Case { name: "three waves, other leaders", waves: 3, take_over: true, ..case.clone() },
        Case { name: "a rack", share: 14, waves: 2, ..case.clone() },
        Case { name: "lasting tasks", step: lasting, waves: 2, jobs: 20, ..case },
    ];
    check(&cases);
}

/// Three crashes of one worker that no task had caused gave up sound jobs.
#[test]
fn a_worker_that_crashes_by_itself_gives_up_no_job() {
    let case = Case { name: "a worker", share: 5, waves: 3, ..mass_crash() };
    let lasting = Step { long_running: true, ..step(8, 400, 1_000) };
    let cases = [
        Case { name: "a worker, lasting tasks", step: lasting, jobs: 20, ..case.clone() },
        Case { name: "a worker, new identifiers", renamed: true, ..case.clone() },
        case,
    ];
    check(&cases);
}

fn mass_crash() -> Case {
    Case {
        name: "",
        step: step(8, 800, 3_000),
        jobs: 30,
        age: 150,
        waves: 1,
        share: 40,
        gap: 3_500,
        take_over: false,
        renamed: false,
    }
}

/// Plays cases with all seeds. No task waits too long beside idle workers, and no guarantee is
/// violated.
fn check(cases: &[Case]) {
    let mut faults = Vec::new();
    for case in cases {
        for seed in SEEDS {
            let mut world = World::open_sized(seed, &[WORKER_CPU; WORKERS], Faults::default());
            world.renamed = case.renamed;
            let longest = crash_and_watch(&mut world, case);
            let name = format!("{}, seed {seed}", case.name);
            if let Some(first) = world.violations.first() {
                faults.push(format!("{name}: {first}"));
            }
            if let Some((wait, task)) = longest.filter(|(wait, _)| *wait > MAX_WAIT) {
                faults.push(format!("{name}: {task} waits for {wait} ms beside idle workers"));
            }
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}
