use std::collections::{BTreeMap, BTreeSet};

use base::{Millis, Name, Size};
use serde::{Deserialize, Serialize};

use crate::{Credits, Job, Op, Outcome};

/// Prefix of the keys that map a job's identifier to its cell.
pub const JOB_KEY: &str = "job:";
/// Additional retention of job keys compared with other keys: 30 days, in
/// milliseconds.
const EXTRA_JOB_KEY_RETENTION: Millis = 30 * 24 * 3_600_000;

/// Reason why a task is parked; empty if it is not.
pub type Parking = Name;

/// Phase of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Waits to be placed on a backend server.
    Queued,
    /// Fits on no server of the cell, for the given reason.
    Parked(Parking),
    /// A start has been or is about to be sent to a backend server.
    Assigned(Name),
    /// Runs on a backend server.
    Running(Name),
    /// A checkpoint and stop has been or is about to be sent.
    Stopping(Name),
    /// May run on any server of the cell, after the loss of both copies of the
    /// table.
    Unlocated,
    /// Succeeded.
    Finished,
    /// Failed in as many attempts as the job allows.
    Failed,
    /// Cancelled, and confirmed not to run.
    Cancelled,
}

/// One task of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Identifier, `JOB#INDEX`.
    pub id: Name,
    /// Identifier of the job.
    pub job: Name,
    /// Current phase.
    pub phase: Phase,
    /// Number of the newest attempt; 0 before the first.
    pub attempt: u32,
    /// Work completed by earlier attempts, in milliseconds on an idle server.
    pub checkpoint: Millis,
    /// Number of failed attempts.
    pub failures: u32,
    /// Number of evictions.
    pub evictions: u32,
    /// Start of the current phase, in Unix milliseconds.
    pub since: Millis,
}

impl Task {
    /// Returns the backend server on which the task holds resources.
    pub fn backend(&self) -> Option<&Name> {
        match &self.phase {
            Phase::Assigned(b) | Phase::Running(b) | Phase::Stopping(b) => Some(b),
            _ => None,
        }
    }

    /// Returns whether the task has finished, failed or been cancelled.
    pub fn ended(&self) -> bool {
        matches!(self.phase, Phase::Finished | Phase::Failed | Phase::Cancelled)
    }
}

/// Entry of a non-idempotent request, stored under its idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyEntry {
    /// Hash of service and body.
    pub digest: u64,
    /// Time of entry, in Unix milliseconds.
    pub at: Millis,
    /// Outcome of the request; `None` until it is settled.
    pub outcome: Option<Outcome>,
}

/// State of a cell, replicated from its primary to its backup.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Jobs by identifier, each with a flag for whether it is accepted.
    pub jobs: BTreeMap<Name, (Job, bool)>,
    /// Identifiers of cancelled jobs.
    pub cancelled: BTreeSet<Name>,
    /// Tasks by identifier.
    pub tasks: BTreeMap<Name, Task>,
    /// Slots held by routers.
    pub credits: Credits,
    /// Non-idempotent requests by key.
    pub keys: BTreeMap<Name, KeyEntry>,
}

impl Table {
    /// Applies a change at `now`, in Unix milliseconds. A change that does not
    /// fit the state, such as a repeated one, has no effect. Returns whether the
    /// table changed.
    pub fn apply(&mut self, op: &Op, now: Millis) -> bool {
        match op {
            Op::Submit(job) => self.submit(job, now),
            Op::Accept(job) => match self.jobs.get_mut(job) {
                Some((_, accepted)) => !std::mem::replace(accepted, true),
                None => false,
            },
            Op::Cancel(job) => self.cancel(job, now),
            Op::Park { task, reason } => self.park(task, reason, now),
            Op::Assign { task, attempt, backend } => self.assign(task, *attempt, backend, now),
            Op::Started { task, attempt } => self.started(task, *attempt, now),
            Op::Adopt { task, attempt, backend } => self.adopt(task, *attempt, backend, now),
            Op::Checkpoint { task, checkpoint } => match self.tasks.get_mut(task) {
                Some(task) if !task.ended() && task.checkpoint < *checkpoint => {
                    task.checkpoint = *checkpoint;
                    true
                }
                _ => false,
            },
            Op::Evict { task, attempt } => self.evict(task, *attempt, now),
            Op::Ended { task, attempt, checkpoint, evicted } => {
                self.end(task, *attempt, *checkpoint, *evicted, now)
            }
            Op::Done { task, attempt, ok } => self.done(task, *attempt, *ok, now),
            Op::Grant { backend, router, slots } => self.credits.set(backend, router, *slots),
            Op::Enter { key, digest, at } => {
                let entry = KeyEntry { digest: *digest, at: *at, outcome: None };
                let vacant = !self.keys.contains_key(key);
                if vacant {
                    self.keys.insert(key.clone(), entry);
                }
                vacant
            }
            Op::Settle { key, outcome } => match self.keys.get_mut(key) {
                Some(entry) if entry.outcome.is_none() => {
                    entry.outcome = Some(outcome.clone());
                    true
                }
                _ => false,
            },
        }
    }

    /// Returns the resources that tasks hold on a backend server.
    pub fn committed(&self, backend: &str) -> Size {
        let here = |task: &&Task| task.backend().is_some_and(|b| &**b == backend);
        self.tasks.values().filter(here).fold(Size::ZERO, |sum, t| sum.plus(self.size(t)))
    }

    /// Returns the resources that tasks hold, by backend server.
    pub fn commitments(&self) -> BTreeMap<Name, Size> {
        let mut sums: BTreeMap<Name, Size> = BTreeMap::new();
        for task in self.tasks.values() {
            if let Some(backend) = task.backend() {
                let sum = sums.entry(backend.clone()).or_default();
                *sum = sum.plus(self.size(task));
            }
        }
        sums
    }

    /// Returns the declared size of a task; zero if its job is unknown.
    pub fn size(&self, task: &Task) -> Size {
        self.jobs.get(&task.job).map_or(Size::ZERO, |(job, _)| job.size)
    }

    /// Returns the job of a task.
    pub fn job(&self, task: &Task) -> Option<&Job> {
        self.jobs.get(&task.job).map(|(job, _)| job)
    }

    /// Marks every task that has not ended as [`Phase::Unlocated`], in a table
    /// rebuilt from the log alone. Attempt numbers are raised to at least
    /// `floor`, so that new attempts get greater ones.
    pub fn unlocate(&mut self, floor: u32) {
        for task in self.tasks.values_mut().filter(|t| !t.ended()) {
            task.phase = Phase::Unlocated;
            task.attempt = task.attempt.max(floor);
        }
    }

    /// Removes jobs whose tasks all ended before `before` and settled keys
    /// entered before `before`. Settled job keys may refer to jobs that still
    /// run and are kept for `EXTRA_JOB_KEY_RETENTION` longer.
    pub fn forget(&mut self, before: Millis) {
        let mut live: BTreeSet<Name> = BTreeSet::new();
        for task in self.tasks.values() {
            if !task.ended() || task.since >= before {
                live.insert(task.job.clone());
            }
        }
        self.jobs.retain(|id, (job, _)| live.contains(id) || job.submitted >= before);
        let jobs = &self.jobs;
        self.tasks.retain(|_, task| jobs.contains_key(&task.job));
        self.cancelled.retain(|id| jobs.contains_key(id));
        self.keys.retain(|key, entry| {
            let extra = if key.starts_with(JOB_KEY) { EXTRA_JOB_KEY_RETENTION } else { 0 };
            entry.outcome.is_none() || entry.at + extra >= before
        });
    }

    fn submit(&mut self, job: &Job, now: Millis) -> bool {
        if self.jobs.contains_key(&job.id) {
            return false;
        }
        for i in 0..job.tasks {
            let id = Name::from(format!("{}#{i}", job.id));
            let task = Task {
                id: id.clone(),
                job: job.id.clone(),
                phase: Phase::Queued,
                attempt: 0,
                checkpoint: 0,
                failures: 0,
                evictions: 0,
                since: now,
            };
            self.tasks.insert(id, task);
        }
        self.jobs.insert(job.id.clone(), (job.clone(), false));
        true
    }

    fn cancel(&mut self, job: &Name, now: Millis) -> bool {
        if !self.jobs.contains_key(job) || !self.cancelled.insert(job.clone()) {
            return false;
        }
        for task in self.tasks.values_mut().filter(|t| t.job == *job) {
            let phase = match &task.phase {
                Phase::Queued | Phase::Parked(_) => Phase::Cancelled,
                Phase::Running(backend) => Phase::Stopping(backend.clone()),
                // The start of an assigned task may have been sent: `started` stops it.
                _ => continue,
            };
            task.phase = phase;
            task.since = now;
        }
        true
    }

    fn park(&mut self, task: &Name, reason: &Name, now: Millis) -> bool {
        let Some(task) = self.tasks.get_mut(task) else { return false };
        let phase = if reason.is_empty() { Phase::Queued } else { Phase::Parked(reason.clone()) };
        let waits = matches!(task.phase, Phase::Queued | Phase::Parked(_));
        if !waits || task.phase == phase {
            return false;
        }
        task.phase = phase;
        task.since = now;
        true
    }

    fn assign(&mut self, task: &Name, attempt: u32, backend: &Name, now: Millis) -> bool {
        let Some(task) = self.tasks.get_mut(task) else { return false };
        let waits = matches!(task.phase, Phase::Queued | Phase::Unlocated);
        if !waits || attempt <= task.attempt {
            return false;
        }
        task.attempt = attempt;
        task.phase = Phase::Assigned(backend.clone());
        task.since = now;
        true
    }

    fn started(&mut self, task: &Name, attempt: u32, now: Millis) -> bool {
        let Some(task) = self.tasks.get_mut(task) else { return false };
        match &task.phase {
            Phase::Assigned(backend) if task.attempt == attempt => {
                task.phase = match self.cancelled.contains(&task.job) {
                    true => Phase::Stopping(backend.clone()),
                    false => Phase::Running(backend.clone()),
                };
                task.since = now;
                true
            }
            _ => false,
        }
    }

    fn adopt(&mut self, task: &Name, attempt: u32, backend: &Name, now: Millis) -> bool {
        let Some(task) = self.tasks.get_mut(task) else { return false };
        if task.phase != Phase::Unlocated {
            return false;
        }
        task.attempt = attempt;
        task.phase = match self.cancelled.contains(&task.job) {
            true => Phase::Stopping(backend.clone()),
            false => Phase::Running(backend.clone()),
        };
        task.since = now;
        true
    }

    fn evict(&mut self, task: &Name, attempt: u32, now: Millis) -> bool {
        let Some(task) = self.tasks.get_mut(task) else { return false };
        match &task.phase {
            Phase::Running(backend) if task.attempt == attempt => {
                task.phase = Phase::Stopping(backend.clone());
                task.since = now;
                true
            }
            _ => false,
        }
    }

    /// Records that the attempt does not run: the task waits for its next
    /// attempt.
    fn end(
        &mut self,
        task: &Name,
        attempt: u32,
        checkpoint: Millis,
        evicted: bool,
        now: Millis,
    ) -> bool {
        let Some(task) = self.tasks.get_mut(task) else { return false };
        if task.ended() || attempt < task.attempt {
            return false;
        }
        if matches!(task.phase, Phase::Queued) && attempt == task.attempt && attempt > 0 {
            return false;
        }
        task.attempt = attempt;
        task.checkpoint = task.checkpoint.max(checkpoint);
        task.evictions += u32::from(evicted);
        task.since = now;
        task.phase = match self.cancelled.contains(&task.job) {
            true => Phase::Cancelled,
            false => Phase::Queued,
        };
        true
    }

    fn done(&mut self, task: &Name, attempt: u32, ok: bool, now: Millis) -> bool {
        let Some(task) = self.tasks.get_mut(task) else { return false };
        if task.ended() || attempt < task.attempt {
            return false;
        }
        if matches!(task.phase, Phase::Queued) && attempt == task.attempt && attempt > 0 {
            return false;
        }
        task.attempt = attempt;
        task.since = now;
        task.failures += u32::from(!ok);
        let limit = self.jobs.get(&task.job).map_or(1, |(job, _)| job.attempts);
        task.phase = match (ok, self.cancelled.contains(&task.job)) {
            (true, _) => Phase::Finished,
            (false, true) => Phase::Cancelled,
            (false, false) if task.failures >= limit => Phase::Failed,
            (false, false) => Phase::Queued,
        };
        true
    }
}
