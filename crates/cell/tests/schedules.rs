//! Runs random schedules of failures against the replicated state of a cell.
//! `SCHEDULES=N` sets their number and `SEED=N` the random seed; `TRACE=1` prints
//! the steps of a failing schedule.

mod sim;

use cell::Guards;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use crate::sim::Sim;

/// Number of steps in a schedule.
const LENGTH: usize = 300;
/// Time within which all accepted jobs must finish after all failures are
/// repaired, in milliseconds.
const SETTLE_LIMIT: u64 = 120_000;

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn run(guards: Guards, numbers: &[u16], settle: bool) -> Result<(), String> {
    let mut sim = Sim::open(guards);
    let mut steps = || {
        for number in numbers {
            sim.step(*number);
            sim.check()?;
        }
        if settle { sim.settle(SETTLE_LIMIT) } else { Ok(()) }
    };
    let result = steps();
    result.map_err(|e| format!("{e}\n{}", sim.trace.join("\n")))
}

fn quick(seed: u64, tests: u64) -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(LENGTH, seed)).tests(tests)
}

fn all_hold(numbers: Vec<u16>) -> TestResult {
    match run(Guards::ALL, &numbers, true) {
        Ok(()) => TestResult::passed(),
        Err(e) => TestResult::error(e),
    }
}

#[test]
fn invariants_hold_under_random_failures() {
    let (seed, tests) = (env_number("SEED", 1), env_number("SCHEDULES", 1500));
    quick(seed, tests).quickcheck(all_hold as fn(Vec<u16>) -> TestResult);
}

struct Weakened {
    name: &'static str,
    guards: Guards,
}

/// Disables one safeguard at a time and expects a violated invariant.
#[test]
fn every_safeguard_is_needed() {
    let all = Guards::ALL;
    let cases = [
        Weakened { name: "lease", guards: Guards { lease: false, ..all } },
        Weakened { name: "copy", guards: Guards { copy: false, ..all } },
        Weakened { name: "fence", guards: Guards { fence: false, ..all } },
        Weakened { name: "intent", guards: Guards { intent: false, ..all } },
        Weakened { name: "deadline", guards: Guards { deadline: false, ..all } },
        Weakened { name: "solo", guards: Guards { solo: false, ..all } },
        Weakened { name: "proof", guards: Guards { proof: false, ..all } },
    ];
    let mut missed = Vec::new();
    for case in cases {
        match caught(case.guards) {
            Some((schedules, fault)) => {
                println!("{}: caught after {schedules} schedules: {fault}", case.name);
            }
            None => missed.push(case.name),
        }
    }
    assert!(missed.is_empty(), "not caught: {missed:?}");
}

/// Returns the number of schedules until a weakened cell violated an invariant,
/// and the violation; `None` if none did.
fn caught(guards: Guards) -> Option<(u64, String)> {
    let limit = env_number("WEAKENED", 60_000);
    let mut random = Gen::from_size_and_seed(LENGTH, 7);
    for schedule in 1..=limit {
        let numbers = Vec::<u16>::arbitrary(&mut random);
        if let Err(fault) = run(guards, &numbers, false) {
            return Some((schedule, fault));
        }
    }
    None
}

/// Runs the schedule given as `NUMBERS=1,2,3`, to reproduce a failure.
#[test]
fn one_schedule() {
    let Ok(text) = std::env::var("NUMBERS") else { return };
    let numbers: Vec<u16> = text.split(',').filter_map(|n| n.trim().parse().ok()).collect();
    if let Err(e) = run(Guards::ALL, &numbers, true) {
        panic!("{e}");
    }
}
