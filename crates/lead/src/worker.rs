use std::collections::{BTreeMap, VecDeque};

use base::{Millis, Name, Size};
use job::{Step, TaskId};
use port::{Entry, Peer};

use crate::{
    Run, RunState,
    learn::{Exposure, room},
};

/// Drift of a worker's clock: it runs at least at this share of true speed.
const SLOWEST_CLOCK: f64 = 0.98;
/// Slack on top of a computed end of leases.
const LAPSE_SLACK: Millis = 150;
/// Time within which the store lists a live worker again after an outage.
const RELIST: Millis = 2_500;
/// Time within which an order that got no answer may still be carried out.
pub(crate) const LATEST: Millis = 14_000;
/// Silence after which a worker gets no new work.
const QUIET: Millis = 2_000;

/// A worker as the leader sees it.
#[derive(Debug, Clone)]
pub struct Worker {
    /// What it says of itself.
    pub entry: Entry,
    /// Whether the store lists it.
    pub listed: bool,
    /// When the store ceased to list it.
    pub unlisted: Millis,
    /// Batch after which its record is durable, so that it may be given work.
    pub marked: Option<u64>,
    /// Runs on it.
    pub runs: BTreeMap<TaskId, Run>,
    /// Room taken, without the processors of tasks that fill.
    pub used: Size,
    /// Processors asked for by tasks that fill.
    pub filled: u64,
    /// Processors asked for by tasks that serve.
    pub serving: u64,
    /// Whether it has listed its runs to this leader.
    pub synced: bool,
    /// Its clock, and when that was read.
    pub clock: Option<(Millis, Millis)>,
    /// Clock of the newest list.
    pub listed_at: Millis,
    /// Greatest end of leases that was sent.
    pub deadline: Millis,
    /// Starts that got no answer, and when: they may still reach a later life of
    /// the worker, which knows nothing of what was stopped before.
    pub doubted: Vec<(TaskId, u64, Millis)>,
    /// Greatest number of an end taken in.
    pub seen: u64,
    /// Ends and the batch after which each may be acknowledged.
    pub acks: VecDeque<(u64, u64)>,
    /// Ends that may be forgotten.
    pub acked: u64,
    /// When it answered last.
    pub answered: Millis,
    /// When the newest question was sent that it did not answer.
    pub unanswered: Millis,
    /// Until when it gets no new work.
    pub aside: Millis,
    /// Failures in a row of what it ran.
    pub failures: u32,
    /// When something was last done for the tasks that serve on it.
    pub guarded: Millis,
    /// Whether a task that serves on it misses its target.
    pub(crate) missing: bool,
    /// Least room below their targets, by image that serves on it.
    pub(crate) rooms: Vec<(Name, f64)>,
    /// Tasks that fill which have begun lately: when, image, processors.
    pub(crate) fresh: Vec<(Millis, Name, u64)>,
    /// Smoothed shares of its processors that images which fill work with.
    pub(crate) exposure: Exposure,
    /// When those were brought up to date.
    pub(crate) exposed_at: Millis,
    /// Factor by which it is slower than others, learned from runs.
    pub slowness: f64,
}

impl Worker {
    pub(crate) fn new(entry: Entry) -> Worker {
        Worker {
            entry,
            listed: false,
            unlisted: 0,
            marked: None,
            runs: BTreeMap::new(),
            used: Size::ZERO,
            filled: 0,
            serving: 0,
            synced: false,
            clock: None,
            listed_at: 0,
            deadline: 0,
            doubted: Vec::new(),
            seen: 0,
            acks: VecDeque::new(),
            acked: 0,
            answered: 0,
            unanswered: 0,
            aside: 0,
            failures: 0,
            guarded: 0,
            missing: false,
            rooms: Vec::new(),
            fresh: Vec::new(),
            exposure: Exposure::new(),
            exposed_at: 0,
            slowness: 1.0,
        }
    }

    /// Address and identifier for calls.
    pub fn peer(&self) -> Peer {
        Peer { id: self.entry.id.clone(), addr: self.entry.addr }
    }

    /// The rack that it stands in: the last of its labels.
    pub fn rack(&self) -> Option<&Name> {
        self.entry.labels.last()
    }

    /// Whether it may be given work.
    pub fn usable(&self, stored: u64, now: Millis) -> bool {
        let listed = self.listed || now < self.unlisted + RELIST;
        listed
            && self.synced
            && !self.entry.draining
            && self.marked.is_some_and(|mark| mark <= stored)
            && self.aside <= now
            && now < self.answered + QUIET
    }

    /// Its clock by now, at its usual speed.
    pub fn clock_now(&self, now: Millis) -> Option<Millis> {
        self.clock.map(|(clock, at)| clock + now.saturating_sub(at))
    }

    /// When all leases given to it have expired for certain.
    pub fn lapse(&self) -> Option<Millis> {
        let (clock, at) = self.clock?;
        let left = self.deadline.saturating_sub(clock) as f64 / SLOWEST_CLOCK;
        Some(at + left as Millis + LAPSE_SLACK)
    }

    /// Notes a reading of its clock.
    pub(crate) fn read_clock(&mut self, clock: Millis, now: Millis) {
        if self.clock.is_none_or(|(before, _)| clock >= before) {
            self.clock = Some((clock, now));
        }
        self.answered = now;
    }

    /// Runs that an order on its way may still begin in a life that began just now,
    /// as runs to be stopped.
    pub(crate) fn late_starts(&mut self, now: Millis) -> Vec<(TaskId, Run)> {
        self.doubted.retain(|(task, ..)| !self.runs.contains_key(task));
        let run = |no| Run {
            state: RunState::Stopping,
            retry: now,
            ordered: false,
            moved: now,
            ..Run::ordered(no, &Step::default(), 0)
        };
        self.doubted.iter().map(|(task, no, _)| (task.clone(), run(*no))).collect()
    }

    /// Adds a run and takes its room.
    pub(crate) fn add(&mut self, task: TaskId, run: Run) {
        let size = run.charged();
        self.used = self.used.plus(size);
        if run.fills {
            self.filled += run.size.cpu;
        }
        if run.fills && run.began > 0 {
            self.fresh.push((run.began, run.image.clone(), run.size.cpu));
        }
        if run.target > 0 {
            self.serving += run.size.cpu;
        }
        self.runs.insert(task, run);
        self.measure_rooms();
    }

    /// Removes a run and gives its room back.
    pub(crate) fn remove(&mut self, task: &TaskId) -> Option<Run> {
        let run = self.runs.remove(task)?;
        self.used = self.used.minus(run.charged());
        if run.fills {
            self.filled = self.filled.saturating_sub(run.size.cpu);
        }
        if run.target > 0 {
            self.serving = self.serving.saturating_sub(run.size.cpu);
            self.measure_rooms();
        }
        Some(run)
    }

    /// Finds the least room below their targets of the tasks that serve, by image.
    pub(crate) fn measure_rooms(&mut self) {
        self.rooms.clear();
        self.missing = self.runs.values().any(|run| run.over > 0);
        for run in self.runs.values().filter(|run| run.target > 0) {
            let room = room(run.target, run.gauge);
            match self.rooms.iter_mut().find(|(image, _)| *image == run.image) {
                Some((_, least)) => *least = least.min(room),
                None => self.rooms.push((run.image.clone(), room)),
            }
        }
    }

    /// Room that is left.
    pub fn free(&self) -> Size {
        self.entry.size.minus(self.used)
    }
}
