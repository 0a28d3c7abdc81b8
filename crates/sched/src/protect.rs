use base::Name;
use cell::{Phase, Server, Task};

use crate::{Decision, Eviction, Plan, Speed, View};

/// Service time, as a multiple of the idle time, above which the baseline evicts.
const EVICT_FACTOR: f64 = 1.5;
/// Service time, as a fraction of the latency target, above which a neighbour is
/// throttled.
const THROTTLE_RATIO: f64 = 0.8;
/// Predicted service time, as a fraction of the latency target, below which a
/// throttled neighbour is restored to full speed.
const RESTORE_RATIO: f64 = 0.6;
/// Speed of a throttled task, in percent.
const THROTTLED_PERCENT: u64 = 50;
/// Excess service time, as a fraction, above which a neighbour counts as a cause.
const MIN_CAUSE_EXCESS: f64 = 0.05;

/// Throttles or evicts tasks that slow down a service, and evicts tasks from
/// servers that are leaving.
pub(crate) fn protect(view: &View<'_>, plan: &mut Plan) {
    for server in view.servers.values() {
        if server.leaving(view.now.unix) {
            drain(view, server, plan);
        } else if server.usable(view.now.unix) {
            limit_interference(view, server, plan);
        }
    }
}

fn running<'a>(view: &View<'a>, server: &Server) -> Vec<&'a Task> {
    let here = Phase::Running(server.id.clone());
    view.table.tasks.values().filter(|task| task.phase == here).collect()
}

fn drain(view: &View<'_>, server: &Server, plan: &mut Plan) {
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

/// Compares the last reported service time with the strictest latency target, and
/// throttles one task or restores one to full speed.
fn limit_interference(view: &View<'_>, server: &Server, plan: &mut Plan) {
    let (Some(time), Some(idle)) = (server.usage.service, view.estimates.idle_time()) else {
        return;
    };
    let tasks = running(view, server);
    if tasks.is_empty() {
        return;
    }
    let factor = time / idle.max(0.001);
    if !view.policy.throttle {
        return evict_newest(view, server, factor, &tasks, plan);
    }
    let Some(target) = view.document.services.iter().map(|s| s.target_ms).min() else { return };
    let ratio = time / target as f64;
    // Usage reports lag: a task that started after this one was measured did not
    // contribute to it.
    let measured = |task: &&Task| task.since < server.usage.asof;
    if ratio > THROTTLE_RATIO {
        let unthrottled = tasks.iter().copied().filter(measured).filter(|t| speed(view, t) == 100);
        let worst = unthrottled.max_by(|a, b| excess(view, a).total_cmp(&excess(view, b)));
        if let Some(task) = worst.filter(|t| excess(view, t) > MIN_CAUSE_EXCESS) {
            set_speed(task, server, THROTTLED_PERCENT, ratio, plan);
        }
    } else {
        let throttled = tasks.iter().copied().filter(|t| speed(view, t) < 100);
        let least = throttled.min_by(|a, b| excess(view, a).total_cmp(&excess(view, b)));
        if let Some(task) = least {
            let predicted = ratio + excess(view, task) * idle / target as f64 / 2.0;
            if predicted < RESTORE_RATIO {
                set_speed(task, server, 100, ratio, plan);
            }
        }
    }
}

/// Evicts the newest task of a server whose service is slow, as the baseline does.
fn evict_newest(view: &View<'_>, server: &Server, factor: f64, tasks: &[&Task], plan: &mut Plan) {
    let newest = tasks.iter().max_by_key(|task| task.since);
    if let Some(task) = newest
        && factor > EVICT_FACTOR
        && task.since < server.usage.asof
        && view.now.unix > task.since + 2000
    {
        evict(task, server, format!("service at {factor:.2} of idle, newest"), plan);
    }
}

/// Returns the estimated time that a task adds to service requests, as a fraction.
fn excess(view: &View<'_>, task: &Task) -> f64 {
    let kind = view.table.job(task).map(|job| job.kind.clone()).unwrap_or_else(|| Name::from(""));
    view.estimates.excess("service", &kind)
}

/// Returns the speed last requested for a task, in percent.
fn speed(view: &View<'_>, task: &Task) -> u64 {
    view.speeds.get(&task.id).copied().unwrap_or(100)
}

fn set_speed(task: &Task, server: &Server, percent: u64, ratio: f64, plan: &mut Plan) {
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
        why: format!("service at {ratio:.2} of its target, speed {percent}%"),
    });
}
