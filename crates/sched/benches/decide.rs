//! Times the decision functions without I/O and prints lines of `key=value` pairs:
//! scheduling steps by number of servers and of teams, and routes by number of
//! targets.

use std::{collections::BTreeMap, time::Instant};

use base::{Name, Now, Size};
use cell::{Job, Op, Server, Table};
use conf::{Class, Document, Team};
use rand::{SeedableRng, rngs::StdRng};
use route::{Features, Target, Targets, Tier};
use sched::{Estimates, Policy, View, plan};

/// Running tasks on each server.
const RUNNING_TASKS: usize = 25;
/// Waiting tasks that one step starts.
const WAITING_TASKS: usize = 50;
/// Repetitions of each measurement; the median is printed.
const ROUNDS: usize = 15;

fn main() {
    for servers in [5, 10, 20, 200, 700, 2200] {
        let median = place(servers, 36);
        println!("what=place servers={servers} teams=36 us_per_start={median:.2}");
    }
    for teams in [36, 120, 360] {
        let median = place(10, teams);
        println!("what=place servers=10 teams={teams} us_per_start={median:.2}");
    }
    for targets in [10, 200, 700, 2200] {
        println!("what=route targets={targets} us_per_route={:.3}", route(targets));
    }
}

fn median(mut times: Vec<f64>) -> f64 {
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

fn job(id: String, team: usize, tasks: u32) -> Job {
    Job {
        id: id.into(),
        team: format!("t{team}").into(),
        kind: format!("k{}", team % 20).into(),
        class: Class::Normal,
        size: Size { cpu: 500, memory: 1000, accel: 0 },
        work: 60_000,
        tasks,
        attempts: 3,
        submitted: team as u64,
        command: "".into(),
    }
}

/// Returns the median time of a scheduling step per started task, in microseconds.
fn place(servers: usize, teams: usize) -> f64 {
    let now = Now { mono: 1_000_000, unix: 1_000_000 };
    let mut table = Table::default();
    let mut server_map = BTreeMap::new();
    for s in 0..servers {
        let id = Name::from(format!("b{s}"));
        let size = Size { cpu: 32_000, memory: 100_000, accel: 1 };
        let mut server = Server::open(id.clone(), ([127, 0, 0, 1], 1).into(), size);
        server.listed = Some(1);
        server_map.insert(id.clone(), server);
        let running = job(format!("r{s}"), s % teams, RUNNING_TASKS as u32);
        table.apply(&Op::Submit(running), 0);
        for i in 0..RUNNING_TASKS {
            let task = Name::from(format!("r{s}#{i}"));
            let op = Op::Assign { task: task.clone(), attempt: 1, backend: id.clone() };
            table.apply(&op, 0);
            table.apply(&Op::Started { task, attempt: 1 }, 0);
        }
    }
    for q in 0..WAITING_TASKS {
        let waiting = job(format!("q{q}"), q % teams, 1);
        let id = waiting.id.clone();
        table.apply(&Op::Submit(waiting), 0);
        table.apply(&Op::Accept(id), 0);
    }
    let quota = Size { cpu: 1 << 40, memory: 1 << 40, accel: 1 << 40 };
    let team = |t| Team { name: format!("t{t}").into(), weight: 1, quota };
    let document = Document { teams: (0..teams).map(team).collect(), ..Document::default() };
    let view = View {
        table: &table,
        servers: &server_map,
        document: &document,
        remote_usage: &BTreeMap::new(),
        estimates: &Estimates::default(),
        speeds: &BTreeMap::new(),
        policy: Policy::FULL,
        now,
    };
    let times = (0..ROUNDS).map(|_| {
        let start = Instant::now();
        let assigned = plan(&view).assignments.len();
        start.elapsed().as_secs_f64() * 1e6 / assigned.max(1) as f64
    });
    median(times.collect())
}

/// Returns the median time of one routing decision, in microseconds.
fn route(count: usize) -> f64 {
    let mut targets = Targets::default();
    for t in 0..count {
        let cell = Name::from(format!("d.{}", t / 10));
        let mut target = Target::new(([127, 0, 0, 1], 1).into(), cell, Tier::Domain);
        target.slots = 1;
        targets.by_id.insert(format!("b{t}").into(), target);
    }
    targets.refresh();
    let mut rng = StdRng::seed_from_u64(1);
    let times = (0..ROUNDS).map(|_| {
        let start = Instant::now();
        for _ in 0..200 {
            if let Some(pick) = targets.pick(1, &[], Features::FULL, &mut rng) {
                targets.release(&pick.backend);
            }
        }
        start.elapsed().as_secs_f64() * 1e6 / 200.0
    });
    median(times.collect())
}
