use std::collections::BTreeMap;

use base::{Millis, Name, Now, Size};
use plat::{
    Acknowledge, RefuseReason, Renew, RenewAnswer, RunState, Start, StartAnswer, Stop, StopAnswer,
    TaskReport, TaskUsage, Throttle,
};
use serde::{Deserialize, Serialize};

use crate::{Ledger, LedgerEntry, What};

/// How much one kind slows another that runs beside it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pair {
    /// The kind that is slowed, or `service` for requests.
    pub slowed: Name,
    /// The kind that slows it.
    pub by: Name,
    /// Percent of time added for each such neighbour.
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
    saved: f64,
    throttle: u64,
    updated: Millis,
    fails: bool,
}

/// The attempts of one backend server, advanced by the time passed in.
#[derive(Debug, Default)]
pub struct Runs {
    /// What the server has.
    pub size: Size,
    /// Interference table.
    pub pairs: Vec<Pair>,
    /// Every start fails shortly after it.
    pub fail_all: bool,
    /// Percent of the declared size that tasks really use.
    pub real_percent: u64,
    /// Independent record.
    pub ledger: Ledger,
    epoch: u64,
    runs: BTreeMap<(Name, u32), Run>,
}

/// Time after which a task that is going to fail does so.
const FAIL_AFTER: f64 = 200.0;
/// Work between two checkpoints that a task writes of itself, in milliseconds.
const CHECKPOINT_EVERY: f64 = 5000.0;

impl Runs {
    /// A server of a size that runs nothing yet.
    pub fn open(size: Size, pairs: Vec<Pair>) -> Runs {
        Runs { size, pairs, ..Runs::default() }
    }

    /// Resources committed to running attempts.
    pub fn committed(&self) -> Size {
        self.running().fold(Size::ZERO, |sum, (_, run)| sum.plus(run.size))
    }

    /// Kinds that run, with their throttle in percent.
    pub fn neighbours(&self) -> Vec<(Name, u64)> {
        self.running().map(|(_, run)| (run.kind.clone(), run.throttle)).collect()
    }

    /// Starts an attempt unless its deadline has passed or it is known.
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
            saved: start.checkpoint as f64,
            throttle: 100,
            updated: now.unix,
            fails: self.fail_all,
        };
        self.runs.insert(id.clone(), run);
        self.note(now.unix, What::Start, &id, start.checkpoint);
        if !self.committed().fits(self.size) {
            self.note(now.unix, What::Overcommit, &id, 0);
        }
        StartAnswer::Started
    }

    /// Extends leases; a lease is never shortened.
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

    /// Stops an attempt; one not seen yet is remembered as stopped.
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
            RunState::Stopped => StopAnswer::Stopped { checkpoint: run.saved as Millis },
            RunState::Running => {
                run.state = RunState::Stopped;
                if stop.checkpoint {
                    run.saved = run.done;
                }
                let checkpoint = run.saved as Millis;
                self.note(now.unix, What::Stop, &id, checkpoint);
                StopAnswer::Stopped { checkpoint }
            }
        }
    }

    /// Sets the speed of an attempt; whether it runs.
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

    /// Everything not yet forgotten.
    pub fn reports(&self) -> Vec<TaskReport> {
        let report = |((task, attempt), run): (&(Name, u32), &Run)| TaskReport {
            task: task.clone(),
            attempt: *attempt,
            state: run.state,
            kind: run.kind.clone(),
            size: run.size,
            checkpoint: run.saved as Millis,
            lease: run.lease,
        };
        self.runs.iter().map(report).collect()
    }

    /// Usage of running attempts at this moment.
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

    /// Factor by which `kind` is slowed by what runs here.
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

    /// Lets time pass: work is done, leases lapse, attempts end.
    pub fn advance(&mut self, now: Now) {
        let speeds: Vec<_> = self
            .running()
            .map(|(id, run)| (id.clone(), run.throttle as f64 / 100.0 / self.slowdown(&run.kind)))
            .collect();
        for (id, speed) in speeds {
            if let Some(what) = self.runs.get_mut(&id).and_then(|run| run.advance(now.unix, speed))
            {
                let work = self.runs.get(&id).map_or(0, |run| run.done as Millis);
                self.note(now.unix, what, &id, work);
            }
        }
    }

    fn running(&self) -> impl Iterator<Item = (&(Name, u32), &Run)> {
        self.runs.iter().filter(|(_, run)| run.state == RunState::Running)
    }

    fn note(&mut self, at: Millis, what: What, id: &(Name, u32), work: Millis) {
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
            saved: 0.0,
            throttle: 100,
            updated: now,
            fails: false,
        }
    }

    /// Advances to `now`, or to the end of the lease where that comes first.
    fn advance(&mut self, now: Millis, speed: f64) -> Option<What> {
        let until = now.min(self.lease);
        self.done += until.saturating_sub(self.updated) as f64 * speed;
        self.updated = now;
        if self.fails && self.done - self.saved >= FAIL_AFTER {
            self.state = RunState::Failed;
            return Some(What::Fail);
        }
        if self.done >= self.work {
            self.done = self.work;
            self.state = RunState::Finished;
            return Some(What::Finish);
        }
        if self.done - self.saved >= CHECKPOINT_EVERY && !self.fails {
            self.saved = self.done;
        }
        if now > self.lease {
            self.state = RunState::Stopped;
            return Some(What::Lapse);
        }
        None
    }
}
