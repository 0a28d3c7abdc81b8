use base::{Millis, Name, Now};
use job::{Job, Step};

use crate::Lead;

/// Factor of the objective beyond which a job earns nothing any more.
const LATE: u64 = 3;
/// Wait from which a lasting task goes before all others of its priority.
const OVERDUE: Millis = 4_000;
/// The same for a job that no longer earns and competes with lasting tasks for room,
/// so that it ends at some time.
const OVERDUE_LOST: Millis = 10_000;

/// Whether a job can still be shown as ended in time, the one to serve first in front.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timeliness {
    /// It has waited for so long that others wait for it.
    Overdue,
    /// It can.
    InTime,
    /// It will be late.
    Late,
    /// It has no end: it loses the moments that it waits, and no more.
    Lasting,
    /// It will be so late that it no longer matters when.
    Lost,
}

impl Lead {
    /// Jobs that wait, the one to serve first in front: by priority, then what can
    /// still be in time, then by the latest moment to start.
    pub(crate) fn order(&self, now: Now) -> Vec<Name> {
        let key = |job: &Job| {
            let (timeliness, latest) = self.urgency(job, now);
            (job.queue.priority, timeliness, latest)
        };
        let jobs = self.waiting.keys().filter_map(|id| self.jobs.get(id));
        let mut order: Vec<_> = jobs.map(|job| (key(job), &job.id)).collect();
        order.sort_unstable();
        order.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// Whether a job can be in time, and the latest moment to go on with it, or where
    /// that is past caring since when it has waited, in Unix milliseconds.
    fn urgency(&self, job: &Job, now: Now) -> (Timeliness, Millis) {
        let since = || now.unix.saturating_sub(self.longest_wait(&job.id, now));
        if job.spec.steps.iter().any(|step| step.lasting) {
            let since = since();
            return match now.unix >= since + OVERDUE {
                true => (Timeliness::Overdue, since),
                false => (Timeliness::Lasting, since),
            };
        }
        let chain = chain(&job.spec.steps, |_| true);
        let objective = (chain as f64 * job.queue.stretch) as Millis + job.queue.target;
        let occ = job.open.keys().next().copied().unwrap_or(0);
        let from = job.accepted.max(job.due(occ));
        let open = job.open.values().next();
        let left = chain_left(job, open);
        let timeliness = match now.unix + left {
            end if end <= from + objective => Timeliness::InTime,
            end if end <= from + LATE * objective => Timeliness::Late,
            _ => Timeliness::Lost,
        };
        let fills = job.spec.steps.iter().all(|step| step.fills);
        if timeliness == Timeliness::Lost && !fills && now.unix >= since() + OVERDUE_LOST {
            return (Timeliness::Overdue, since());
        }
        (timeliness, (from + objective).saturating_sub(left))
    }
}

/// Longest chain of estimates over the steps that count.
fn chain(steps: &[Step], counts: impl Fn(usize) -> bool) -> Millis {
    let mut ends: Vec<Millis> = Vec::with_capacity(steps.len());
    for (at, step) in steps.iter().enumerate() {
        let before = step.after.iter().map(|s| ends[*s as usize]).max().unwrap_or(0);
        let own = if counts(at) && !step.lasting { step.estimate } else { 0 };
        ends.push(before + own);
    }
    ends.into_iter().max().unwrap_or(0)
}

fn chain_left(job: &Job, open: Option<&job::Occurrence>) -> Millis {
    chain(&job.spec.steps, |at| open.is_none_or(|occ| occ.steps[at].left > 0))
}
