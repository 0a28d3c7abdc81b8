//! Simulated entry VM with its cell, its position in the log and its clock.

use base::{Millis, Name, Now, Size};
use cell::{
    Action, Cell, Claim, Guards, Job, Journal, JournalReader, JournalRecord, Op, Peer, Phase,
    Registry, Role, Server, ServerState, Setup, World, answered, reap, stopped,
};
use plat::{Renew, Start, StartAnswer, Stop, StopAnswer};

use crate::sim::{
    BACKEND_SIZE, BACKENDS, CELL, LIST_LAG, Sim, VMS,
    net::{Body, Message},
};

/// Lease of a running task, in milliseconds.
const TASK_LEASE: Millis = 4000;
/// Maximum difference between clocks, in milliseconds.
const SKEW: Millis = 100;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum State {
    Up,
    Frozen,
    Dead,
}

pub(crate) struct Vm {
    pub(crate) state: State,
    pub(crate) cell: Cell,
    pub(crate) journal: Journal,
    pub(crate) registry: Registry,
    /// Messages received while the VM was frozen.
    pub(crate) inbox: Vec<Message>,
    /// Messages held back because the VM froze between decision and sending.
    pub(crate) held: Vec<Message>,
    /// Whether the reply to the next append is lost.
    pub(crate) lose_append: bool,
    read: usize,
    renewed: Millis,
    listed: Millis,
    rebuild: Option<u64>,
    skew: Millis,
}

impl Vm {
    pub(crate) fn open(i: usize, incarnation: u64, guards: Guards) -> Vm {
        let me = Peer { vm: format!("e{i}").into(), incarnation };
        let setup = Setup {
            me: me.clone(),
            lease: 1200,
            outage_lease: 6000,
            task_lease: TASK_LEASE,
            skew: SKEW,
            guards,
        };
        let mut cell = Cell::open(CELL.into(), setup);
        for b in 0..BACKENDS {
            let id = Name::from(format!("b{b}"));
            let addr = ([127, 0, 0, 1], 1).into();
            cell.servers.insert(id.clone(), Server::open(id, addr, BACKEND_SIZE));
        }
        Vm {
            state: State::Up,
            cell,
            journal: Journal::open(me),
            registry: Registry::default(),
            inbox: Vec::new(),
            held: Vec::new(),
            lose_append: false,
            read: 0,
            renewed: 0,
            listed: 0,
            rebuild: None,
            skew: i as Millis * SKEW / 2,
        }
    }

    pub(crate) fn rename(&mut self, me: Peer) {
        self.journal = Journal::open(me.clone());
        self.cell.setup.me = me;
    }

    pub(crate) fn peer(&self) -> Peer {
        self.cell.setup.me.clone()
    }

    /// Returns the VM's clocks at the true time `time`; wall clocks differ by VM.
    pub(crate) fn now(&self, time: Millis) -> Now {
        Now { mono: time, unix: time + self.skew }
    }

    pub(crate) fn describe(&self) -> String {
        let tasks: Vec<_> = self.cell.table.tasks.values().filter(|t| !t.ended()).collect();
        format!(
            "{} {:?} {:?} {:?} rebuild {:?} unlogged {} {tasks:?}",
            self.peer(),
            self.state,
            self.cell.role,
            self.cell.record,
            self.rebuild,
            self.cell.unlogged().count()
        )
    }

    /// Submits a job if this VM decides for the cell. Returns whether it did.
    pub(crate) fn take_job(&mut self, time: Millis, job: &Job) -> bool {
        let decides = self.state == State::Up && self.cell.is_ready() && self.cell.authority(time);
        decides && self.cell.commit(Op::Submit(job.clone()), self.now(time))
    }

    pub(crate) fn evict(&mut self, time: Millis) {
        let runs = |t: &&cell::Task| matches!(t.phase, Phase::Running(_));
        let task = self.cell.table.tasks.values().find(runs).cloned();
        if let Some(task) = task.filter(|_| self.cell.deciding(time)) {
            let op = Op::Evict { task: task.id, attempt: task.attempt };
            self.cell.commit(op, self.now(time));
        }
    }

    /// Assigns accepted tasks to servers with free capacity in this VM's table.
    fn place(&mut self, time: Millis) {
        if !self.cell.deciding(time) {
            return;
        }
        let waits = |t: &&cell::Task| t.phase == Phase::Queued;
        let queued: Vec<_> = self.cell.table.tasks.values().filter(waits).cloned().collect();
        for task in queued {
            let accepted = self.cell.table.jobs.get(&task.job).is_some_and(|(_, a)| *a);
            let size = self.cell.table.size(&task);
            let backend = self.find_server(size, self.now(time).unix);
            if let Some(backend) = backend.filter(|_| accepted) {
                let attempt = task.attempt + 1;
                self.cell.commit(Op::Assign { task: task.id, attempt, backend }, self.now(time));
            }
        }
    }

    /// Returns a usable server with free capacity for a task.
    fn find_server(&self, size: Size, now: Millis) -> Option<Name> {
        let fits = |server: &&Server| {
            let held = self.cell.table.committed(&server.id).plus(server.foreign);
            server.usable(now) && held.plus(size).fits(server.size)
        };
        self.cell.servers.values().find(fits).map(|s| s.id.clone())
    }

    pub(crate) fn started(&mut self, start: &Start, reply: StartAnswer, now: Now) {
        if let Some(op) = answered(&self.cell, start, reply) {
            self.cell.commit(op, now);
        }
    }

    pub(crate) fn stopped(&mut self, stop: &Stop, backend: &Name, reply: StopAnswer, now: Now) {
        if let Some(op) = stopped(&self.cell, backend, stop, reply) {
            self.cell.commit(op, now);
        }
    }
}

impl Sim {
    /// Calls `step` on a VM with its view of the log and the other processes.
    pub(crate) fn with_world<T>(
        &mut self,
        i: usize,
        step: impl FnOnce(&mut Vm, &World<'_>) -> T,
    ) -> T {
        let now = self.vms[i].now(self.now);
        let log = self.log_reachable(i);
        let first = self.choose(VMS);
        let reachable = |j: usize| self.vms[j].state == State::Up && !self.cuts.contains(&(i, j));
        let order = (0..VMS).map(|k| (first + k) % VMS);
        let live: Vec<Peer> =
            order.filter(|j| *j == i || reachable(*j)).map(|j| self.vms[j].peer()).collect();
        let proven: Vec<Peer> = self.known().into_iter().filter(|p| self.dead(p)).collect();
        let dead = |peer: &Peer| proven.contains(peer);
        let world = World { now, log, dead: &dead, live: &live };
        step(&mut self.vms[i], &world)
    }

    /// Returns every process named by a claim.
    fn known(&self) -> Vec<Peer> {
        let records = self.claims.iter().map(|claim| match claim {
            Claim::Claim(record) | Claim::Refresh(record) => record,
        });
        records.flat_map(|r| [Some(r.primary.clone()), r.backup.clone()]).flatten().collect()
    }

    fn log_reachable(&self, i: usize) -> bool {
        self.log_up && !self.cuts.contains(&(i, usize::MAX))
    }

    /// Runs one tick of a VM.
    pub(crate) fn tick(&mut self, i: usize) {
        if self.vms[i].state != State::Up {
            return;
        }
        for message in std::mem::take(&mut self.vms[i].inbox) {
            self.on_vm_message(message);
        }
        if self.log_reachable(i) {
            self.read_claims(i);
            self.rebuild(i);
            self.append_journal(i);
        }
        let actions = self.with_world(i, |vm, world| vm.cell.tick(world));
        self.perform(i, actions);
        let now = self.vms[i].now(self.now);
        if self.vms[i].cell.role == Role::Primary {
            self.list_vms(i);
            reap(&mut self.vms[i].cell, now);
            self.vms[i].place(self.now);
            let actions = self.vms[i].cell.flush(now);
            self.perform(i, actions);
            self.poll(i, now);
        }
        self.sync(i);
    }

    fn sync(&mut self, i: usize) {
        let Some(sync) = self.with_world(i, |vm, world| vm.cell.sync(world, 300)) else { return };
        let to = (0..VMS).find(|j| self.vms[*j].peer() == sync.backup);
        self.note(|| format!("{i} syncs to {to:?}: epoch {} seq {}", sync.epoch, sync.seq));
        if let Some(to) = to {
            self.send(i, to, Body::Sync(Box::new(sync)));
        }
    }

    /// Updates the states of the backend servers from the VM list.
    fn list_vms(&mut self, i: usize) {
        for b in 0..BACKENDS {
            let gone = self.crashed[b].is_some_and(|at| self.now > at + LIST_LAG);
            let id = Name::from(format!("b{b}"));
            if let Some(server) = self.vms[i].cell.servers.get_mut(&id) {
                server.state = if gone { ServerState::Gone } else { ServerState::Live };
            }
        }
    }

    fn poll(&mut self, i: usize, now: Now) {
        if now.mono >= self.vms[i].listed + 300 && now.mono >= self.vms[i].cell.settled() {
            self.vms[i].listed = now.mono;
            (0..BACKENDS).for_each(|b| self.send(i, 10 + b, Body::List(now)));
        }
        if now.mono >= self.vms[i].renewed + TASK_LEASE / 3 {
            self.vms[i].renewed = now.mono;
            (0..BACKENDS).for_each(|b| self.renew(i, b, now));
        }
    }

    fn renew(&mut self, i: usize, b: usize, now: Now) {
        let backend = Name::from(format!("b{b}"));
        let cell = &self.vms[i].cell;
        let here = cell.table.tasks.values().filter(|t| t.backend() == Some(&backend));
        let tasks: Vec<_> = here.map(|t| (t.id.clone(), t.attempt)).collect();
        let lease = now.unix + TASK_LEASE;
        if !tasks.is_empty() {
            self.send(i, 10 + b, Body::Renew(Renew { tasks, lease }));
        }
    }

    fn read_claims(&mut self, i: usize) {
        while self.vms[i].read < self.claims.len() {
            let claim = self.claims[self.vms[i].read].clone();
            self.vms[i].read += 1;
            if !self.vms[i].registry.fold(&claim) {
                continue;
            }
            let (Claim::Claim(record) | Claim::Refresh(record)) = claim;
            let actions = self.with_world(i, |vm, world| vm.cell.on_record(&record, world));
            self.perform(i, actions);
        }
    }

    fn rebuild(&mut self, i: usize) {
        let Some(epoch) = self.vms[i].rebuild else { return };
        let mut reader = JournalReader::open(CELL.into());
        let now = self.now;
        let mut fenced = false;
        for batch in &self.journal {
            fenced |= reader.fold(batch, epoch, now);
        }
        if fenced {
            let vm = &mut self.vms[i];
            vm.rebuild = None;
            let epoch = vm.cell.epoch().max(epoch);
            vm.cell.rebuilt(epoch, reader.table);
        }
    }

    /// Appends a batch to the log; if the reply is lost, it is appended again later.
    fn append_journal(&mut self, i: usize) {
        let Some(batch) = self.vms[i].journal.due() else { return };
        self.journal.push(batch.clone());
        if std::mem::take(&mut self.vms[i].lose_append) {
            return;
        }
        let now = self.vms[i].now(self.now);
        for record in self.vms[i].journal.confirm(batch.seq) {
            if let JournalRecord::Ops { epoch, ops, .. } = record {
                self.vms[i].cell.logged(epoch, &ops, now);
            }
        }
        // Callers learn of accepted jobs only while authority is held.
        if self.vms[i].cell.authority(self.now) {
            let jobs = self.vms[i].cell.table.jobs.values();
            let accepted: Vec<Name> =
                jobs.filter(|(_, a)| *a).map(|(job, _)| job.id.clone()).collect();
            self.accepted.extend(accepted);
        }
    }

    /// Carries out the actions of a cell.
    pub(crate) fn perform(&mut self, i: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Claim(record) => self.claim(i, Claim::Claim(record)),
                Action::Journal(record) => self.vms[i].journal.push(record),
                Action::Rebuild(epoch) => self.vms[i].rebuild = Some(epoch),
                Action::Start { backend, start } => self.start(i, &backend, start),
                Action::Stop { task, attempt, backend } => {
                    let stop = Stop { task, attempt, checkpoint: true };
                    self.send(i, node_number(&backend), Body::Stop(stop));
                }
            }
        }
    }

    /// Appends a claim: half of the claims take effect at once, a quarter later and a
    /// quarter never.
    fn claim(&mut self, i: usize, claim: Claim) {
        if !self.log_reachable(i) || self.claims.contains(&claim) {
            return;
        }
        match self.choose(4) {
            0 if self.pending.len() < 8 => self.pending.push(claim),
            1 => {}
            _ => {
                self.note(|| format!("{i} claims {claim:?}"));
                self.claims.push(claim);
            }
        }
    }

    fn start(&mut self, i: usize, backend: &Name, start: Start) {
        self.note(|| format!("{i} starts {} attempt {} on {backend}", start.task, start.attempt));
        let incarnation = self.vms[i].peer().incarnation;
        let message =
            Message { from: i, to: node_number(backend), incarnation, body: Body::Start(start) };
        // In one of eight cases the VM freezes before it sends the start.
        match self.choose(8) {
            0 if !self.repaired => {
                self.vms[i].held.push(message);
                self.vms[i].state = State::Frozen;
                self.note(|| format!("freeze {i} before sending"));
            }
            _ => self.net.push_back(message),
        }
    }
}

fn node_number(backend: &Name) -> usize {
    10 + backend[1..].parse::<usize>().unwrap_or(0)
}
