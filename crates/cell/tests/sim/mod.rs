//! Deterministic simulation of a small fleet: three entry VMs, three backend
//! servers, the log and the network. The schedule determines time and choices.

mod net;
mod vm;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use base::{Millis, Name, Now, Size};
use cell::{Claim, Guards, Job, JournalBatch, Peer, Phase};
use plat::RunState;
use stub::{Runs, What};

use self::{
    net::Message,
    vm::{State, Vm},
};

/// Identifier of the cell under test.
pub(crate) const CELL: &str = "d.r";
/// Number of entry VMs.
pub(crate) const VMS: usize = 3;
/// Number of backend servers.
pub(crate) const BACKENDS: usize = 3;
/// Size of a backend server, enough for two tasks.
const BACKEND_SIZE: Size = Size { cpu: 2, memory: 2, accel: 0 };
/// Delay until the VM list shows a change, in milliseconds.
const LIST_LAG: Millis = 1000;

/// State of the simulated fleet.
pub(crate) struct Sim {
    pub(crate) now: Millis,
    pub(crate) vms: Vec<Vm>,
    pub(crate) backends: Vec<Runs>,
    /// Time of each backend server's crash, if any.
    pub(crate) crashed: [Option<Millis>; BACKENDS],
    pub(crate) net: VecDeque<Message>,
    pub(crate) log_up: bool,
    pub(crate) claims: Vec<Claim>,
    /// Claims whose append is in flight, or whose reply was lost before they took
    /// effect.
    pub(crate) pending: Vec<Claim>,
    pub(crate) journal: Vec<JournalBatch>,
    /// Partitioned pairs of nodes; the log is `usize::MAX`.
    pub(crate) cuts: BTreeSet<(usize, usize)>,
    /// Jobs reported to a caller as accepted.
    pub(crate) accepted: BTreeSet<Name>,
    /// Time at which each killed VM was removed from the list.
    pub(crate) removed: BTreeMap<Name, Millis>,
    pub(crate) submitted: u32,
    pub(crate) trace: Vec<String>,
    /// Whether failures are repaired and no new ones are injected.
    pub(crate) repaired: bool,
    guards: Guards,
    entropy: u64,
}

impl Sim {
    pub(crate) fn open(guards: Guards) -> Sim {
        let vms = (0..VMS).map(|i| Vm::open(i, 1000, guards)).collect();
        Sim {
            now: 1_000_000,
            vms,
            backends: (0..BACKENDS).map(|_| Runs::open(BACKEND_SIZE, Vec::new())).collect(),
            crashed: [None; BACKENDS],
            net: VecDeque::new(),
            log_up: true,
            claims: Vec::new(),
            pending: Vec::new(),
            journal: Vec::new(),
            cuts: BTreeSet::new(),
            accepted: BTreeSet::new(),
            removed: BTreeMap::new(),
            submitted: 0,
            trace: Vec::new(),
            repaired: false,
            guards,
            entropy: 1,
        }
    }

    /// Returns a pseudo-random number below `bound`, derived from the schedule.
    pub(crate) fn choose(&mut self, bound: usize) -> usize {
        self.entropy = self.entropy.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        (self.entropy >> 33) as usize % bound.max(1)
    }

    /// Adds a line to the trace if `TRACE` is set.
    pub(crate) fn note(&mut self, text: impl FnOnce() -> String) {
        if std::env::var_os("TRACE").is_some() {
            self.trace.push(format!("{} {}", self.now, text()));
        }
    }

    /// Returns the true time for both clocks.
    pub(crate) fn true_now(&self) -> Now {
        Now { mono: self.now, unix: self.now }
    }

    /// Executes one step of a schedule, then delivers a few messages.
    pub(crate) fn step(&mut self, number: u16) {
        self.entropy ^= u64::from(number) << 17 | u64::from(number);
        let i = self.choose(VMS);
        let at = usize::from(number >> 8);
        match number & 0xff {
            0..=119 => self.advance_time([10, 30, 60, 120][at % 4]),
            120..=129 => self.advance_time([400, 900, 1500, 2500][at % 4]),
            130..=144 => self.submit(),
            145..=154 => self.evict(i),
            155..=164 => self.freeze(i),
            165..=179 => self.thaw(i),
            180..=184 => self.kill(i),
            185..=189 => self.restart(i),
            190..=197 => self.set_log(false),
            198..=207 => self.set_log(true),
            208..=217 => self.cut(i, at),
            218..=229 => self.heal(),
            230..=237 => self.drop_message(),
            238..=243 => self.duplicate_message(),
            244..=247 => self.resign(i),
            248..=250 => self.apply_pending_claim(),
            251 => self.crash(at),
            _ => self.vms[i].lose_append = true,
        }
        self.deliver_some();
    }

    /// Repairs all failures, then runs until all accepted jobs have finished or
    /// `limit` has passed.
    pub(crate) fn settle(&mut self, limit: Millis) -> Result<(), String> {
        self.repaired = true;
        self.set_log(true);
        self.cuts.clear();
        for i in 0..VMS {
            self.thaw(i);
            if self.vms[i].state == State::Dead {
                self.restart(i);
            }
        }
        let end = self.now + limit;
        while self.now < end && !self.done() {
            self.advance_time(50);
            while !self.net.is_empty() {
                self.deliver(0);
            }
            self.check()?;
        }
        if self.done() {
            return Ok(());
        }
        let acting: Vec<_> = self.vms.iter().map(|vm| vm.describe()).collect();
        Err(format!("accepted work did not finish: {acting:#?}"))
    }

    /// Returns whether the deciding process has recorded the completion of every
    /// accepted job.
    fn done(&self) -> bool {
        let Some(vm) = self.vms.iter().find(|vm| vm.cell.deciding(self.now)) else { return false };
        self.accepted.iter().all(|job| {
            let task = Name::from(format!("{job}#0"));
            vm.cell.table.tasks.get(&task).is_some_and(|t| t.phase == Phase::Finished)
        })
    }

    /// Checks the invariants, which must hold after every step.
    pub(crate) fn check(&mut self) -> Result<(), String> {
        let now = self.true_now();
        self.backends.iter_mut().for_each(|runs| runs.advance(now));
        self.check_once()?;
        self.check_capacity()?;
        self.check_resume()?;
        self.check_authority()
    }

    /// Checks that no task runs more than once at a time.
    fn check_once(&self) -> Result<(), String> {
        let mut seen: BTreeMap<Name, (usize, u32)> = BTreeMap::new();
        for (i, runs) in self.backends.iter().enumerate() {
            for report in runs.reports().iter().filter(|r| r.state == RunState::Running) {
                let other = seen.insert(report.task.clone(), (i, report.attempt));
                if let Some((b, attempt)) = other {
                    return Err(format!(
                        "{} runs twice: attempt {attempt} on {b} and {} on {i}",
                        report.task, report.attempt
                    ));
                }
            }
        }
        Ok(())
    }

    /// Checks that no server is committed beyond its size.
    fn check_capacity(&self) -> Result<(), String> {
        for (i, runs) in self.backends.iter().enumerate() {
            if !runs.committed().fits(BACKEND_SIZE) {
                return Err(format!("server {i} is committed to {}", runs.committed()));
            }
        }
        Ok(())
    }

    /// Checks that evicted work resumes at most once and finished work never: no
    /// attempt of a task starts twice, and none starts after the task finished.
    fn check_resume(&self) -> Result<(), String> {
        let mut starts: BTreeMap<(Name, u32), usize> = BTreeMap::new();
        let mut ended: BTreeMap<Name, Millis> = BTreeMap::new();
        let entries = || self.backends.iter().flat_map(|runs| &runs.ledger.entries);
        for e in entries() {
            match e.what {
                What::Start => *starts.entry((e.id.clone(), e.attempt)).or_default() += 1,
                What::Finish if ended.insert(e.id.clone(), e.at).is_some() => {
                    return Err(format!("{} finished twice", e.id));
                }
                _ => {}
            }
        }
        if let Some((id, count)) = starts.iter().find(|(_, count)| **count > 1) {
            return Err(format!("{} attempt {} started {count} times", id.0, id.1));
        }
        let after = |e: &&stub::LedgerEntry| {
            e.what == What::Start && ended.get(&e.id).is_some_and(|at| e.at > *at)
        };
        match entries().find(after) {
            Some(e) => Err(format!("{} started again after its finish", e.id)),
            None => Ok(()),
        }
    }

    /// Checks that at most one process decides for the cell.
    fn check_authority(&self) -> Result<(), String> {
        let acting: Vec<usize> = (0..VMS)
            .filter(|i| self.vms[*i].state != State::Dead)
            .filter(|i| self.vms[*i].cell.authority(self.now))
            .collect();
        if acting.len() > 1 {
            return Err(format!("several processes decide: {acting:?}"));
        }
        Ok(())
    }

    fn advance_time(&mut self, time: Millis) {
        let end = self.now + time;
        while self.now < end {
            self.now += (end - self.now).min(50);
            let now = self.true_now();
            self.backends.iter_mut().for_each(|runs| runs.advance(now));
            for i in 0..VMS {
                self.tick(i);
            }
        }
    }

    /// Removes a backend server with all its runs; server 0 is never removed.
    fn crash(&mut self, at: usize) {
        let b = 1 + at % (BACKENDS - 1);
        if self.crashed[b].is_none() {
            self.note(|| format!("crash of server {b}"));
            self.crashed[b] = Some(self.now);
            let ledger = std::mem::take(&mut self.backends[b].ledger);
            self.backends[b] = Runs::open(BACKEND_SIZE, Vec::new());
            // A task whose completion was not recorded has to run again.
            let kept = ledger.entries.into_iter().filter(|e| e.what != What::Finish);
            self.backends[b].ledger.entries = kept.collect();
        }
    }

    /// Lets a claim in flight take effect.
    fn apply_pending_claim(&mut self) {
        if self.log_up && !self.pending.is_empty() {
            let at = self.choose(self.pending.len());
            let claim = self.pending.remove(at);
            self.note(|| format!("late claim takes effect: {claim:?}"));
            self.claims.push(claim);
        }
    }

    fn submit(&mut self) {
        let id = Name::from(format!("j{}", self.submitted));
        let job = Job {
            id,
            team: "t".into(),
            kind: "k".into(),
            class: conf::Class::Normal,
            size: Size { cpu: 1, memory: 1, accel: 0 },
            work: [300, 1500, 5000][self.submitted as usize % 3],
            tasks: 1,
            attempts: 100,
            submitted: self.now,
            command: "".into(),
        };
        self.submitted += 1;
        for i in 0..VMS {
            if self.vms[i].take_job(self.now, &job) {
                return;
            }
        }
    }

    fn evict(&mut self, i: usize) {
        let vm = &mut self.vms[i];
        if vm.state == State::Up {
            vm.evict(self.now);
        }
    }

    fn freeze(&mut self, i: usize) {
        if self.vms[i].state == State::Up {
            self.note(|| format!("freeze {i}"));
            self.vms[i].state = State::Frozen;
        }
    }

    fn thaw(&mut self, i: usize) {
        if self.vms[i].state != State::Frozen {
            return;
        }
        self.note(|| format!("thaw {i}"));
        self.vms[i].state = State::Up;
        // Messages held back by the freeze are sent now.
        let held = std::mem::take(&mut self.vms[i].held);
        self.net.extend(held);
    }

    /// Removes a VM; another one may replace it.
    fn kill(&mut self, i: usize) {
        if self.vms[i].state == State::Dead {
            return;
        }
        self.note(|| format!("kill {i}"));
        self.vms[i].state = State::Dead;
        let vm = self.vms[i].peer().vm;
        self.removed.insert(vm, self.now);
    }

    /// Restarts the process: on the same VM, or on a new one after a kill.
    fn restart(&mut self, i: usize) {
        self.note(|| format!("restart {i}"));
        let before = self.vms[i].peer();
        let renamed = self.vms[i].state == State::Dead;
        let mut fresh = Vm::open(i, self.now, self.guards);
        let vm = if renamed { format!("e{i}-{}", self.now).into() } else { before.vm };
        fresh.rename(Peer { vm, incarnation: self.now });
        self.vms[i] = fresh;
    }

    fn set_log(&mut self, up: bool) {
        if self.log_up != up {
            self.note(|| format!("log up: {up}"));
            self.log_up = up;
        }
    }

    fn cut(&mut self, i: usize, at: usize) {
        let other = [i + 1, 10, 11, usize::MAX][at % 4];
        let other = if other < 10 { other % VMS } else { other };
        self.note(|| format!("cut {i} from {other}"));
        self.cuts.insert((i, other));
        self.cuts.insert((other, i));
    }

    fn heal(&mut self) {
        let all: Vec<_> = self.cuts.iter().copied().collect();
        if all.is_empty() {
            return;
        }
        let (a, b) = all[self.choose(all.len())];
        self.note(|| format!("heal {a} and {b}"));
        self.cuts.remove(&(a, b));
        self.cuts.remove(&(b, a));
    }

    fn resign(&mut self, i: usize) {
        let now = self.now;
        if self.vms[i].state == State::Up {
            self.vms[i].cell.resign(now);
        }
    }

    /// Returns whether a process is proven dead to the others.
    pub(crate) fn dead(&self, peer: &Peer) -> bool {
        let newer = |vm: &Vm| vm.peer().vm == peer.vm && vm.peer().incarnation > peer.incarnation;
        let gone = self.removed.get(&peer.vm).is_some_and(|at| self.now > at + LIST_LAG);
        gone || self.vms.iter().any(newer)
    }
}
