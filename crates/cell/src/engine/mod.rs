//! One cell as one entry VM sees it: its part, its changes and what they call
//! for. Claims are in `claim`, the copy at the backup in `replicate`.

mod claim;
mod replicate;
mod setup;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use base::{Millis, Name, Now};
use plat::Start;

pub use self::setup::{Action, Guards, Role, Setup, World};
use crate::{Given, Held, JournalRecord, Op, Phase, Record, Server, Table};

/// Time after which a start that was not received is void.
pub(crate) const START_TTL: Millis = 500;

/// A message to the backup that is under way.
#[derive(Debug)]
struct Flying {
    seq: u64,
    /// When it was sent, on the monotonic clock.
    sent: Millis,
    /// Index after the last change in it.
    end: u64,
    /// Whether it holds the whole table.
    table: bool,
}

/// One cell as one entry VM sees it.
#[derive(Debug)]
pub struct Cell {
    /// Identifier of the cell.
    pub id: Name,
    /// The process.
    pub setup: Setup,
    /// What primary and backup both hold.
    pub table: Table,
    /// Backend servers, as the primary sees them.
    pub servers: BTreeMap<Name, Server>,
    /// The newest record read.
    pub record: Option<Record>,
    /// Part that this process takes.
    pub role: Role,
    /// Since when it has been primary of an unbroken run of epochs.
    pub since: Now,
    /// Starts sent whose outcome is open, with the Unix time at which the last
    /// copy is void.
    pub sent: BTreeMap<Name, Millis>,
    held: Held,
    given: Given,
    claiming: Option<u64>,
    /// The backup's copy is whole, in this epoch.
    synced: bool,
    /// It acts alone by proof of death while the log is down.
    solo: bool,
    /// The journal has been read where the copy was lost.
    ready: bool,
    /// Before this moment, listings may miss starts of a predecessor.
    settle: Millis,
    /// The primary has said that it is out.
    resigned: bool,
    /// Number of the newest message to or from the backup.
    seq: u64,
    /// Index of the first change that the backup has not confirmed; at a
    /// backup, of the next one expected.
    first: u64,
    /// Changes from `first` on.
    ops: VecDeque<Op>,
    /// Durable changes, with their index, that the log has not confirmed.
    unlogged: VecDeque<(u64, Op)>,
    /// Changes before this index have been passed to the journal.
    journaled: u64,
    /// Starts to send once the backup has the change of their index.
    starts: VecDeque<(u64, Name, u32)>,
    /// Stops, likewise.
    stops: VecDeque<(u64, Name, u32)>,
    /// The message that the backup has not answered.
    flying: Option<Flying>,
    /// The backup needs the whole table.
    whole: bool,
    /// Epoch in which the unbroken run as primary began.
    tenure: u64,
}

impl Cell {
    /// A cell of which nothing is known yet.
    pub fn open(id: Name, setup: Setup) -> Cell {
        Cell {
            id,
            setup,
            table: Table::default(),
            servers: BTreeMap::new(),
            record: None,
            role: Role::Idle,
            since: Now { mono: 0, unix: 0 },
            sent: BTreeMap::new(),
            held: Held::default(),
            given: Given::default(),
            claiming: None,
            synced: false,
            solo: false,
            ready: false,
            settle: 0,
            resigned: false,
            seq: 0,
            first: 0,
            ops: VecDeque::new(),
            unlogged: VecDeque::new(),
            journaled: 0,
            starts: VecDeque::new(),
            stops: VecDeque::new(),
            flying: None,
            whole: false,
            tenure: 0,
        }
    }

    /// The epoch of the newest record read.
    pub fn epoch(&self) -> u64 {
        self.record.as_ref().map_or(0, |r| r.epoch)
    }

    /// Whether this process may decide for the cell at this moment.
    pub fn authority(&self, now: Millis) -> bool {
        if self.role != Role::Primary {
            return false;
        }
        let alone = self.record.as_ref().is_some_and(|r| r.backup.is_none());
        alone || self.solo || self.held.valid(now) || !self.setup.guards.lease
    }

    /// Whether starts may be decided: the table is whole and authority is held.
    pub fn deciding(&self, now: Millis) -> bool {
        self.ready && now >= self.settle && self.authority(now)
    }

    /// Whether the table is whole.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Index that the next change will get.
    pub fn index(&self) -> u64 {
        self.first + self.ops.len() as u64
    }

    /// Whether the backup has every change before `index`, or there is none.
    pub fn reached(&self, index: u64) -> bool {
        self.first >= index
    }

    /// Moment from which a listing shows every start of a predecessor.
    pub fn settled(&self) -> Millis {
        self.settle
    }

    /// Durable changes that are not on the log yet.
    pub fn unlogged(&self) -> impl Iterator<Item = &Op> {
        self.unlogged.iter().map(|(_, op)| op)
    }

    /// Takes in a record that the log has put in force.
    pub fn on_record(&mut self, record: &Record, world: &World<'_>) -> Vec<Action> {
        let old = record.epoch < self.epoch() || self.record.as_ref() == Some(record);
        if old {
            return Vec::new();
        }
        self.record = Some(record.clone());
        self.claiming = None;
        self.flying = None;
        if record.primary == self.setup.me {
            return self.lead(world);
        }
        let leads = self.role == Role::Primary;
        self.role = match record.backup == Some(self.setup.me.clone()) {
            true => Role::Backup,
            false => Role::Idle,
        };
        if leads || self.role == Role::Idle {
            self.clear();
        }
        self.synced = false;
        self.resigned = false;
        self.solo = false;
        self.given = Given::default();
        Vec::new()
    }

    /// This process is the primary of a new record.
    fn lead(&mut self, world: &World<'_>) -> Vec<Action> {
        let now = world.now;
        let epoch = self.epoch();
        let bound = now.mono + self.setup.lease + self.setup.skew;
        self.held = Held { bound, ..Held::default() };
        self.whole = true;
        let fence = JournalRecord::Fence { cell: self.id.clone(), epoch };
        if self.role == Role::Primary {
            // The same process goes on, as after a change of its backup.
            let solo = std::mem::take(&mut self.solo);
            return if solo { vec![Action::Journal(fence)] } else { Vec::new() };
        }
        let copy = self.role == Role::Backup && self.synced;
        self.begin(world, copy);
        let mut actions = vec![Action::Journal(fence)];
        if copy {
            self.ready = true;
            actions.extend(self.rejournal());
        } else {
            self.clear();
            self.role = Role::Primary;
            self.ready = false;
            actions.push(Action::Rebuild(epoch));
        }
        actions
    }

    /// Becomes the acting primary, with or without the predecessor's table.
    fn begin(&mut self, world: &World<'_>, copy: bool) {
        let now = world.now;
        // With the lease run out, every start of the predecessor is void once
        // the clocks' difference has passed; else its deadline must pass too.
        let lapsed = copy && self.given.expired(now.mono);
        let wait = if lapsed { self.setup.skew } else { START_TTL + self.setup.skew };
        let wait = if self.epoch() <= 1 && !copy { 0 } else { wait };
        self.role = Role::Primary;
        self.since = now;
        self.settle = if self.setup.guards.deadline { now.mono + wait } else { now.mono };
        self.sent.clear();
        self.servers.values_mut().for_each(Server::forget);
        self.tenure = self.epoch();
        self.first += self.ops.len() as u64;
        self.ops.clear();
        self.starts.clear();
        self.stops.clear();
        self.whole = true;
        let tasks: Vec<_> = self.table.tasks.values().cloned().collect();
        for task in tasks.iter().filter(|t| matches!(t.phase, Phase::Stopping(_))) {
            self.stops.push_back((0, task.id.clone(), task.attempt));
        }
    }

    /// Takes in the table read from the journal after both copies were lost.
    pub fn rebuilt(&mut self, epoch: u64, mut table: Table) {
        if epoch != self.epoch() || self.role != Role::Primary || self.ready {
            return;
        }
        table.unlocate((epoch as u32).saturating_mul(1000));
        self.table = table;
        self.ready = true;
        self.whole = true;
    }

    /// Applies a change as the primary and passes it on. Whether it changed
    /// anything.
    pub fn commit(&mut self, op: Op, now: Now) -> bool {
        if !self.table.apply(&op, now.unix) {
            return false;
        }
        let index = self.first + self.ops.len() as u64;
        match &op {
            Op::Assign { task, attempt, .. } => {
                self.starts.push_back((index, task.clone(), *attempt))
            }
            Op::Evict { task, attempt } => self.stops.push_back((index, task.clone(), *attempt)),
            Op::Cancel(job) => {
                for task in self.table.tasks.values().filter(|t| t.job == *job) {
                    if matches!(task.phase, Phase::Stopping(_)) {
                        self.stops.push_back((index, task.id.clone(), task.attempt));
                    }
                }
            }
            Op::Started { task, attempt } | Op::Adopt { task, attempt, .. } => {
                self.sent.remove(task);
                let stops = self.table.tasks.get(task).map(|t| &t.phase);
                if matches!(stops, Some(Phase::Stopping(_))) {
                    self.stops.push_back((index, task.clone(), *attempt));
                }
            }
            Op::Ended { task, .. } | Op::Done { task, .. } => {
                self.sent.remove(task);
            }
            _ => {}
        }
        if op.durable() {
            self.unlogged.push_back((index, op.clone()));
        }
        self.ops.push_back(op);
        true
    }

    /// One step: claims, takeover, and whatever became due.
    pub fn tick(&mut self, world: &World<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        actions.extend(self.succeed(world));
        if self.role == Role::Primary {
            actions.extend(self.flush(world.now));
        }
        actions
    }

    /// Actions whose changes the backup has, or that need none.
    pub fn flush(&mut self, now: Now) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.authority(now.mono) {
            return actions;
        }
        let alone = self.solo || self.record.as_ref().is_some_and(|r| r.backup.is_none());
        let end = self.first + self.ops.len() as u64;
        if alone {
            self.first = end;
            self.ops.clear();
        }
        let reached = if self.setup.guards.intent { self.first } else { end };
        actions.extend(self.journal());
        while let Some((_, task, attempt)) = self.starts.pop_front_if(|s| s.0 < reached) {
            actions.extend(self.start(&task, attempt, now, alone));
        }
        while let Some((_, task, attempt)) = self.stops.pop_front_if(|s| s.0 < reached) {
            actions.extend(self.stop(&task, attempt));
        }
        actions
    }

    fn start(&mut self, task: &Name, attempt: u32, now: Now, alone: bool) -> Option<Action> {
        let entry = self.table.tasks.get(task)?;
        let Phase::Assigned(backend) = &entry.phase else { return None };
        if entry.attempt != attempt {
            return None;
        }
        let left = if alone { START_TTL } else { self.held.until.saturating_sub(now.mono) };
        let ttl = if self.setup.guards.deadline { left.min(START_TTL) } else { 1 << 40 };
        let before = now.unix + ttl;
        let job = self.table.job(entry)?;
        let start = Start {
            task: task.clone(),
            attempt,
            epoch: self.epoch(),
            kind: job.kind.clone(),
            size: job.size,
            before,
            lease: now.unix + self.setup.task_lease,
            work: job.work,
            checkpoint: entry.checkpoint,
            command: job.command.clone(),
        };
        let backend = backend.clone();
        self.sent.insert(task.clone(), before);
        Some(Action::Start { backend, start })
    }

    /// Whether a start is decided but not sent.
    pub fn start_waits(&self, task: &str) -> bool {
        self.starts.iter().any(|(_, waiting, _)| **waiting == *task)
    }

    fn stop(&self, task: &Name, attempt: u32) -> Option<Action> {
        let entry = self.table.tasks.get(task)?;
        match &entry.phase {
            Phase::Stopping(backend) if entry.attempt == attempt => {
                Some(Action::Stop { task: task.clone(), attempt, backend: backend.clone() })
            }
            _ => None,
        }
    }

    /// Durable changes that the backup has and the journal not yet.
    fn journal(&mut self) -> Option<Action> {
        let due = |(index, _): &&(u64, Op)| *index >= self.journaled && *index < self.first;
        let ops: Vec<_> = self.unlogged.iter().filter(due).cloned().collect();
        self.journaled = self.first.max(self.journaled);
        if ops.is_empty() {
            return None;
        }
        let (cell, epoch) = (self.id.clone(), self.epoch());
        Some(Action::Journal(JournalRecord::Ops { cell, epoch, ops }))
    }

    /// Durable changes of the predecessor that may be missing on the log.
    fn rejournal(&mut self) -> Option<Action> {
        self.journaled = 0;
        self.journal()
    }

    /// Notes that the log holds changes up to and with `index`. Jobs whose
    /// record it holds are accepted, provided that authority is still held.
    pub fn logged(&mut self, epoch: u64, ops: &[(u64, Op)], now: Now) {
        if self.role != Role::Primary || epoch < self.tenure {
            return;
        }
        let done: BTreeSet<u64> = ops.iter().map(|(index, _)| *index).collect();
        if !self.authority(now.mono) || epoch != self.epoch() {
            // A successor may have set its fence before: write them again.
            let least = done.first().copied().unwrap_or(self.journaled);
            self.journaled = self.journaled.min(least);
            return;
        }
        self.unlogged.retain(|(index, _)| !done.contains(index));
        for (_, op) in ops {
            if let Op::Submit(job) = op {
                self.commit(Op::Accept(job.id.clone()), now);
            }
        }
    }

    /// Stops deciding for good, so that the backup may take over at once. Does
    /// nothing while there is no backup with a whole copy.
    pub fn resign(&mut self, now: Millis) {
        let backed = self.record.as_ref().is_some_and(|r| r.backup.is_some());
        let open = self.whole || self.claiming.is_some();
        if self.role == Role::Primary && backed && !open && self.held.valid(now) {
            self.role = Role::Resigned;
        }
    }

    /// Whether this process may leave without loss: another one has the cell.
    pub fn handed_over(&self) -> bool {
        !matches!(self.role, Role::Primary | Role::Resigned)
    }

    fn clear(&mut self) {
        self.table = Table::default();
        self.servers.values_mut().for_each(Server::forget);
        self.sent.clear();
        self.ops.clear();
        self.unlogged.clear();
        self.starts.clear();
        self.stops.clear();
        self.flying = None;
        self.synced = false;
        self.solo = false;
        self.ready = false;
        self.seq = 0;
        self.first = 0;
        self.journaled = 0;
    }
}
