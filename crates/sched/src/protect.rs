use base::Name;
use cell::{Phase, Server, Task};

use crate::{Decision, Eviction, Plan, Speed, View};

/// Times the idle time at which the baseline evicts.
const SLOW_FACTOR: f64 = 1.5;
/// Part of the latency target at which neighbours of a service are slowed.
const SLOW_PART: f64 = 0.8;
/// Part of the target that must be kept for them to run freely again.
const FREE_PART: f64 = 0.6;
/// Speed of a throttled task, in percent.
const THROTTLED: u64 = 50;
/// Excess from which a neighbour counts as a cause.
const CAUSE_EXCESS: f64 = 0.05;

/// Slows or evicts tasks that stand in the way of a service, and moves tasks
/// away from servers that leave.
pub(crate) fn protect(view: &View<'_>, plan: &mut Plan) {
    for server in view.servers.values() {
        if server.leaving(view.now.unix) {
            vacate(view, server, plan);
        } else if server.usable(view.now.unix) {
            relieve(view, server, plan);
        }
    }
}

fn running<'a>(view: &View<'a>, server: &Server) -> Vec<&'a Task> {
    let here = Phase::Running(server.id.clone());
    view.table.tasks.values().filter(|task| task.phase == here).collect()
}

fn vacate(view: &View<'_>, server: &Server, plan: &mut Plan) {
    for task in running(view, server) {
        evict(task, server, "server leaves".to_owned(), plan);
    }
}

fn evict(task: &Task, server: &Server, why: String, plan: &mut Plan) {
    plan.evictions.push(Eviction { task: task.id.clone(), attempt: task.attempt });
    plan.decisions.push(Decision {
        what: "evict",
        task: task.id.clone(),
        candidates: 1,
        chosen: server.id.clone(),
        why,
    });
}

/// Compares the service's lagging time with its target.
fn relieve(view: &View<'_>, server: &Server, plan: &mut Plan) {
    let (Some(time), Some(idle)) = (server.usage.service, view.learn.idle()) else { return };
    let tasks = running(view, server);
    if tasks.is_empty() {
        return;
    }
    let factor = time / idle.max(0.001);
    if !view.policy.throttle {
        return relieve_plainly(view, server, factor, &tasks, plan);
    }
    let Some(target) = view.document.services.iter().map(|s| s.target_ms).min() else { return };
    let part = time / target as f64;
    // The report describes a moment before the newest change took effect.
    let settled = |task: &&Task| task.since < server.usage.asof;
    if part > SLOW_PART {
        let cause = tasks.iter().copied().filter(settled).filter(|t| speed(view, t) == 100);
        let worst = cause.max_by(|a, b| excess(view, a).total_cmp(&excess(view, b)));
        if let Some(task) = worst.filter(|t| excess(view, t) > CAUSE_EXCESS) {
            set_speed(task, server, THROTTLED, part, plan);
        }
    } else {
        let slowed = tasks.iter().copied().filter(|t| speed(view, t) < 100);
        let least = slowed.min_by(|a, b| excess(view, a).total_cmp(&excess(view, b)));
        if let Some(task) = least {
            let freed = part + excess(view, task) * idle / target as f64 / 2.0;
            if freed < FREE_PART {
                set_speed(task, server, 100, part, plan);
            }
        }
    }
}

/// The baseline: evict the newest.
fn relieve_plainly(
    view: &View<'_>,
    server: &Server,
    factor: f64,
    tasks: &[&Task],
    plan: &mut Plan,
) {
    let newest = tasks.iter().max_by_key(|task| task.since);
    if let Some(task) = newest
        && factor > SLOW_FACTOR
        && task.since < server.usage.asof
        && view.now.unix > task.since + 2000
    {
        evict(task, server, format!("service at {factor:.2} of idle, newest"), plan);
    }
}

fn excess(view: &View<'_>, task: &Task) -> f64 {
    let kind = view.table.job(task).map(|job| job.kind.clone()).unwrap_or_else(|| Name::from(""));
    view.learn.excess("service", &kind)
}

fn speed(view: &View<'_>, task: &Task) -> u64 {
    view.speeds.get(&task.id).copied().unwrap_or(100)
}

fn set_speed(task: &Task, server: &Server, percent: u64, part: f64, plan: &mut Plan) {
    plan.speeds.push(Speed {
        task: task.id.clone(),
        attempt: task.attempt,
        backend: server.id.clone(),
        percent,
    });
    plan.decisions.push(Decision {
        what: "throttle",
        task: task.id.clone(),
        candidates: 1,
        chosen: server.id.clone(),
        why: format!("service at {part:.2} of its target, speed {percent}%"),
    });
}
