use std::{collections::BTreeMap, net::SocketAddr};

use base::{Millis, Name, Size};
use job::{Step, TaskId};
use port::{
    Completion, Outcome, Poll, PollReply, Refusal, RunStatus, Start, Stop, WorkerError, WorkerInfo,
};

use super::UNIX_OFFSET;

/// Longest lease that a worker accepts.
const MAX_LEASE: Millis = 10_000;
/// Time from a stop command to the end of the run.
const STOP_TIME: Millis = 150;
/// Time after which a long-running task is at work.
const STARTUP_TIME: Millis = 200;
/// Time for which starts may still count on the size before a change.
const RESIZE_GRACE: Millis = 500;
/// Offset of the worker clocks.
const CLOCK_OFFSET: Millis = 77_000;

/// A run on a worker.
#[derive(Debug, Clone)]
pub(crate) struct FakeRun {
    pub(crate) run: u64,
    pub(crate) cpu: u64,
    pub(crate) started_at: Millis,
    ends_at: Millis,
    fails: bool,
    long_running: bool,
    stopping: bool,
}

impl FakeRun {
    /// Returns whether it has finished starting up.
    pub(crate) fn at_work(&self, now: Millis) -> bool {
        now >= self.started_at + STARTUP_TIME
    }
}

/// A worker that implements the platform's interface.
#[derive(Debug, Clone)]
pub(crate) struct FakeWorker {
    pub(crate) id: Name,
    pub(crate) token: u64,
    pub(crate) runs: BTreeMap<TaskId, FakeRun>,
    /// Until when commands do not reach it, although it keeps running.
    pub(crate) unreachable_until: Millis,
    /// Until when it is down.
    pub(crate) down_until: Millis,
    service: Name,
    size: Size,
    /// Size before it last changed, and when it did.
    resized: (Size, Millis),
    incarnation: Millis,
    /// Time by which its time of day was ahead at its start.
    pub(crate) ahead: Millis,
    /// Expiry of the leases on the worker clock.
    lease_expiry: Millis,
    /// Completions that have not been acknowledged.
    pub(crate) completions: Vec<Completion>,
    last_number: u64,
    /// Highest run of each task that has ended or was stopped; it cannot start again.
    closed_runs: BTreeMap<TaskId, u64>,
    /// Tasks whose runs have failed since the simulation last drained the list.
    pub(crate) failed: Vec<TaskId>,
    port: u16,
    /// Factor by which its runs take longer.
    pub(crate) slowdown: u64,
}

impl FakeWorker {
    pub(crate) fn open(n: usize, service: &str, cpu: u64) -> FakeWorker {
        FakeWorker {
            id: format!("w{n:02}").into(),
            token: 0,
            runs: BTreeMap::new(),
            unreachable_until: 0,
            down_until: 0,
            service: service.into(),
            size: Size { cpu, memory: 2 * cpu, accel: 0 },
            resized: (Size::ZERO, 0),
            incarnation: 1,
            ahead: 0,
            lease_expiry: 0,
            completions: Vec::new(),
            last_number: 0,
            closed_runs: BTreeMap::new(),
            failed: Vec::new(),
            port: n as u16 + 1,
            slowdown: 1,
        }
    }

    pub(crate) fn info(&self) -> WorkerInfo {
        WorkerInfo {
            id: self.id.clone(),
            addr: SocketAddr::from(([127, 0, 0, 1], self.port)),
            service: self.service.clone(),
            domain: "d".into(),
            size: self.size,
            labels: vec!["a".into(), "r".into()],
            draining: false,
            remaining: None,
            incarnation: self.named_start(),
        }
    }

    /// Returns the time of its start by its own time of day.
    fn named_start(&self) -> Millis {
        UNIX_OFFSET + self.incarnation + self.ahead
    }

    pub(crate) fn resize(&mut self, cpu: u64, now: Millis) {
        self.resized = (self.size, now);
        self.size.cpu = cpu;
    }

    /// Returns the CPU that a start may count on: for some time, also what there was before.
    pub(crate) fn startable_cpu(&self, now: Millis) -> u64 {
        let (before, at) = self.resized;
        let grace = if now < at + RESIZE_GRACE { before.cpu } else { 0 };
        self.size.cpu.max(grace)
    }

    /// Returns the worker clock, which runs 1.5 % slow.
    fn clock(&self, now: Millis) -> Millis {
        CLOCK_OFFSET + (now.saturating_sub(self.incarnation) as f64 * 0.985) as Millis
    }

    /// Restarts the worker, with no runs, as a new incarnation that is down at first.
    pub(crate) fn crash(&mut self, incarnation: Millis, down_until: Millis) {
        let fresh = FakeWorker::open(0, &self.service, self.size.cpu);
        *self = FakeWorker {
            id: self.id.clone(),
            resized: self.resized,
            incarnation,
            down_until,
            unreachable_until: self.unreachable_until,
            port: self.port,
            slowdown: self.slowdown,
            ..fresh
        };
    }

    /// Returns the worker that is at the address of this one once that has crashed, under an
    /// identifier of its own.
    pub(crate) fn successor(&self, id: Name, incarnation: Millis) -> FakeWorker {
        let fresh = FakeWorker::open(0, &self.service, self.size.cpu);
        FakeWorker { id, incarnation, port: self.port, down_until: incarnation, ..fresh }
    }

    /// Returns whether the leases have expired.
    pub(crate) fn has_lapsed(&self, now: Millis) -> bool {
        self.clock(now) >= self.lease_expiry
    }

    /// Ends the runs that are due, or all of them if the leases have expired.
    pub(crate) fn work(&mut self, now: Millis) {
        if self.has_lapsed(now) {
            let all: Vec<TaskId> = self.runs.keys().cloned().collect();
            all.into_iter().for_each(|task| self.end_run(&task, Outcome::Lapsed));
        }
        let due = |run: &FakeRun| (!run.long_running || run.stopping) && run.ends_at <= now;
        let outcome = |run: &FakeRun| match (run.stopping, run.fails) {
            (true, _) => Outcome::Stopped,
            (_, true) => Outcome::Failed,
            _ => Outcome::Done,
        };
        let ended: Vec<(TaskId, Outcome)> = self
            .runs
            .iter()
            .filter(|(_, run)| due(run))
            .map(|(task, run)| (task.clone(), outcome(run)))
            .collect();
        for (task, outcome) in ended {
            if outcome == Outcome::Failed {
                self.failed.push(task.clone());
            }
            self.end_run(&task, outcome);
        }
    }

    fn end_run(&mut self, task: &TaskId, outcome: Outcome) {
        let Some(run) = self.runs.remove(task) else { return };
        self.last_number += 1;
        let (number, run, checkpoint) = (self.last_number, run.run, "".into());
        self.close_run(task, run);
        self.completions.push(Completion { number, task: task.clone(), run, outcome, checkpoint });
    }

    fn close_run(&mut self, task: &TaskId, run: u64) {
        let closed = self.closed_runs.entry(task.clone()).or_default();
        *closed = (*closed).max(run);
    }

    fn refusal(&self, start: &Start, now: Millis) -> Option<Refusal> {
        if start.token < self.token {
            return Some(Refusal::Fence);
        }
        if start.deadline <= self.clock(now) {
            return Some(Refusal::Late);
        }
        let closed = self.closed_runs.get(&start.task).copied().unwrap_or(0);
        (start.run <= closed).then_some(Refusal::Old)
    }

    /// Returns whether a start command would begin a run.
    pub(crate) fn would_start(&self, start: &Start, now: Millis) -> bool {
        let exists = self.runs.get(&start.task).is_some_and(|run| run.run == start.run);
        !exists && self.refusal(start, now).is_none()
    }

    pub(crate) fn start(
        &mut self,
        start: Start,
        step: &Step,
        fails: bool,
        now: Millis,
    ) -> Result<Millis, WorkerError> {
        let clock = self.clock(now);
        if let Some(why) = self.refusal(&start, now) {
            return Err(WorkerError::Refused(why, Some(clock)));
        }
        self.token = self.token.max(start.token);
        self.lease_expiry = self.lease_expiry.max(start.deadline.min(clock + MAX_LEASE));
        let run = FakeRun {
            run: start.run,
            cpu: step.size.cpu,
            started_at: now,
            ends_at: now + step.estimate * self.slowdown,
            fails,
            long_running: step.long_running,
            stopping: false,
        };
        if self.runs.get(&start.task).is_none_or(|known| known.run != start.run) {
            self.runs.insert(start.task, run);
        }
        Ok(clock)
    }

    pub(crate) fn stop(&mut self, stop: Stop, now: Millis) -> Result<Millis, WorkerError> {
        let clock = self.clock(now);
        if stop.token < self.token {
            return Err(WorkerError::Refused(Refusal::Fence, Some(clock)));
        }
        self.token = stop.token;
        self.close_run(&stop.task, stop.run);
        let run = self.runs.get_mut(&stop.task).filter(|run| run.run == stop.run && !run.stopping);
        if let Some(run) = run {
            run.stopping = true;
            run.ends_at = now + STOP_TIME;
        }
        Ok(clock)
    }

    pub(crate) fn poll(&mut self, request: &Poll, now: Millis) -> Result<PollReply, WorkerError> {
        let clock = self.clock(now);
        if request.token < self.token {
            return Err(WorkerError::Refused(Refusal::Fence, Some(clock)));
        }
        self.token = request.token;
        if let Some(deadline) = request.deadline {
            self.lease_expiry = self.lease_expiry.max(deadline.min(clock + MAX_LEASE));
        }
        let running = self.runs.iter().map(|(task, run)| RunStatus {
            task: task.clone(),
            run: run.run,
            checkpoint: "".into(),
            percent: if run.long_running && run.at_work(now) { 100 } else { 50 },
            metric: 0,
        });
        let unacked =
            self.completions.iter().filter(|completion| completion.number > request.acked).cloned();
        Ok(PollReply {
            clock,
            incarnation: Some(self.named_start()),
            running: running.collect(),
            completions: unacked.collect(),
        })
    }

    /// Forgets acknowledged completions and returns the tasks among them that succeeded.
    pub(crate) fn forget(&mut self, acked: u64) -> Vec<TaskId> {
        let acked_completions =
            self.completions.iter().filter(|completion| completion.number <= acked);
        let done = acked_completions
            .filter(|completion| completion.outcome == Outcome::Done)
            .map(|completion| completion.task.clone())
            .collect();
        self.completions.retain(|completion| completion.number > acked);
        done
    }
}
