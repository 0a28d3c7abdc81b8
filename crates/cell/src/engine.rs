use std::collections::{BTreeMap, BTreeSet, VecDeque};

use base::{Millis, Name, Now};

use crate::{
    Given, Held, JournalRecord, Op, Peer, Phase, Record, Server, Sync, SyncReply, Table, Verdict,
};

/// Time after which a start that was not received is void.
pub(crate) const START_TTL: Millis = 500;
/// Time after which an unanswered [`Sync`] is sent again.
const SYNC_TIMEOUT: Millis = 400;
/// Changes beyond which one [`Sync`] is cut.
const MAX_OPS: usize = 4000;

/// Safeguards of the protocol. All are on in production; a test takes one out
/// to show that its checks notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Guards {
    /// A primary acts only while it holds its lease.
    pub lease: bool,
    /// Only a backup with a whole copy claims when the lease has expired.
    pub copy: bool,
    /// A backup that has claimed grants no more.
    pub fence: bool,
    /// A start is sent only after its intent is in the backup's memory.
    pub intent: bool,
    /// Starts carry a deadline, and a new primary waits for it to pass.
    pub deadline: bool,
    /// A backup takes over without the log only while it cannot have been
    /// replaced.
    pub solo: bool,
    /// Without the log and without proof of death nobody takes over.
    pub proof: bool,
}

impl Guards {
    /// Every safeguard.
    pub const ALL: Guards = Guards {
        lease: true,
        copy: true,
        fence: true,
        intent: true,
        deadline: true,
        solo: true,
        proof: true,
    };
}

/// What a cell needs to know of its process.
#[derive(Debug, Clone)]
pub struct Setup {
    /// This process.
    pub me: Peer,
    /// Lease of a primary while the log can be reached.
    pub lease: Millis,
    /// Lease of a primary while it cannot.
    pub outage_lease: Millis,
    /// Lease of a running task.
    pub task_lease: Millis,
    /// Bound on the difference of clocks.
    pub skew: Millis,
    /// Safeguards in use.
    pub guards: Guards,
}

/// What the process knows of the others at a tick.
pub struct World<'a> {
    /// The time.
    pub now: Now,
    /// Whether the log has answered lately.
    pub log: bool,
    /// Whether a process is proven dead.
    pub dead: &'a dyn Fn(&Peer) -> bool,
    /// Entry VMs of the failure domain that answer heartbeats, this one too,
    /// the first choice for the cell first.
    pub live: &'a [Peer],
}

/// Part that this process takes in a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// None.
    Idle,
    /// It holds the second copy.
    Backup,
    /// It decides.
    Primary,
    /// It was the primary and has stopped for good.
    Resigned,
}

/// What the process has to do for a cell.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Append a claim to the log until a record of its epoch is read.
    Claim(Record),
    /// Append to the journal.
    Journal(JournalRecord),
    /// Read the journal up to this cell's fence of the epoch, then call
    /// [`Cell::rebuilt`].
    Rebuild(u64),
    /// Send a start whose intent is replicated.
    Start {
        /// Task.
        task: Name,
        /// Attempt.
        attempt: u32,
        /// Backend server.
        backend: Name,
        /// Unix milliseconds after which it is void.
        before: Millis,
    },
    /// Send a checkpoint and stop.
    Stop {
        /// Task.
        task: Name,
        /// Attempt.
        attempt: u32,
        /// Backend server.
        backend: Name,
    },
}

#[derive(Debug)]
struct Flying {
    seq: u64,
    sent: Millis,
    end: u64,
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
    seq: u64,
    first: u64,
    ops: VecDeque<Op>,
    unlogged: VecDeque<(u64, Op)>,
    journaled: u64,
    starts: VecDeque<(u64, Name, u32)>,
    stops: VecDeque<(u64, Name, u32)>,
    flying: Option<Flying>,
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
        self.sent.insert(task.clone(), before);
        Some(Action::Start { task: task.clone(), attempt, backend: backend.clone(), before })
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

    /// The next message to the backup, where one is due.
    pub fn sync(&mut self, world: &World<'_>, every: Millis) -> Option<Sync> {
        let now = world.now.mono;
        let record = self.record.as_ref()?;
        let acts = matches!(self.role, Role::Primary | Role::Resigned);
        if !acts || self.solo || self.claiming.is_some() || !self.ready {
            return None;
        }
        let backup = record.backup.clone()?;
        if let Some(flying) = &self.flying {
            if now < flying.sent + SYNC_TIMEOUT {
                return None;
            }
            // What an unanswered message held is unknown: it is covered anew.
            self.whole |= flying.table;
        }
        let due = now + every >= self.held.until.min(now + every * 2);
        let quiet = self.ops.is_empty() && !self.whole && self.role == Role::Primary;
        let recent = self.flying.is_none() && now < self.renewed() + every;
        if quiet && recent && !due {
            return None;
        }
        let ttl = if world.log { self.setup.lease } else { self.setup.outage_lease };
        let table =
            self.whole.then(|| (self.table.clone(), self.unlogged.iter().cloned().collect()));
        let end = self.first + self.ops.len() as u64;
        let (first, ops) = match self.whole {
            true => (end, Vec::new()),
            false => (self.first, self.ops.iter().take(MAX_OPS).cloned().collect()),
        };
        self.seq += 1;
        self.held.send(now, ttl);
        let reached = first + ops.len() as u64;
        self.flying = Some(Flying { seq: self.seq, sent: now, end: reached, table: self.whole });
        Some(Sync {
            cell: self.id.clone(),
            epoch: record.epoch,
            primary: self.setup.me.clone(),
            backup,
            seq: self.seq,
            ttl,
            echo: self.held.echo,
            echo_ttl: self.held.echo_ttl,
            resign: self.role == Role::Resigned,
            table,
            logged: self.unlogged.front().map_or(end, |(index, _)| *index),
            first,
            ops,
        })
    }

    /// When the newest grant was received, as far as it can be told.
    fn renewed(&self) -> Millis {
        self.held.bound.saturating_sub(self.held.echo_ttl + self.setup.skew)
    }

    /// Takes in the answer of the backup.
    pub fn on_reply(&mut self, reply: &SyncReply, now: Now) {
        if reply.epoch != self.epoch() || !matches!(self.role, Role::Primary | Role::Resigned) {
            return;
        }
        let Some(flying) = self.flying.take_if(|f| f.seq == reply.seq) else { return };
        match reply.verdict {
            Verdict::Granted => {
                self.held.grant(now.mono, flying.sent, reply.stamp, reply.ttl, self.setup.skew);
                while self.first < flying.end && self.ops.pop_front().is_some() {
                    self.first += 1;
                }
                self.whole &= !flying.table;
            }
            Verdict::Resync => self.whole = true,
            Verdict::Refused => {}
        }
    }

    /// Applies a message of the primary and renews its lease.
    pub fn on_sync(&mut self, sync: Sync, world: &World<'_>) -> SyncReply {
        let now = world.now;
        if sync.backup == self.setup.me && sync.epoch > self.epoch() {
            // The sender acts on a record that this process has yet to read.
            let record = Record {
                cell: sync.cell.clone(),
                epoch: sync.epoch,
                primary: sync.primary.clone(),
                backup: Some(sync.backup.clone()),
            };
            self.on_record(&record, world);
        }
        let mut reply = SyncReply {
            cell: sync.cell.clone(),
            epoch: sync.epoch,
            seq: sync.seq,
            verdict: Verdict::Refused,
            stamp: now.mono,
            ttl: 0,
        };
        let fits = sync.epoch == self.epoch()
            && self.role == Role::Backup
            && sync.backup == self.setup.me
            && self.record.as_ref().is_some_and(|r| r.primary == sync.primary);
        let claimed = self.claiming.is_some() && self.setup.guards.fence;
        if !fits || claimed || self.resigned || sync.seq <= self.seq && self.synced {
            return reply;
        }
        if let Some((table, unlogged)) = sync.table {
            self.table = table;
            self.unlogged = unlogged.into();
            self.first = sync.first;
            self.synced = true;
        }
        if !self.synced || sync.first > self.first {
            reply.verdict = Verdict::Resync;
            return reply;
        }
        let skip = (self.first - sync.first) as usize;
        for op in sync.ops.iter().skip(skip) {
            self.table.apply(op, now.unix);
            if op.durable() {
                self.unlogged.push_back((self.first, op.clone()));
            }
            self.first += 1;
        }
        self.unlogged.retain(|(index, _)| *index >= sync.logged);
        self.seq = sync.seq;
        self.resigned = sync.resign;
        let ttl = if world.log { sync.ttl.min(self.setup.lease) } else { sync.ttl };
        self.given.grant(now.mono, sync.ttl, ttl, (sync.echo, sync.echo_ttl), self.setup.skew);
        reply.verdict = Verdict::Granted;
        reply.ttl = ttl;
        reply
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

    /// Claims the next epoch where the rules allow it.
    fn succeed(&mut self, world: &World<'_>) -> Option<Action> {
        let claim = match self.role {
            Role::Idle => self.claim_idle(world),
            Role::Backup => self.claim_backup(world),
            Role::Primary => self.claim_primary(world),
            Role::Resigned => self.claim_resigned(world),
        }?;
        let first = self.claiming != Some(claim.epoch);
        self.claiming = Some(claim.epoch);
        (first || world.log).then_some(Action::Claim(claim))
    }

    fn next(&self, backup: Option<Peer>) -> Record {
        Record {
            cell: self.id.clone(),
            epoch: self.epoch() + 1,
            primary: self.setup.me.clone(),
            backup,
        }
    }

    /// A third VM claims what nobody has, or what all holders have lost.
    fn claim_idle(&self, world: &World<'_>) -> Option<Record> {
        if !world.log || world.live.first() != Some(&self.setup.me) {
            return None;
        }
        let orphan = match &self.record {
            None => true,
            Some(record) => {
                let backup = record.backup.as_ref();
                (world.dead)(&record.primary) && backup.is_none_or(|b| (world.dead)(b))
            }
        };
        orphan.then(|| self.next(None))
    }

    /// A primary that has resigned to a backup which then died starts over, as
    /// anyone else would: the backup may have acted in between.
    fn claim_resigned(&self, world: &World<'_>) -> Option<Record> {
        let backup = self.record.as_ref()?.backup.as_ref()?;
        (world.log && (world.dead)(backup)).then(|| self.next(None))
    }

    fn claim_backup(&mut self, world: &World<'_>) -> Option<Record> {
        let record = self.record.as_ref()?;
        let guards = self.setup.guards;
        let dead = (world.dead)(&record.primary) || self.resigned;
        let whole = self.synced || !guards.copy;
        let lapsed = whole && self.given.expired(world.now.mono);
        if world.log {
            return (dead || lapsed).then(|| self.next(None));
        }
        let bound = world.now.mono < self.given.solo || self.resigned || !guards.solo;
        let proven = dead || (lapsed && !guards.proof);
        if proven && self.synced && bound && self.claiming.is_none() {
            self.begin(world, true);
            self.solo = true;
            self.ready = true;
        }
        None
    }

    /// The primary goes on alone when its backup is silent, and takes a new
    /// backup when it is alone.
    fn claim_primary(&mut self, world: &World<'_>) -> Option<Record> {
        if !world.log {
            return None;
        }
        if self.solo {
            return Some(self.next(None));
        }
        let record = self.record.as_ref()?;
        let now = world.now.mono;
        let Some(backup) = &record.backup else {
            let settled = self.ready && now >= self.settle;
            let other = world.live.iter().find(|p| **p != self.setup.me);
            let again = self.claiming.is_some();
            return match (settled || again, other) {
                (true, Some(peer)) => Some(self.next(Some(peer.clone()))),
                _ => None,
            };
        };
        let silent = !self.held.valid(now) && now > self.held.bound;
        let dead = (world.dead)(backup);
        (silent || dead || self.claiming.is_some()).then(|| self.next(None))
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
