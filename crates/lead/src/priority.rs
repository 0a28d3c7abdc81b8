use base::{Millis, Name, Now};
use job::{Job, Step};

use crate::Lead;

/// Multiple of a job's objective after which its completion time no longer matters.
const LATE_FACTOR: u64 = 3;
/// Wait after which a long-running task goes before all others of its priority, in
/// milliseconds.
const LONG_RUNNING_MAX_WAIT: Millis = 4_000;
/// The same for a `Lost` job that competes with long-running tasks for capacity, so that it
/// completes eventually.
const LOST_MAX_WAIT: Millis = 10_000;

/// How a job stands against its deadline. Earlier variants are scheduled first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timeliness {
    /// It has waited so long that it goes before all others of its priority.
    Overdue,
    /// It can still finish within its objective.
    InTime,
    /// It will miss its objective.
    Late,
    /// It runs until it is cancelled: waiting costs it only the time waited.
    LongRunning,
    /// It is too late for its completion time to matter.
    Lost,
}

impl Lead {
    /// Returns the waiting jobs in scheduling order: by priority, then timeliness, then
    /// latest start time.
    pub(crate) fn scheduling_order(&self, now: Now) -> Vec<Name> {
        let key = |job: &Job| {
            let (timeliness, latest) = self.urgency(job, now);
            (job.queue.priority, timeliness, latest)
        };
        let jobs = self.waiting.keys().filter_map(|id| self.jobs.get(id));
        let mut order: Vec<_> = jobs.map(|job| (key(job), &job.id)).collect();
        order.sort_unstable();
        order.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// Returns a job's timeliness, and the time by which jobs of equal timeliness are sorted,
    /// in Unix milliseconds: the latest start that meets the objective, or the start of the
    /// wait for long-running and overdue jobs.
    fn urgency(&self, job: &Job, now: Now) -> (Timeliness, Millis) {
        let waited = self.longest_wait(&job.id, now);
        let since = now.unix.saturating_sub(waited);
        if job.spec.steps.iter().any(|step| step.long_running) {
            let overdue = waited >= LONG_RUNNING_MAX_WAIT
                || self.wait_is_inherited(job, now.mono.saturating_sub(waited));
            return match overdue {
                true => (Timeliness::Overdue, since),
                false => (Timeliness::LongRunning, since),
            };
        }
        let critical_path = critical_path(&job.spec.steps, |_| true);
        let objective = (critical_path as f64 * job.queue.stretch) as Millis + job.queue.allowance;
        let occ = job.in_progress.keys().next().copied().unwrap_or(0);
        let release = job.accepted_at.max(job.due(occ));
        let current = job.in_progress.values().next();
        let remaining = remaining_path(job, current);
        let timeliness = match now.unix + remaining {
            end if end <= release + objective => Timeliness::InTime,
            end if end <= release + LATE_FACTOR * objective => Timeliness::Late,
            _ => Timeliness::Lost,
        };
        let best_effort = job.spec.steps.iter().all(|step| step.best_effort);
        if timeliness == Timeliness::Lost && !best_effort && waited >= LOST_MAX_WAIT {
            return (Timeliness::Overdue, since);
        }
        (timeliness, (release + objective).saturating_sub(remaining))
    }
}

/// Returns the longest chain of estimated run times over the steps that count, in
/// milliseconds.
fn critical_path(steps: &[Step], counts: impl Fn(usize) -> bool) -> Millis {
    let mut ends: Vec<Millis> = Vec::with_capacity(steps.len());
    for (at, step) in steps.iter().enumerate() {
        let before = step.depends_on.iter().map(|s| ends[*s as usize]).max().unwrap_or(0);
        let own = if counts(at) && !step.long_running { step.estimate } else { 0 };
        ends.push(before + own);
    }
    ends.into_iter().max().unwrap_or(0)
}

fn remaining_path(job: &Job, current: Option<&job::Occurrence>) -> Millis {
    critical_path(&job.spec.steps, |at| current.is_none_or(|occ| occ.steps[at].remaining > 0))
}
