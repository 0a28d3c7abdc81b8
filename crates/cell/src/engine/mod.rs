//! State of one cell at one entry VM: its role, its changes and the resulting
//! actions. `claim` holds the claims, `replicate` the replication to the backup.

mod claim;
mod replicate;
mod setup;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use base::{Millis, Name, Now};
use plat::Start;

pub use self::setup::{Action, Guards, Role, Setup, World};
use crate::{Given, Held, JournalRecord, Op, Phase, Record, Server, Table};

/// Time after which a start that was not received becomes void, in milliseconds.
pub(crate) const START_TTL: Millis = 500;

/// Message to the backup that has no reply yet.
#[derive(Debug)]
struct InFlight {
    seq: u64,
    /// Time of sending, on the monotonic clock.
    sent: Millis,
    /// Index after the last change in the message.
    end: u64,
    /// Whether the message holds the full table.
    table: bool,
}

/// State of one cell at one entry VM.
#[derive(Debug)]
pub struct Cell {
    /// Identifier of the cell.
    pub id: Name,
    /// Process identity and timing.
    pub setup: Setup,
    /// Replicated table.
    pub table: Table,
    /// The primary's view of the backend servers.
    pub servers: BTreeMap<Name, Server>,
    /// Newest ownership record read.
    pub record: Option<Record>,
    /// Current role of this process.
    pub role: Role,
    /// Start of the unbroken series of epochs with this process as primary.
    pub since: Now,
    /// Unconfirmed starts by task, with the Unix time at which the newest copy
    /// becomes void.
    pub sent: BTreeMap<Name, Millis>,
    held: Held,
    given: Given,
    /// Epoch that this process has claimed and not yet read from the log.
    claiming: Option<u64>,
    /// Whether this backup has received the full table in this epoch.
    synced: bool,
    /// Whether this process acts as primary without a record of its own, by proof
    /// of the predecessor's death, while the log is unreachable.
    acting_alone: bool,
    /// Whether the table is complete: inherited as a backup, or rebuilt from the
    /// journal.
    ready: bool,
    /// Time until which listings may miss starts of a predecessor.
    settled_at: Millis,
    /// Whether the primary has resigned.
    resigned: bool,
    /// Sequence number of the newest message to or from the primary's backup.
    seq: u64,
    /// Index of the first change that the backup has not confirmed; at the
    /// backup, index of the next expected change.
    first: u64,
    /// Changes starting at index `first`.
    ops: VecDeque<Op>,
    /// Durable changes, each with its index, that the log has not confirmed.
    unlogged: VecDeque<(u64, Op)>,
    /// Durable changes below this index have been passed to the journal.
    journaled: u64,
    /// Starts (index, task, attempt) to send once the backup has the change with
    /// that index.
    starts: VecDeque<(u64, Name, u32)>,
    /// Stops to send, in the same form.
    stops: VecDeque<(u64, Name, u32)>,
    /// Message to which the backup has not replied.
    in_flight: Option<InFlight>,
    /// Whether the next message to the backup must hold the full table.
    send_table: bool,
    /// First epoch of the unbroken series with this process as primary.
    first_epoch: u64,
}

impl Cell {
    /// Creates a cell with an empty table and no record.
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
            acting_alone: false,
            ready: false,
            settled_at: 0,
            resigned: false,
            seq: 0,
            first: 0,
            ops: VecDeque::new(),
            unlogged: VecDeque::new(),
            journaled: 0,
            starts: VecDeque::new(),
            stops: VecDeque::new(),
            in_flight: None,
            send_table: false,
            first_epoch: 0,
        }
    }

    /// Returns the epoch of the newest record read; 0 if there is none.
    pub fn epoch(&self) -> u64 {
        self.record.as_ref().map_or(0, |r| r.epoch)
    }

    /// Returns whether this process may decide for the cell at `now`.
    pub fn authority(&self, now: Millis) -> bool {
        if self.role != Role::Primary {
            return false;
        }
        let alone = self.record.as_ref().is_some_and(|r| r.backup.is_none());
        alone || self.acting_alone || self.held.valid(now) || !self.setup.guards.lease
    }

    /// Returns whether starts may be decided at `now`: the table is complete,
    /// starts of a predecessor are void, and authority is held.
    pub fn deciding(&self, now: Millis) -> bool {
        self.ready && now >= self.settled_at && self.authority(now)
    }

    /// Returns whether the table is complete.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Returns the index of the next change.
    pub fn index(&self) -> u64 {
        self.first + self.ops.len() as u64
    }

    /// Returns whether every change before `index` is replicated or there is no
    /// backup.
    pub fn reached(&self, index: u64) -> bool {
        self.first >= index
    }

    /// Returns the time from which a listing shows every start of a predecessor,
    /// on the monotonic clock.
    pub fn settled(&self) -> Millis {
        self.settled_at
    }

    /// Iterates over the durable changes that are not yet on the log.
    pub fn unlogged(&self) -> impl Iterator<Item = &Op> {
        self.unlogged.iter().map(|(_, op)| op)
    }

    /// Applies an ownership record that the log has put in force.
    pub fn on_record(&mut self, record: &Record, world: &World<'_>) -> Vec<Action> {
        let old = record.epoch < self.epoch() || self.record.as_ref() == Some(record);
        if old {
            return Vec::new();
        }
        self.record = Some(record.clone());
        self.claiming = None;
        self.in_flight = None;
        if record.primary == self.setup.me {
            return self.on_own_record(world);
        }
        let was_primary = self.role == Role::Primary;
        self.role = match record.backup == Some(self.setup.me.clone()) {
            true => Role::Backup,
            false => Role::Idle,
        };
        if was_primary || self.role == Role::Idle {
            self.clear();
        }
        self.synced = false;
        self.resigned = false;
        self.acting_alone = false;
        self.given = Given::default();
        Vec::new()
    }

    /// Handles a new record that names this process as primary.
    fn on_own_record(&mut self, world: &World<'_>) -> Vec<Action> {
        let now = world.now;
        let epoch = self.epoch();
        let replace_after = now.mono + self.setup.lease + self.setup.skew;
        self.held = Held { replace_after, ..Held::default() };
        self.send_table = true;
        let fence = JournalRecord::Fence { cell: self.id.clone(), epoch };
        if self.role == Role::Primary {
            // This process was already acting as primary, as before a change of its backup.
            let acting_alone = std::mem::take(&mut self.acting_alone);
            return if acting_alone { vec![Action::Journal(fence)] } else { Vec::new() };
        }
        let copy = self.role == Role::Backup && self.synced;
        self.become_primary(world, copy);
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

    /// Becomes the acting primary; `copy` says whether it has the predecessor's
    /// table.
    fn become_primary(&mut self, world: &World<'_>, copy: bool) {
        let now = world.now;
        // Starts of the predecessor are void by the time its lease expires, within
        // the clock skew. Before lease expiry, the start deadline must pass as well.
        let lease_expired = copy && self.given.expired(now.mono);
        let wait = if lease_expired { self.setup.skew } else { START_TTL + self.setup.skew };
        let wait = if self.epoch() <= 1 && !copy { 0 } else { wait };
        self.role = Role::Primary;
        self.since = now;
        self.settled_at = if self.setup.guards.deadline { now.mono + wait } else { now.mono };
        self.sent.clear();
        self.servers.values_mut().for_each(Server::forget);
        self.first_epoch = self.epoch();
        self.first += self.ops.len() as u64;
        self.ops.clear();
        self.starts.clear();
        self.stops.clear();
        self.send_table = true;
        let tasks: Vec<_> = self.table.tasks.values().cloned().collect();
        for task in tasks.iter().filter(|t| matches!(t.phase, Phase::Stopping(_))) {
            self.stops.push_back((0, task.id.clone(), task.attempt));
        }
    }

    /// Installs the table rebuilt from the journal after the loss of both copies.
    pub fn rebuilt(&mut self, epoch: u64, mut table: Table) {
        if epoch != self.epoch() || self.role != Role::Primary || self.ready {
            return;
        }
        table.unlocate((epoch as u32).saturating_mul(1000));
        self.table = table;
        self.ready = true;
        self.send_table = true;
    }

    /// Applies a change as the primary and queues it for replication. Returns
    /// whether the table changed.
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

    /// Runs one step: claims, takeover, and actions that are due.
    pub fn tick(&mut self, world: &World<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        actions.extend(self.claim_epoch(world));
        if self.role == Role::Primary {
            actions.extend(self.flush(world.now));
        }
        actions
    }

    /// Returns the actions whose changes are replicated or need no replication.
    pub fn flush(&mut self, now: Now) -> Vec<Action> {
        let mut actions = Vec::new();
        if !self.authority(now.mono) {
            return actions;
        }
        let alone = self.acting_alone || self.record.as_ref().is_some_and(|r| r.backup.is_none());
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

    /// Returns whether a start of the task is queued but not sent.
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

    /// Passes durable changes that the backup has to the journal.
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

    /// Passes durable changes of the predecessor to the journal again, because
    /// they may be missing from the log.
    fn rejournal(&mut self) -> Option<Action> {
        self.journaled = 0;
        self.journal()
    }

    /// Records that the log holds the changes `ops`, written in `epoch`. Accepts
    /// their submitted jobs, provided that authority is still held; otherwise the
    /// changes are written again.
    pub fn logged(&mut self, epoch: u64, ops: &[(u64, Op)], now: Now) {
        if self.role != Role::Primary || epoch < self.first_epoch {
            return;
        }
        let done: BTreeSet<u64> = ops.iter().map(|(index, _)| *index).collect();
        if !self.authority(now.mono) || epoch != self.epoch() {
            // A successor's fence may precede these changes on the log.
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

    /// Resigns as primary, so that the backup may take over at once. Has no effect
    /// without a valid lease or while the backup has no complete copy.
    pub fn resign(&mut self, now: Millis) {
        let backed = self.record.as_ref().is_some_and(|r| r.backup.is_some());
        let open = self.send_table || self.claiming.is_some();
        if self.role == Role::Primary && backed && !open && self.held.valid(now) {
            self.role = Role::Resigned;
        }
    }

    /// Returns whether this process is neither primary nor resigning, so that it
    /// may exit without loss.
    pub fn handed_over(&self) -> bool {
        !matches!(self.role, Role::Primary | Role::Resigned)
    }

    /// Discards the table and all replication state.
    fn clear(&mut self) {
        self.table = Table::default();
        self.servers.values_mut().for_each(Server::forget);
        self.sent.clear();
        self.ops.clear();
        self.unlogged.clear();
        self.starts.clear();
        self.stops.clear();
        self.in_flight = None;
        self.synced = false;
        self.acting_alone = false;
        self.ready = false;
        self.seq = 0;
        self.first = 0;
        self.journaled = 0;
    }
}
