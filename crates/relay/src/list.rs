use std::collections::BTreeMap;

use job::TaskId;
use port::{PollReply, RunStatus};

use crate::msg::ListChange;

/// Change of progress, in percent, from which a run is reported again.
const PROGRESS_STEP: u32 = 10;
/// Progress of a long-running task that is at work; its metric is a latency that the leader
/// follows.
const AT_WORK: u32 = 100;

/// A worker's list of runs as last reported. The relay and the leader hold equal copies.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct RunList {
    runs: BTreeMap<(TaskId, u64), RunStatus>,
    incarnation: Option<u64>,
    reported: bool,
}

impl RunList {
    /// Returns the difference between a worker's reply and this list, and adopts it.
    pub(crate) fn diff(&mut self, reply: PollReply) -> ListChange {
        let whole = !self.reported || self.incarnation != reply.incarnation;
        if whole {
            self.runs.clear();
        }
        self.reported = true;
        self.incarnation = reply.incarnation;
        let listed: BTreeMap<(TaskId, u64), RunStatus> =
            reply.running.into_iter().map(|row| ((row.task.clone(), row.run), row)).collect();
        let gone: Vec<(TaskId, u64)> =
            self.runs.keys().filter(|key| !listed.contains_key(key)).cloned().collect();
        let differs = |key: &(TaskId, u64), row: &RunStatus| {
            self.runs.get(key).is_none_or(|before| is_change(before, row))
        };
        let changed: Vec<RunStatus> = listed
            .iter()
            .filter(|(key, row)| differs(key, row))
            .map(|(_, row)| row.clone())
            .collect();
        let change = ListChange {
            clock: reply.clock,
            incarnation: reply.incarnation,
            whole,
            changed,
            gone,
            completions: reply.completions,
        };
        self.apply_runs(&change);
        change
    }

    /// Applies a difference, and returns the worker's reply with the whole list; `None` before
    /// the first whole list.
    pub(crate) fn apply(&mut self, change: ListChange) -> Option<PollReply> {
        self.reported |= change.whole;
        if !self.reported {
            return None;
        }
        self.apply_runs(&change);
        Some(PollReply {
            clock: change.clock,
            incarnation: change.incarnation,
            running: self.runs.values().cloned().collect(),
            completions: change.completions,
        })
    }

    fn apply_runs(&mut self, change: &ListChange) {
        if change.whole {
            self.runs.clear();
        }
        for key in &change.gone {
            self.runs.remove(key);
        }
        for row in &change.changed {
            self.runs.insert((row.task.clone(), row.run), row.clone());
        }
    }
}

/// Returns whether a run has changed so much that the leader has to know.
fn is_change(before: &RunStatus, after: &RunStatus) -> bool {
    let at_work = after.percent >= AT_WORK;
    before.checkpoint != after.checkpoint
        || before.percent.abs_diff(after.percent) >= PROGRESS_STEP
        || at_work != (before.percent >= AT_WORK)
        || at_work && before.metric != after.metric
}
