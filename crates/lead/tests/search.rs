//! How many workers a placement pass looks at on a full fleet with many waiting steps.

#[allow(dead_code)]
mod world;

use base::Millis;
use lead::Lead;
use world::{Faults, World, spec, step};

/// Workers of the fleet, all of which are full.
const WORKERS: usize = 300;
/// Steps that wait, each of another size.
const STEPS: u64 = 40;

/// Returns a fleet full of tasks that take `ms`, and steps that wait for a worker.
fn full_fleet(ms: Millis) -> World {
    let mut world = World::open(1, WORKERS, Faults::default());
    world.run(300);
    world.submit("fill", spec(step(WORKERS as u32, 3_500, ms)));
    world.run(300);
    for number in 0..STEPS {
        world.submit(&format!("wait{number:02}"), spec(step(1, 3_000 - 10 * number, 5_000)));
    }
    world.run(100);
    world
}

fn lead(world: &World) -> &Lead {
    world.lead.as_ref().expect("a leader")
}

#[test]
fn waiting_steps_are_not_compared_with_workers_that_have_not_changed() {
    let mut world = full_fleet(600_000);
    let before = lead(&world).evaluations();
    let rounds = 50;
    world.run(rounds * 10);
    let per_round = (lead(&world).evaluations() - before) / rounds;
    // All workers are searched for a step every 200 ms, which is every 20th round.
    let bound = WORKERS as u64 * STEPS / 20 * 2;
    assert!(per_round <= bound, "{per_round} workers looked at each round, bound {bound}");
}

#[test]
fn a_step_is_placed_at_once_on_a_worker_that_has_become_free() {
    let mut world = full_fleet(2_000);
    let running = |world: &World, job: &str| {
        let runs = lead(world).workers.values().flat_map(|worker| worker.runs.keys());
        runs.filter(|task| task.job.starts_with(job)).count()
    };
    let all = running(&world, "fill");
    while running(&world, "fill") == all {
        assert_eq!(running(&world, "wait"), 0);
        world.run(10);
    }
    world.run(10);
    assert!(running(&world, "wait") > 0, "no step has started");
}
