use std::collections::BTreeMap;

use base::{Millis, Name, Now, Size};
use plat::{
    Acknowledge, RefuseReason, Renew, RenewAnswer, RunState, Start, StartAnswer, Stop, StopAnswer,
    TaskReport, TaskUsage, Throttle,
};
use serde::{Deserialize, Serialize};

use crate::{Ledger, LedgerEntry, What};

/// Interference of one kind of task with another on the same server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Interference {
    /// Kind that is slowed, or `service` for requests.
    pub slowed: Name,
    /// Kind that slows it.
    pub by: Name,
    /// Percent of time added by each running task of kind `by`.
    pub percent: u64,
}

#[derive(Debug, Clone)]
struct Run {
    state: RunState,
    kind: Name,
    size: Size,
    lease: Millis,
    work: f64,
    done: f64,
    checkpoint: f64,
    throttle: u64,
    updated: Millis,
    will_fail: bool,
}

/// The attempts of one backend server. Time advances only by the `now` that is
/// passed to its methods.
#[derive(Debug, Default)]
pub struct Runs {
    /// Resources of the server.
    pub size: Size,
    /// Interference table.
    pub pairs: Vec<Interference>,
    /// Whether attempts that are started from now on fail soon.
    pub fail_all: bool,
    /// Usage in percent of the declared size; 0 stands for 100.
    pub real_percent: u64,
    /// Events recorded so far.
    pub ledger: Ledger,
    epoch: u64,
    runs: BTreeMap<(Name, u32), Run>,
}

/// Work after which an attempt that is set to fail does so, in milliseconds.
const FAIL_AFTER_MS: f64 = 200.0;
/// Work between two automatic checkpoints of an attempt, in milliseconds.
const CHECKPOINT_INTERVAL_MS: f64 = 5000.0;

impl Runs {
    /// Creates the state of a server that runs nothing yet.
    pub fn open(size: Size, pairs: Vec<Interference>) -> Runs {
        Runs { size, pairs, ..Runs::default() }
    }

    /// Returns the resources committed to running attempts.
    pub fn committed(&self) -> Size {
        self.running().fold(Size::ZERO, |sum, (_, run)| sum.plus(run.size))
    }

    /// Returns the kind and the speed in percent of each running attempt.
    pub fn neighbours(&self) -> Vec<(Name, u64)> {
        self.running().map(|(_, run)| (run.kind.clone(), run.throttle)).collect()
    }

    /// Starts an attempt, unless it is known already, its deadline has passed or its
    /// epoch is outdated. It may exceed the size of the server.
    pub fn start(&mut self, start: &Start, now: Now) -> StartAnswer {
        self.advance(now);
        let id = (start.task.clone(), start.attempt);
        if let Some(run) = self.runs.get(&id) {
            return match run.state {
                RunState::Stopped => StartAnswer::Refused(RefuseReason::Stopped),
                _ => StartAnswer::Started,
            };
        }
        if now.unix > start.before {
            return StartAnswer::Refused(RefuseReason::Late);
        }
        if start.epoch < self.epoch {
            return StartAnswer::Refused(RefuseReason::Epoch);
        }
        self.epoch = start.epoch;
        let run = Run {
            state: RunState::Running,
            kind: start.kind.clone(),
            size: start.size,
            lease: start.lease,
            work: start.work.max(1) as f64,
            done: start.checkpoint as f64,
            checkpoint: start.checkpoint as f64,
            throttle: 100,
            updated: now.unix,
            will_fail: self.fail_all,
        };
        self.runs.insert(id.clone(), run);
        self.record(now.unix, What::Start, &id, start.checkpoint);
        if !self.committed().fits(self.size) {
            self.record(now.unix, What::Overcommit, &id, 0);
        }
        StartAnswer::Started
    }

    /// Extends leases, and returns the attempts that do not run. A lease is never
    /// shortened.
    pub fn renew(&mut self, renew: &Renew, now: Now) -> RenewAnswer {
        self.advance(now);
        let mut missing = Vec::new();
        for id in &renew.tasks {
            match self.runs.get_mut(id) {
                Some(run) if run.state == RunState::Running => {
                    run.lease = run.lease.max(renew.lease)
                }
                _ => missing.push(id.clone()),
            }
        }
        RenewAnswer { missing }
    }

    /// Stops an attempt. An unknown one is recorded as stopped, so that a later start
    /// of it is refused.
    pub fn stop(&mut self, stop: &Stop, now: Now) -> StopAnswer {
        self.advance(now);
        let id = (stop.task.clone(), stop.attempt);
        let Some(run) = self.runs.get_mut(&id) else {
            self.runs.insert(id, Run::stopped(now.unix));
            return StopAnswer::Unknown;
        };
        match run.state {
            RunState::Finished => StopAnswer::Finished,
            RunState::Failed => StopAnswer::Failed,
            RunState::Stopped => StopAnswer::Stopped { checkpoint: run.checkpoint as Millis },
            RunState::Running => {
                run.state = RunState::Stopped;
                if stop.checkpoint {
                    run.checkpoint = run.done;
                }
                let checkpoint = run.checkpoint as Millis;
                self.record(now.unix, What::Stop, &id, checkpoint);
                StopAnswer::Stopped { checkpoint }
            }
        }
    }

    /// Sets the speed of an attempt, and returns whether it runs.
    pub fn throttle(&mut self, throttle: &Throttle, now: Now) -> bool {
        self.advance(now);
        let id = (throttle.task.clone(), throttle.attempt);
        match self.runs.get_mut(&id) {
            Some(run) if run.state == RunState::Running => {
                run.throttle = throttle.percent.clamp(1, 100);
                true
            }
            _ => false,
        }
    }

    /// Forgets ended attempts.
    pub fn acknowledge(&mut self, done: &Acknowledge) {
        for id in &done.tasks {
            if self.runs.get(id).is_some_and(|run| run.state != RunState::Running) {
                self.runs.remove(id);
            }
        }
    }

    /// Returns all attempts that have not been forgotten.
    pub fn reports(&self) -> Vec<TaskReport> {
        let report = |((task, attempt), run): (&(Name, u32), &Run)| TaskReport {
            task: task.clone(),
            attempt: *attempt,
            state: run.state,
            kind: run.kind.clone(),
            size: run.size,
            checkpoint: run.checkpoint as Millis,
            lease: run.lease,
        };
        self.runs.iter().map(report).collect()
    }

    /// Returns the present usage of running attempts.
    pub fn usage(&self) -> Vec<TaskUsage> {
        let percent = if self.real_percent == 0 { 100 } else { self.real_percent };
        let usage = |((task, attempt), run): (&(Name, u32), &Run)| TaskUsage {
            task: task.clone(),
            attempt: *attempt,
            used: Size {
                cpu: run.size.cpu * percent * run.throttle / 10_000,
                memory: run.size.memory * percent / 100,
                accel: run.size.accel,
            },
            speed: (100.0 / self.slowdown(&run.kind)) as u64,
        };
        self.running().map(usage).collect()
    }

    /// Returns the factor by which running attempts prolong the work of `kind`, at
    /// least 1.
    pub fn slowdown(&self, kind: &str) -> f64 {
        let mut percent = 0.0;
        for pair in self.pairs.iter().filter(|p| &*p.slowed == kind) {
            for (_, run) in self.running().filter(|(_, run)| run.kind == pair.by) {
                percent += (pair.percent * run.throttle) as f64 / 100.0;
            }
            if pair.slowed == pair.by {
                percent -= pair.percent as f64;
            }
        }
        1.0 + percent.max(0.0) / 100.0
    }

    /// Advances all running attempts to `now`, which ends those that finish, fail or
    /// lose their lease.
    pub fn advance(&mut self, now: Now) {
        let speeds: Vec<_> = self
            .running()
            .map(|(id, run)| (id.clone(), run.throttle as f64 / 100.0 / self.slowdown(&run.kind)))
            .collect();
        for (id, speed) in speeds {
            if let Some(event) = self.runs.get_mut(&id).and_then(|run| run.advance(now.unix, speed))
            {
                let work = self.runs.get(&id).map_or(0, |run| run.done as Millis);
                self.record(now.unix, event, &id, work);
            }
        }
    }

    fn running(&self) -> impl Iterator<Item = (&(Name, u32), &Run)> {
        self.runs.iter().filter(|(_, run)| run.state == RunState::Running)
    }

    fn record(&mut self, at: Millis, what: What, id: &(Name, u32), work: Millis) {
        let committed = self.committed();
        let (id, attempt) = id.clone();
        self.ledger.entries.push(LedgerEntry { at, what, id, attempt, work, key: None, committed });
    }
}

impl Run {
    fn stopped(now: Millis) -> Run {
        Run {
            state: RunState::Stopped,
            kind: "".into(),
            size: Size::ZERO,
            lease: 0,
            work: 1.0,
            done: 0.0,
            checkpoint: 0.0,
            throttle: 100,
            updated: now,
            will_fail: false,
        }
    }

    /// Advances to `now` or the lease expiry, whichever is earlier, and returns the
    /// event that ended the attempt, if one did.
    fn advance(&mut self, now: Millis, speed: f64) -> Option<What> {
        let until = now.min(self.lease);
        self.done += until.saturating_sub(self.updated) as f64 * speed;
        self.updated = now;
        if self.will_fail && self.done - self.checkpoint >= FAIL_AFTER_MS {
            self.state = RunState::Failed;
            return Some(What::Fail);
        }
        if self.done >= self.work {
            self.done = self.work;
            self.state = RunState::Finished;
            return Some(What::Finish);
        }
        if self.done - self.checkpoint >= CHECKPOINT_INTERVAL_MS && !self.will_fail {
            self.checkpoint = self.done;
        }
        if now > self.lease {
            self.state = RunState::Stopped;
            return Some(What::Lapse);
        }
        None
    }
}
