//! A leader with simulated workers and a simulated store, both of which inject faults, in
//! simulated time.

mod worker;

use std::collections::{BTreeMap, BTreeSet};

use base::{Millis, Name, Now, Size};
use job::{Queue, Spec, Step, TaskId};
use lead::{Batch, Bounds, Command, Lead, TOKEN_COUNTER_BITS, TaskPhase};
use port::{Item, Poll, PollReply, Refusal, Start, Stop, WorkerError, WorkerInfo};
use rand::{Rng, SeedableRng, rngs::StdRng};

pub(crate) use worker::FakeWorker;

/// Unix time of the leader's clock reading 0, in milliseconds.
pub(crate) const UNIX_OFFSET: Millis = 1_796_000_000_000;
/// Step of the simulated time.
const TIME_STEP: Millis = 10;
/// Time after which a command without a reply is in doubt.
const COMMAND_TIMEOUT: Millis = 700;
/// Failures of a task after which its job has failed.
const ATTEMPTS: u32 = 3;
/// Time for which a deadly task runs before it crashes its worker.
const DEADLY_TIME: Millis = 20;
/// Crashes under a task after which its job may be shown as failed.
const CAUSE_CRASHES: usize = 2;
/// Crashes under a task after which it may be started `MAX_FURTHER_STARTS` times.
const MAX_CRASHES: usize = 3;
/// Starts of a task after `MAX_CRASHES`.
const MAX_FURTHER_STARTS: u32 = 2;
/// Delay of a command or reply.
const NETWORK_DELAY: Millis = 10;

/// Time after the acknowledged completion of a task within which a copy of it may still start.
const MAX_COPY_DELAY: Millis = 1_000;
/// Interval between two audits of the leader's tasks.
const AUDIT_INTERVAL: Millis = 50;
/// Longest time for which a task may be in doubt, stopped or queued while nothing is disturbed: that
/// in which a command without a reply may still be carried out.
const MAX_PHASE: Millis = 14_000;

/// Probability of each fault.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Faults {
    /// A command is carried out and its reply is lost.
    pub(crate) lost_reply: f64,
    /// A command gets no reply and is carried out 2 to 12 s later.
    pub(crate) late_command: f64,
    /// A poll gets no reply and reaches the worker 2 to 12 s later.
    pub(crate) late_poll: f64,
    /// A worker refuses a command as unhealthy.
    pub(crate) unhealthy: f64,
    /// Per second: the leader dies and another one takes over.
    pub(crate) takeover: f64,
    /// Per second: a worker becomes unreachable for 0.5 to 9 s.
    pub(crate) unreachable: f64,
    /// Per second: a worker crashes and restarts.
    pub(crate) crash: f64,
    /// Longest time after its return for which the record of a restarted worker is not known;
    /// with 0 it is known from the crash on.
    pub(crate) record_delay: Millis,
    /// Per second: the store becomes unavailable for 0.5 to 6 s.
    pub(crate) store_outage: f64,
    /// A run fails.
    pub(crate) fail: f64,
    /// Per second: a worker shrinks, and grows again after 1 to 5 s.
    pub(crate) resize: f64,
}

/// A message or action that is due at some time. Replies to the leader carry the command, or the
/// fencing token or epoch, with which they were requested; the flag of a command says whether the worker replies to it, that of a
/// `Poll` whether it is to be answered at once.
#[derive(Debug, Clone)]
enum Event {
    Start(Name, Start, bool),
    Stop(Name, Stop, bool),
    Poll(Name, Poll, Millis, bool),
    LatePoll(Name, Poll),
    Started(Name, Start, Result<Millis, WorkerError>),
    Stopped(Name, Stop, Result<Millis, WorkerError>),
    Listed(u64, Name, Millis, Result<PollReply, WorkerError>),
    Stored(u64, Batch),
    Announce(Name),
    Resize(Name, u64),
    Return(Name),
    TakeOver,
}

/// The simulation of one cell.
pub(crate) struct World {
    pub(crate) now: Millis,
    pub(crate) lead: Option<Lead>,
    pub(crate) workers: BTreeMap<Name, FakeWorker>,
    pub(crate) faults: Faults,
    /// Violated guarantees.
    pub(crate) violations: Vec<String>,
    /// Tasks whose completion was acknowledged, and when.
    acknowledged: BTreeMap<TaskId, Millis>,
    /// Failed runs of each task.
    failed: BTreeMap<TaskId, u32>,
    /// Tasks that crash their workers.
    pub(crate) deadly: BTreeSet<TaskId>,
    /// Whether late commands reach an incarnation of a worker only after other ones: nothing that a
    /// leader sends is refused before.
    pub(crate) contact_first: bool,
    /// Longest time by which the time of day of a restarted worker may be ahead.
    pub(crate) clock_step: Millis,
    /// Whether the tasks of the leader are audited.
    pub(crate) audited: bool,
    /// Longest time in each phase while nothing was disturbed.
    pub(crate) phases: BTreeMap<TaskPhase, Millis>,
    /// Since when nothing is disturbed.
    calm_since: Millis,
    /// Whether crashed workers come back under identifiers of their own.
    pub(crate) renamed: bool,
    /// Workers that crashed under each deadly task.
    pub(crate) crashed: BTreeMap<TaskId, Vec<Name>>,
    /// Starts of each deadly task after `MAX_CRASHES`.
    further_starts: BTreeMap<TaskId, u32>,
    /// Records in the store.
    stored: BTreeMap<Name, Vec<u8>>,
    /// Until when the store is unavailable.
    outage_until: Millis,
    appending: bool,
    epoch: u64,
    /// Events with the time at which they are due and their number.
    events: Vec<(Millis, u64, Event)>,
    event_count: u64,
    rng: StdRng,
    pub(crate) specs: BTreeMap<Name, Spec>,
    /// Cancelled jobs, whose tasks may still be listed.
    cancelled: BTreeMap<Name, Spec>,
}

/// Returns the epoch of a fencing token.
fn epoch_of(token: u64) -> u64 {
    token >> TOKEN_COUNTER_BITS
}

/// Returns the queue of all jobs.
pub(crate) fn queue() -> Queue {
    Queue {
        name: "q".into(),
        service: "s".into(),
        max_attempts: ATTEMPTS,
        stretch: 2.0,
        ..Queue::default()
    }
}

/// Returns a job with one step.
pub(crate) fn spec(step: Step) -> Spec {
    Spec { text: "t".into(), steps: vec![step], repeat: None }
}

/// Returns a step of ordinary tasks, neither best-effort nor long-running.
pub(crate) fn step(count: u32, cpu: u64, estimate: Millis) -> Step {
    Step { count, size: Size { cpu, memory: 100, accel: 0 }, estimate, ..Step::default() }
}

impl World {
    pub(crate) fn open(seed: u64, workers: usize, faults: Faults) -> World {
        World::open_sized(seed, &vec![4_000; workers], faults)
    }

    /// Opens a simulation whose workers have the given CPU, in thousandths of a core.
    pub(crate) fn open_sized(seed: u64, sizes: &[u64], faults: Faults) -> World {
        let workers = sizes.iter().enumerate().map(|(n, cpu)| FakeWorker::open(n, "s", *cpu));
        let mut world = World {
            now: 1_000,
            lead: None,
            workers: workers.map(|w| (w.id.clone(), w)).collect(),
            faults,
            violations: Vec::new(),
            acknowledged: BTreeMap::new(),
            failed: BTreeMap::new(),
            deadly: BTreeSet::new(),
            contact_first: false,
            clock_step: 0,
            audited: false,
            phases: BTreeMap::new(),
            calm_since: 0,
            renamed: false,
            crashed: BTreeMap::new(),
            further_starts: BTreeMap::new(),
            stored: BTreeMap::new(),
            outage_until: 0,
            appending: false,
            epoch: 0,
            events: Vec::new(),
            event_count: 0,
            rng: StdRng::seed_from_u64(seed),
            specs: BTreeMap::new(),
            cancelled: BTreeMap::new(),
        };
        world.take_over();
        world
    }

    pub(crate) fn time(&self) -> Now {
        Now { mono: self.now, unix: UNIX_OFFSET + self.now }
    }

    /// Submits a job.
    pub(crate) fn submit(&mut self, id: &str, spec: Spec) {
        let time = self.time();
        self.specs.insert(id.into(), spec.clone());
        if let Some(lead) = &mut self.lead {
            lead.submit(&id.into(), &queue(), spec, time);
        }
    }

    /// Cancels a job.
    pub(crate) fn cancel(&mut self, id: &str) {
        let time = self.time();
        if let Some((id, spec)) = self.specs.remove_entry(id) {
            self.cancelled.insert(id, spec);
        }
        if let Some(lead) = &mut self.lead {
            lead.cancel(&id.into(), time);
        }
    }

    /// Simulates some milliseconds.
    pub(crate) fn run(&mut self, ms: Millis) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    /// Submits all jobs again, as callers do that got no reply.
    pub(crate) fn resubmit(&mut self) {
        let time = self.time();
        let Some(lead) = &mut self.lead else { return };
        for (id, spec) in &self.specs {
            lead.submit(id, &queue(), spec.clone(), time);
        }
    }

    fn step(&mut self) {
        self.now += TIME_STEP;
        self.inject_faults();
        let mut due: Vec<_> = Vec::new();
        self.events.retain(|event| {
            let is_due = event.0 <= self.now;
            if is_due {
                due.push(event.clone());
            }
            !is_due
        });
        due.sort_by_key(|(at, number, _)| (*at, *number));
        for (_, _, event) in due {
            self.handle(event);
        }
        for worker in self.workers.values_mut() {
            worker.work(self.now);
            for task in worker.failed.drain(..) {
                *self.failed.entry(task).or_default() += 1;
            }
        }
        self.crash_by_task();
        self.check_failed();
        let time = self.time();
        let commands = self.lead.as_mut().map(|lead| {
            lead.tick(time, time.mono);
            lead.take_commands()
        });
        for command in commands.unwrap_or_default() {
            self.carry_out(command);
        }
        self.append();
        if self.audited && self.now.is_multiple_of(AUDIT_INTERVAL) {
            self.audit();
        }
    }

    /// Checks that the leader is about to run each task whose turn has come, and that none waits for
    /// long while nothing is disturbed.
    fn audit(&mut self) {
        let disturbed = |worker: &FakeWorker| {
            worker.down_until > self.now || worker.unreachable_until > self.now
        };
        if self.faults != Faults::default()
            || self.outage_until > self.now
            || self.workers.values().any(disturbed)
        {
            self.calm_since = self.now;
        }
        let (time, calm) = (self.time(), self.now - self.calm_since);
        let Some(lead) = &mut self.lead else { return };
        if !lead.settled(time) {
            return;
        }
        for (phase, count) in lead.audit(time).phases {
            let age = count.age.min(calm);
            let longest = self.phases.entry(phase).or_default();
            *longest = age.max(*longest);
            let long = phase != TaskPhase::Running && age > MAX_PHASE;
            if phase == TaskPhase::Orphaned || long {
                let (label, task) = (phase.label(), count.oldest);
                let line = format!("{task:?} is {label} for {} ms at {}", count.age, self.now);
                self.violations.push(line);
            }
        }
    }

    /// Returns the long-running tasks that do not run.
    pub(crate) fn lasting_down(&mut self) -> usize {
        let time = self.time();
        self.lead.as_mut().map_or(0, |lead| lead.audit(time).lasting_down.tasks)
    }

    fn inject_faults(&mut self) {
        let faults = self.faults;
        let second = TIME_STEP as f64 / 1000.0;
        if self.chance(faults.takeover * second) && self.lead.is_some() {
            self.lead = None;
            let pause = self.rng.random_range(300..1_500);
            self.schedule(pause, Event::TakeOver);
        }
        let ids: Vec<Name> = self.workers.keys().cloned().collect();
        let id = ids[self.rng.random_range(0..ids.len())].clone();
        if self.chance(faults.unreachable * second) {
            let until = self.now + self.rng.random_range(500..9_000);
            self.workers.get_mut(&id).unwrap().unreachable_until = until;
        }
        if self.renamed {
            if self.chance(faults.crash * second) && self.workers[&id].down_until <= self.now {
                self.crash_worker(&id);
            }
        } else if self.chance(faults.crash * second) {
            let down_until = self.now + self.rng.random_range(100..4_000);
            let incarnation = self.now;
            self.workers.get_mut(&id).unwrap().crash(incarnation, down_until);
            if self.clock_step > 0 {
                let ahead = self.rng.random_range(0..self.clock_step);
                self.workers.get_mut(&id).unwrap().ahead = ahead;
            }
            if faults.record_delay == 0 {
                self.announce(&id);
            } else {
                let delay = self.rng.random_range(0..faults.record_delay);
                self.schedule(down_until - self.now + delay, Event::Announce(id.clone()));
            }
        }
        if self.chance(faults.resize * second) {
            let full = self.workers[&id].info().size.cpu;
            let growth = Event::Resize(id.clone(), full);
            let shrunk = self.rng.random_range(0..full.max(1));
            let pause = self.rng.random_range(1_000..5_000);
            // A worker that has shrunk already does not shrink further.
            if !self
                .events
                .iter()
                .any(|(.., event)| matches!(event, Event::Resize(w, _) if *w == id))
            {
                self.schedule(pause, growth);
                self.resize(&id, shrunk);
            }
        }
        if self.chance(faults.store_outage * second) {
            self.outage_until = self.now + self.rng.random_range(500..6_000);
        }
    }

    /// Crashes the workers of deadly tasks. They are back after 3 to 3.5 s.
    fn crash_by_task(&mut self) {
        let due = |worker: &&FakeWorker| {
            let runs = worker.runs.iter();
            let mut runs = runs.filter(|(task, _)| self.deadly.contains(task));
            runs.any(|(_, run)| self.now >= run.started_at + DEADLY_TIME)
        };
        let due: Vec<Name> =
            self.workers.values().filter(due).map(|worker| worker.id.clone()).collect();
        for id in due {
            let runs = self.workers[&id].runs.clone();
            for (task, _) in runs.into_iter().filter(|(task, _)| self.deadly.contains(task)) {
                self.crashed.entry(task).or_default().push(id.clone());
            }
            self.crash_worker(&id);
        }
    }

    /// Crashes a worker, which is back after 3 to 3.5 s.
    pub(crate) fn crash_worker(&mut self, id: &Name) {
        let down = self.rng.random_range(3_000..3_500);
        let back_at = self.now + down;
        let worker = self.workers.get_mut(id).unwrap();
        if !self.renamed {
            worker.crash(back_at, back_at);
            return self.schedule(down, Event::Return(id.clone()));
        }
        worker.runs.clear();
        worker.down_until = Millis::MAX;
        let name: Name = format!("{id}x").into();
        let successor = worker.successor(name.clone(), back_at);
        self.workers.insert(name.clone(), successor);
        self.schedule(down, Event::Return(name));
    }

    fn chance(&mut self, p: f64) -> bool {
        p > 0.0 && self.rng.random_bool(p)
    }

    fn schedule(&mut self, ms: Millis, event: Event) {
        self.event_count += 1;
        self.events.push((self.now + ms, self.event_count, event));
    }

    fn info(&self, id: &Name) -> WorkerInfo {
        self.workers[id].info()
    }

    fn announce(&mut self, id: &Name) {
        let (info, time) = (self.info(id), self.time());
        if let Some(lead) = &mut self.lead {
            lead.on_worker_info(info, time);
        }
    }

    /// Changes the size of a worker, and delivers its record.
    fn resize(&mut self, id: &Name, cpu: u64) {
        self.workers.get_mut(id).unwrap().resize(cpu, self.now);
        self.announce(id);
    }

    /// Opens a new leader with the records in the store.
    pub(crate) fn take_over(&mut self) {
        self.epoch += 1;
        let items: Vec<Item> = self
            .stored
            .iter()
            .map(|(key, value)| Item { key: key.clone(), value: value.clone() })
            .collect();
        let time = self.time();
        self.lead = Some(Lead::open(self.epoch, &items, Bounds::default(), time));
        self.appending = false;
        let gone = |worker: &&FakeWorker| self.renamed && worker.down_until > self.now;
        let up = self.workers.values().filter(|worker| !gone(worker));
        let ids: Vec<Name> = up.map(|worker| worker.id.clone()).collect();
        for id in ids {
            self.announce(&id);
            self.send_poll(&id, false);
        }
    }

    /// Sends the next lease renewal and list request to a worker.
    fn send_poll(&mut self, id: &Name, at_once: bool) {
        let (sent, time) = (self.now, self.time());
        let Some((_, request)) =
            self.lead.as_mut().and_then(|lead| lead.poll(id, at_once, true, time))
        else {
            return;
        };
        if self.unreachable(id) {
            let fault = Err(WorkerError::InDoubt("unreachable".to_owned()));
            let reply = Event::Listed(request.token, id.clone(), sent, fault);
            return self.schedule(COMMAND_TIMEOUT, reply);
        }
        if self.chance(self.faults.late_poll) {
            let fault = Err(WorkerError::InDoubt("no reply".to_owned()));
            let reply = Event::Listed(request.token, id.clone(), sent, fault);
            self.schedule(request.wait + COMMAND_TIMEOUT, reply);
            let delay = self.rng.random_range(2_000..12_000);
            return self.schedule(delay, Event::LatePoll(id.clone(), request));
        }
        self.schedule(NETWORK_DELAY, Event::Poll(id.clone(), request, sent, at_once));
    }

    fn unreachable(&self, id: &Name) -> bool {
        self.workers[id].unreachable_until > self.now || self.workers[id].down_until > self.now
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::Poll(id) => self.send_poll(&id, true),
            Command::Throttle(..) | Command::AskPolicy(..) => {}
            Command::Start(worker, start) => {
                let fault = self.command_fault(&worker.id);
                let event = Event::Start(worker.id.clone(), start.clone(), fault.is_none());
                let (delay, failure) = fault.unwrap_or((NETWORK_DELAY, None));
                if let Some(failure) = failure {
                    let reply = Event::Started(worker.id, start, Err(failure));
                    self.schedule(COMMAND_TIMEOUT, reply);
                }
                if delay > 0 {
                    self.schedule(delay, event);
                }
            }
            Command::Stop(worker, stop) => {
                let fault = self.command_fault(&worker.id);
                let event = Event::Stop(worker.id.clone(), stop.clone(), fault.is_none());
                let (delay, failure) = fault.unwrap_or((NETWORK_DELAY, None));
                if let Some(failure) = failure {
                    let reply = Event::Stopped(worker.id, stop, Err(failure));
                    self.schedule(COMMAND_TIMEOUT, reply);
                }
                if delay > 0 {
                    self.schedule(delay, event);
                }
            }
        }
    }

    /// Returns whether late commands are held back from a worker that has had no other.
    fn precedes_contact(&self, id: &Name) -> bool {
        self.contact_first && self.workers[id].token == 0
    }

    /// Decides about faults of a command. Returns `None` if there is none, else the delay after
    /// which the command is carried out (0 if never) and the reply.
    fn command_fault(&mut self, id: &Name) -> Option<(Millis, Option<WorkerError>)> {
        let in_doubt = Some(WorkerError::InDoubt("no reply".to_owned()));
        if self.unreachable(id) {
            return Some((0, in_doubt));
        }
        if self.chance(self.faults.late_command) {
            return Some((self.rng.random_range(2_000..12_000), in_doubt));
        }
        if self.chance(self.faults.lost_reply) {
            return Some((NETWORK_DELAY, in_doubt));
        }
        if self.chance(self.faults.unhealthy) {
            return Some((0, Some(WorkerError::Refused(Refusal::Unhealthy, None))));
        }
        None
    }

    fn handle(&mut self, event: Event) {
        log::debug!("at={} {event:?}", self.now);
        let time = self.time();
        let epoch = self.epoch;
        match event {
            Event::Start(id, _, false) | Event::Stop(id, _, false)
                if self.precedes_contact(&id) => {}
            Event::Start(id, start, replies) => {
                if self.workers[&id].down_until > self.now {
                    if replies {
                        let fault = Err(WorkerError::InDoubt("down".to_owned()));
                        self.schedule(COMMAND_TIMEOUT, Event::Started(id, start, fault));
                    }
                    return;
                }
                self.check_start(&id, &start);
                let fails = self.chance(self.faults.fail);
                let step = self.step_of(&start.task);
                let worker = self.workers.get_mut(&id).unwrap();
                let reply = worker.start(start.clone(), &step, fails, self.now);
                if replies {
                    self.schedule(NETWORK_DELAY, Event::Started(id, start, reply));
                }
            }
            Event::Stop(id, stop, replies) => {
                if self.workers[&id].down_until > self.now {
                    if replies {
                        let fault = Err(WorkerError::InDoubt("down".to_owned()));
                        self.schedule(COMMAND_TIMEOUT, Event::Stopped(id, stop, fault));
                    }
                    return;
                }
                let reply = self.workers.get_mut(&id).unwrap().stop(stop.clone(), self.now);
                if replies {
                    self.schedule(NETWORK_DELAY, Event::Stopped(id, stop, reply));
                }
            }
            Event::Poll(id, request, sent, at_once) => {
                let waits = request.wait > 0 && self.now < sent + request.wait;
                if self.unreachable(&id) {
                    let fault = Err(WorkerError::InDoubt("unreachable".to_owned()));
                    return self
                        .schedule(COMMAND_TIMEOUT, Event::Listed(request.token, id, sent, fault));
                }
                let worker = self.workers.get_mut(&id).unwrap();
                let reply = worker.poll(&request, self.now);
                self.acknowledge(&id, request.acked, request.token);
                let empty = reply.as_ref().is_ok_and(|list| list.completions.is_empty());
                if waits && empty {
                    return self.schedule(TIME_STEP, Event::Poll(id, request, sent, at_once));
                }
                // The lowest bit of the sending time marks the reply to a request to list at once.
                let sent = sent * 2 + u64::from(at_once);
                self.schedule(NETWORK_DELAY, Event::Listed(request.token, id, sent, reply));
            }
            Event::LatePoll(id, request) => {
                if self.workers[&id].down_until <= self.now {
                    // Nobody waits for its reply.
                    let _ = self.workers.get_mut(&id).unwrap().poll(&request, self.now);
                    self.acknowledge(&id, request.acked, request.token);
                }
            }
            Event::Started(id, start, reply) if epoch_of(start.token) == epoch => {
                if let Some(lead) = &mut self.lead {
                    lead.on_start(&id, &start, reply, time);
                }
            }
            Event::Stopped(id, stop, reply) if epoch_of(stop.token) == epoch => {
                if let Some(lead) = &mut self.lead {
                    lead.on_stop(&id, &stop, reply, time);
                }
            }
            Event::Listed(token, id, sent, reply) if epoch_of(token) == epoch => {
                let replied = reply.is_ok();
                let (sent, at_once) =
                    if replied { (sent / 2, sent % 2 == 1) } else { (sent, false) };
                if let Some(lead) = &mut self.lead {
                    lead.on_poll(&id, token, sent, reply, time);
                }
                if !at_once {
                    self.send_poll(&id, false);
                }
            }
            Event::Stored(token, batch) if token == epoch => {
                self.appending = false;
                if let Some(lead) = &mut self.lead {
                    lead.on_stored(&batch, time);
                }
            }
            Event::Announce(id) => self.announce(&id),
            Event::Resize(id, cpu) => self.resize(&id, cpu),
            Event::Return(id) => {
                self.announce(&id);
                if self.renamed
                    && let Some(lead) = &mut self.lead
                {
                    lead.on_unlisted(&id[..id.len() - 1].into(), time);
                }
                self.send_poll(&id, false);
            }
            Event::TakeOver => self.take_over(),
            Event::Started(..) | Event::Stopped(..) | Event::Listed(..) | Event::Stored(..) => {}
        }
    }

    /// Appends one batch at a time. It is durable at once and confirmed later.
    fn append(&mut self) {
        if self.appending || self.outage_until > self.now {
            return;
        }
        let Some(batch) = self.lead.as_mut().and_then(Lead::take_batch) else { return };
        for record in &batch.records {
            if record.value.is_empty() {
                self.stored.remove(&record.key);
            } else {
                self.stored.insert(record.key.clone(), record.value.clone());
            }
        }
        self.appending = true;
        let epoch = self.epoch;
        self.schedule(2 * NETWORK_DELAY, Event::Stored(epoch, batch));
    }

    /// Passes acknowledgements on to a worker, unless they are from a deposed leader.
    fn acknowledge(&mut self, id: &Name, acked: u64, token: u64) {
        let worker = self.workers.get_mut(id).unwrap();
        if token < worker.token {
            return;
        }
        for task in worker.forget(acked) {
            self.acknowledged.insert(task, self.now);
        }
    }

    /// Checks that a job is shown as failed only if one of its tasks has failed as often as is
    /// allowed.
    fn check_failed(&mut self) {
        let Some(lead) = &self.lead else { return };
        let shown_failed = |id: &Name| lead.state(id) == Some(job::State::Failed);
        let used_up = |id: &Name| self.failed.iter().any(|(t, n)| t.job == *id && *n >= ATTEMPTS);
        let deadly = |id: &Name| {
            let mut crashed = self.crashed.iter();
            crashed.any(|(task, workers)| task.job == *id && workers.len() >= CAUSE_CRASHES)
        };
        let without_cause = |id: &&Name| shown_failed(id) && !used_up(id) && !deadly(id);
        for id in self.specs.keys().filter(without_cause) {
            self.violations.push(format!("{id} is shown as failed at {}", self.now));
        }
    }

    /// Checks the guarantees that a start could violate.
    fn check_start(&mut self, id: &Name, start: &Start) {
        if !self.workers[id].would_start(start, self.now) {
            return;
        }
        let task = &start.task;
        let speculative = self.step_of(task).speculative;
        let after = self.acknowledged.get(task).is_some_and(|at| match speculative {
            true => self.now > at + MAX_COPY_DELAY,
            false => true,
        });
        if after {
            self.violations.push(format!(
                "{} started {task} after its acknowledged completion at {}",
                id, self.now
            ));
        }
        if self.crashed.get(task).is_some_and(|workers| workers.len() >= MAX_CRASHES) {
            let starts = self.further_starts.entry(task.clone()).or_default();
            *starts += 1;
            if *starts > MAX_FURTHER_STARTS {
                self.violations.push(format!("{id} started the deadly {task} at {}", self.now));
            }
        }
        let cpu = self.step_of(task).size.cpu;
        let taken: u64 = self.workers[id].runs.values().map(|run| run.cpu).sum();
        if taken + cpu > self.workers[id].startable_cpu(self.now) {
            self.violations.push(format!("{id} is overcommitted by {task} at {}", self.now));
        }
        for worker in self.workers.values().filter(|w| w.down_until <= self.now) {
            if worker.runs.contains_key(task) && !speculative {
                let other = &worker.id;
                self.violations.push(format!("{task} runs on {other} and {id} at {}", self.now));
            }
        }
    }

    /// Returns the step of a task.
    fn step_of(&self, task: &TaskId) -> Step {
        let spec = self.specs.get(&task.job).or(self.cancelled.get(&task.job));
        spec.expect("a job that was submitted").steps[task.step as usize].clone()
    }

    /// Describes the jobs that have not completed and the runs that are left.
    pub(crate) fn report(&self) -> String {
        let Some(lead) = &self.lead else { return "there is no leader".to_owned() };
        let mut lines = Vec::new();
        for id in self.specs.keys() {
            let state = lead.state(id);
            if state != Some(job::State::Completed) {
                lines.push(format!("job {id} is {state:?}: {:?}", lead.jobs.get(id)));
            }
        }
        for worker in lead.workers.values().filter(|worker| !worker.runs.is_empty()) {
            lines.push(format!("{:?} on {worker:?}", worker.runs.keys()));
        }
        lines.join("\n")
    }

    /// Returns whether every job is shown as completed or failed.
    pub(crate) fn done(&self) -> bool {
        let Some(lead) = &self.lead else { return false };
        let ended =
            |id: &Name| matches!(lead.state(id), Some(job::State::Completed | job::State::Failed));
        let lasting = |spec: &Spec| spec.steps.iter().any(|step| step.long_running);
        self.specs.iter().all(|(id, spec)| ended(id) || lasting(spec))
    }
}
