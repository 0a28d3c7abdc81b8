use std::{collections::BTreeSet, net::SocketAddr};

use base::{Millis, Name, Now};
use job::{Crash, TaskId};

use crate::Lead;

/// Machines crashed by what can only have been one task, with confirmed starts, after which the
/// task is given up.
const MAX_SOLE_CRASHES: usize = 2;
/// The same with starts that were not confirmed.
const MAX_UNCONFIRMED_CRASHES: usize = 4;
/// Machines that crashed under a task, with confirmed starts, after which one that only it can have
/// crashed suffices.
const MAX_CONFIRMED_CRASHES: usize = 3;
/// The same with starts that were not confirmed.
const MAX_CRASHES: usize = 5;
/// Crashes that only one task can have caused, of whatever machines, after which it is given up.
const MAX_REPEATED_CRASHES: usize = 10;
/// Recent crashes under other tasks, for each worker, for which it takes one more crash to give up a
/// task.
const SPONTANEOUS_CRASHES: f64 = 0.5;
/// Limit of the additional crashes.
const MAX_MORE_CRASHES: usize = 2;
/// Time between the last replies, or the returns, of two workers within which they may have crashed
/// for the same reason, in milliseconds.
const MASS_WINDOW: Millis = 700;
/// Other workers that come back within [`MASS_WINDOW`] of a crashed one, from which the crash
/// is no evidence against any task.
const MASS_RETURNS: usize = 3;
/// How many of these must not have run a task that crashes had singled out.
const MIN_UNSUSPECTED_RETURNS: usize = 2;

/// A worker's return after a crash.
#[derive(Debug, Clone)]
pub(crate) struct Return {
    /// Address of the worker, which it keeps under another identifier, as in [`Crash::machine`].
    pub(crate) machine: Name,
    pub(crate) addr: SocketAddr,
    /// Incarnation that crashed.
    pub(crate) incarnation: u64,
    /// When the incarnation that crashed last replied; 0 if it has not replied to this leader.
    pub(crate) replied_at: Millis,
    /// When the next incarnation started, in Unix milliseconds.
    pub(crate) back_at: Millis,
    /// Tasks that may have caused the crash.
    pub(crate) candidates: Vec<TaskId>,
    /// Whether one of them had to run alone, as the likely cause of earlier crashes.
    pub(crate) suspected: bool,
}

impl Lead {
    /// Returns the crashes that a task, or its gang, may have caused.
    pub(crate) fn crashes_of(&self, id: &TaskId) -> Vec<&Crash> {
        let Some(job) = self.jobs.get(&id.job) else { return Vec::new() };
        let gang = job.step(id).filter(|step| step.gang).map(|step| step.count);
        let mut crashes: Vec<&Crash> = Vec::new();
        for index in gang.map_or(id.index..id.index + 1, |count| 0..count) {
            let of_task = job.task(&TaskId { index, ..id.clone() });
            for crash in of_task.into_iter().flat_map(|task| &task.crashes) {
                let same = |other: &&Crash| {
                    (&other.machine, other.incarnation) == (&crash.machine, crash.incarnation)
                };
                if !crashes.iter().any(same) {
                    crashes.push(crash);
                }
            }
        }
        crashes
    }

    /// Whether the crashes under a task prove that it crashes its workers. Crashes of one machine
    /// prove no more than one, but for a long series: it may crash by itself.
    pub(crate) fn is_proven_deadly(&self, id: &TaskId) -> bool {
        let crashes = self.crashes_of(id);
        let sole: Vec<&Crash> =
            crashes.iter().copied().filter(|crash| self.is_sole(crash, crashes.len())).collect();
        if sole.is_empty() {
            return false;
        }
        let confirmed = |crashes: &[&Crash]| {
            let confirmed = crashes.iter().copied().filter(|crash| crash.confirmed);
            count_machines(confirmed)
        };
        let more = self.more_crashes(id);
        let (all_sole, confirmed_sole) = (count_machines(sole.iter().copied()), confirmed(&sole));
        let all = count_machines(crashes.iter().copied());
        confirmed_sole >= MAX_SOLE_CRASHES + more
            || all_sole >= MAX_UNCONFIRMED_CRASHES + more
            || (confirmed_sole > more && confirmed(&crashes) >= MAX_CONFIRMED_CRASHES + more)
            || (all_sole > more && all >= MAX_CRASHES + more)
            || sole.len() >= MAX_REPEATED_CRASHES
    }

    /// Whether a crash that is not one of many can only have been caused by a task.
    pub(crate) fn is_sole_cause(&self, id: &TaskId) -> bool {
        let crashes = self.crashes_of(id);
        crashes.iter().any(|crash| self.is_sole(crash, crashes.len()))
    }

    fn is_sole(&self, crash: &Crash, blamed: usize) -> bool {
        crash.sole && !self.is_mass(crash, blamed)
    }

    /// Whether crashes single a task out as their likely cause.
    pub(crate) fn is_singled_out(&self, id: &TaskId) -> bool {
        self.crashes_of(id).len() > 1 || self.is_sole_cause(id)
    }

    /// Returns the addresses of the machines that have crashed under a task.
    pub(crate) fn tried_machines(&self, id: &TaskId) -> Vec<SocketAddr> {
        self.crashes_of(id).iter().filter_map(|crash| crash.machine.parse().ok()).collect()
    }

    /// Returns how many more crashes than usual it takes to give up a task, since workers have
    /// crashed often lately under neither it nor one that was given up.
    fn more_crashes(&self, id: &TaskId) -> usize {
        let given_up = |other: &TaskId| self.jobs.get(&other.job).is_some_and(|job| job.failed);
        let explained =
            |back: &&Return| back.candidates.iter().any(|other| other == id || given_up(other));
        let others = self.returns.iter().filter(|back| !explained(back)).count();
        let share = others as f64 / self.workers.len().max(1) as f64;
        MAX_MORE_CRASHES.min((share / SPONTANEOUS_CRASHES) as usize)
    }

    /// Whether other workers crashed together with the one that a task may have crashed. Some of
    /// them must have crashed without a task that has to run alone, since several such tasks may
    /// start at the same time; not so soon after another mass crash, unless `blamed` crashes are too
    /// many for that.
    pub(crate) fn is_mass(&self, crash: &Crash, blamed: usize) -> bool {
        let Some(own) = self.return_of(crash) else { return false };
        let (together, unsuspected) = self.count_returns(own);
        let again = || {
            blamed < MAX_CRASHES
                && self.returns.iter().any(|back| {
                    back.back_at + MASS_WINDOW < own.back_at
                        && self.count_returns(back).1 >= MASS_RETURNS
                })
        };
        together >= MASS_RETURNS && (unsuspected >= MIN_UNSUSPECTED_RETURNS || again())
    }

    /// Counts the other workers that came back together with one, and those among them without a
    /// task that had to run alone.
    fn count_returns(&self, own: &Return) -> (usize, usize) {
        let together =
            self.returns.iter().filter(|back| back.machine != own.machine && back.is_together(own));
        let unsuspected = together.clone().filter(|back| !back.suspected);
        (together.clone().count(), unsuspected.count())
    }

    /// Whether other workers may still come back that crashed together with the last one under
    /// a task.
    pub(crate) fn may_turn_out_mass(&self, id: &TaskId, now: Now) -> bool {
        let crashes = self.crashes_of(id);
        let backs = crashes.iter().filter_map(|crash| self.return_of(crash));
        backs.map(|back| back.back_at).max().is_some_and(|at| now.unix < at + MASS_WINDOW)
    }

    fn return_of(&self, crash: &Crash) -> Option<&Return> {
        self.returns
            .iter()
            .find(|back| (&back.machine, back.incarnation) == (&crash.machine, crash.incarnation))
    }
}

/// Counts the machines that crashed.
fn count_machines<'a>(crashes: impl Iterator<Item = &'a Crash>) -> usize {
    crashes.map(|crash| &crash.machine).collect::<BTreeSet<&Name>>().len()
}

impl Return {
    /// Whether two workers may have crashed at the same time: they were last heard of, or came
    /// back, together.
    fn is_together(&self, other: &Return) -> bool {
        let heard = self.replied_at > 0 && other.replied_at > 0;
        (heard && self.replied_at.abs_diff(other.replied_at) <= MASS_WINDOW)
            || self.back_at.abs_diff(other.back_at) <= MASS_WINDOW
    }
}
