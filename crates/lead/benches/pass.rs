//! Times a placement pass of the leader over steps that wait for room on a full fleet, and prints
//! lines of `key=value` pairs.

#[allow(dead_code, unused_imports)]
#[path = "../tests/fleet/mod.rs"]
mod fleet;

use std::time::Instant;

use base::{Millis, Size};
use fleet::Fleet;
use job::{Spec, Step};

/// Workers, all of which are full.
const WORKERS: usize = 890;
/// CPU of a worker, in thousandths of a core.
const WORKER_CPU: u64 = 4_000;
/// Runs on each worker.
const WORKER_RUNS: u64 = 16;
/// Passes of each measurement.
const PASSES: usize = 60;
/// Time between two passes.
const PASS_INTERVAL: Millis = 10;
/// Kinds of steps that differ in what they ask for.
const SIZES: u64 = 500;

fn main() {
    for jobs in [0, 100, 1_000, 10_000] {
        for (name, sizes) in [("alike", 1), ("different", SIZES)] {
            for long_running in [false, true] {
                measure(jobs, name, sizes, long_running);
            }
        }
    }
}

fn spec(tasks: u32, cpu: u64, long_running: bool) -> Spec {
    let size = Size { cpu, memory: 1, accel: 0 };
    let step = Step { count: tasks, size, long_running, estimate: 1_000, ..Step::default() };
    Spec { text: "t".into(), steps: vec![step], repeat: None }
}

/// Measures passes over `jobs` jobs of one step each, which ask for `sizes` amounts of CPU.
fn measure(jobs: usize, name: &str, sizes: u64, long_running: bool) {
    let mut fleet = Fleet::open(WORKERS);
    let runs = WORKERS as u32 * WORKER_RUNS as u32;
    fleet.accept("full", spec(runs, WORKER_CPU / WORKER_RUNS, false));
    assert_eq!(fleet.start_waiting().len(), runs as usize);
    for n in 0..jobs {
        let cpu = WORKER_CPU - n as u64 % sizes;
        fleet.submit(&format!("j{n}"), spec(1, cpu, long_running));
    }
    fleet.store();
    let evaluated = fleet.lead.evaluations();
    let mut times = Vec::new();
    for _ in 0..PASSES {
        fleet.advance(PASS_INTERVAL);
        let (time, unclaimed_at) = (fleet.time(), fleet.now());
        let started = Instant::now();
        fleet.lead.tick(time, unclaimed_at);
        times.push(started.elapsed().as_secs_f64() * 1e6);
        fleet.lead.take_commands();
    }
    times.sort_by(f64::total_cmp);
    let compared = (fleet.lead.evaluations() - evaluated) / PASSES as u64;
    println!(
        "what=pass workers={WORKERS} jobs={jobs} steps={name} long_running={long_running} us_median={:.0} us_max={:.0} compared={compared}",
        times[PASSES / 2],
        times[PASSES - 1],
    );
}
