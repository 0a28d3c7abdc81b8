//! Several leaders at a time beside cuts: entry VMs and workers in failure domains, a store in
//! none, and claims at any time, in simulated time.

mod checks;
mod faults;
mod store;
#[path = "../world/worker.rs"]
#[allow(dead_code)]
mod worker;

use std::collections::{BTreeMap, BTreeSet};

use base::{Millis, Name, Now, Size};
use job::{Queue, Spec, Step, TaskId};
use lead::{Batch, Command, Lead};
use port::{Poll, PollReply, Start, Stop, WorkerAddr, WorkerError, WorkerInfo};
use rand::{Rng, SeedableRng, rngs::StdRng};

pub(crate) use faults::Faults;
use store::Log;
use worker::FakeWorker;

/// Unix time of the clock reading 0, in milliseconds.
const UNIX_OFFSET: Millis = 1_796_000_000_000;
/// Step of the simulated time.
const TIME_STEP: Millis = 10;
/// Delay of a message.
const NETWORK_DELAY: Millis = 10;
/// Time after which a request without a reply has failed.
const CALL_TIMEOUT: Millis = 700;
/// Pause before an append or a poll is repeated.
const RETRY_DELAY: Millis = 60;
const POLL_RETRY_DELAY: Millis = 150;
/// Interval of the polls for which completions have to be durable, and their number.
const UNACKED_INTERVAL: Millis = 10;
const MAX_UNACKED_POLLS: u32 = 32;
/// Time for which evidence that no other VM has claimed is good, as in the crate `elect`.
const EVIDENCE_TTL: Millis = 2_000;
/// Time since the newest answer of the store for which words are enough.
const WORDS_TTL: Millis = 12_000;
/// Delay of a change of the list of workers.
const LIST_DELAY: Millis = 50;
/// Time that a draining worker has left.
const DRAIN_TIME: Millis = 4_000;
const DOMAINS: usize = 3;
/// Entry VMs and workers; they are in the domain that is their number modulo `DOMAINS`.
const VMS: usize = 6;
const WORKERS: usize = 6;
/// Time in which a task progresses by a percent.
const PERCENT_TIME: Millis = 200;
const ATTEMPTS: u32 = 3;
/// Interval at which callers repeat what is not durable.
const CALLER_INTERVAL: Millis = 400;

/// A request to a worker.
#[derive(Debug, Clone)]
struct Call {
    epoch: u64,
    worker: Name,
    sent: Millis,
    /// Incarnation that the request has reached; 0 if none.
    life: u64,
    /// Whether the reply is given up before it comes.
    replies: bool,
    body: Body,
}

#[derive(Debug, Clone)]
enum Body {
    Start(Start),
    Stop(Stop),
    /// With whether the worker is to reply at once.
    Poll(Poll, bool),
}

#[derive(Debug, Clone)]
enum Reply {
    Clock(Result<Millis, WorkerError>),
    List(Result<PollReply, WorkerError>),
}

/// A message or action that is due at some time.
#[derive(Debug, Clone)]
enum Event {
    Request(Call),
    Reply(Call, Reply),
    /// The next poll of a worker by a leader, after some polls for durability.
    Poll(u64, Name, u32),
    /// A leader's append reaches the store, its answer the leader.
    Append(u64),
    Stored(u64, bool),
    Claim,
    Leave(Name),
    Cancel(Name),
}

/// A VM that leads, or has not heard of its successor.
#[derive(Debug)]
struct Leader {
    vm: usize,
    lead: Lead,
    /// Newest time at which the store had shown that no other VM had claimed.
    store_at: Millis,
    /// Newest time at which all other VMs followed it.
    heard_at: Millis,
    frozen_until: Millis,
    /// Batch on its way to the store.
    appending: Option<Batch>,
    /// Number of the changes of the list of workers that it knows.
    changes_seen: usize,
    polled: BTreeSet<Name>,
}

impl Leader {
    fn may_decide(&self, now: Millis) -> bool {
        let by_words = (self.heard_at + EVIDENCE_TTL).min(self.store_at + WORDS_TTL);
        now < by_words.max(self.store_at + EVIDENCE_TTL)
    }
}

/// What the simulation knows of a worker beyond its interface.
#[derive(Debug, Clone, Default)]
struct Host {
    domain: usize,
    draining: bool,
    /// When it last reached the store, and when it writes its record again.
    contact_at: Millis,
    write_at: Millis,
    /// When its leases had last expired.
    lapsed_at: Millis,
}

/// The simulation of one cell.
#[derive(Debug)]
pub(crate) struct Cell {
    pub(crate) now: Millis,
    pub(crate) faults: Faults,
    /// Violated guarantees.
    pub(crate) violations: Vec<String>,
    leaders: BTreeMap<u64, Leader>,
    workers: BTreeMap<Name, FakeWorker>,
    hosts: BTreeMap<Name, Host>,
    /// Workers listed by the store, and the changes of that list with their times.
    list: BTreeMap<Name, WorkerInfo>,
    changes: Vec<(Millis, Name, Option<WorkerInfo>)>,
    log: Log,
    cut_until: [Millis; DOMAINS],
    outage_until: Millis,
    /// When the faults stopped; `None` until then.
    healed_at: Option<Millis>,
    /// Until when requests or replies (`true`) between a VM and a worker are lost.
    one_way: BTreeMap<(usize, Name, bool), Millis>,
    /// Since when no leader has been in touch with the store.
    leaderless_since: Millis,
    specs: BTreeMap<Name, Spec>,
    /// Jobs whose tasks fail at times.
    failing: BTreeSet<Name>,
    cancelled: BTreeSet<Name>,
    /// Tasks that have ended as done, and those whose end was acknowledged.
    done: BTreeSet<TaskId>,
    /// When the ends that workers hold came about.
    ended: BTreeMap<(Name, TaskId), Millis>,
    acknowledged: BTreeMap<TaskId, Millis>,
    /// Ends after which their task was started again, by worker and task, with the time.
    outdated: BTreeMap<(Name, TaskId), Millis>,
    events: BTreeMap<(Millis, u64), Event>,
    event_count: u64,
    rng: StdRng,
}

fn queue() -> Queue {
    Queue {
        name: "q".into(),
        service: "s".into(),
        max_attempts: ATTEMPTS,
        stretch: 2.0,
        ..Queue::default()
    }
}

impl Cell {
    pub(crate) fn open(seed: u64, faults: Faults) -> Cell {
        let mut cell = Cell {
            now: 1_000,
            faults,
            violations: Vec::new(),
            leaders: BTreeMap::new(),
            workers: BTreeMap::new(),
            hosts: BTreeMap::new(),
            list: BTreeMap::new(),
            changes: Vec::new(),
            log: Log::default(),
            cut_until: [0; DOMAINS],
            outage_until: 0,
            healed_at: None,
            one_way: BTreeMap::new(),
            leaderless_since: 0,
            specs: BTreeMap::new(),
            failing: BTreeSet::new(),
            cancelled: BTreeSet::new(),
            done: BTreeSet::new(),
            ended: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            outdated: BTreeMap::new(),
            events: BTreeMap::new(),
            event_count: 0,
            rng: StdRng::seed_from_u64(seed),
        };
        for n in 0..WORKERS {
            cell.add_worker(n);
        }
        cell.update_list();
        cell.claim();
        cell
    }

    /// Adds a worker that is up now.
    fn add_worker(&mut self, n: usize) {
        let mut worker = FakeWorker::open(n, "s", 4_000);
        worker.crash(self.now, self.now);
        let host = Host { domain: n % DOMAINS, contact_at: self.now, ..Host::default() };
        self.hosts.insert(worker.id.clone(), host);
        self.workers.insert(worker.id.clone(), worker);
    }

    /// Submits a job drawn at random.
    pub(crate) fn submit(&mut self, n: usize) {
        let id: Name = format!("{n:016x}").into();
        let estimate = match self.rng.random_range(0..3) {
            0 => self.rng.random_range(300..1_500),
            1 => self.rng.random_range(1_500..5_000),
            _ => self.rng.random_range(5_000..15_000),
        };
        let count = self.rng.random_range(1..4);
        let size = Size { cpu: 900, memory: 100, accel: 0 };
        let step = Step { count, size, estimate, ..Step::default() };
        let mut steps = vec![step.clone()];
        let mut cancel_after = None;
        match self.rng.random_range(0..if self.faults.mixed_jobs { 8 } else { 3 }) {
            0 | 1 => {}
            2 => steps.push(Step { depends_on: vec![0], estimate: 1_000, ..step }),
            3 | 4 => steps[0] = Step { gang: true, count: count.max(2), ..step },
            5 => {
                self.failing.insert(id.clone());
            }
            6 => {
                steps[0].long_running = true;
                cancel_after = Some(self.rng.random_range(2_000..15_000));
            }
            _ => cancel_after = Some(self.rng.random_range(500..8_000)),
        }
        self.specs.insert(id.clone(), Spec { text: "t".into(), steps, repeat: None });
        if let Some(ms) = cancel_after {
            self.schedule(ms, Event::Cancel(id));
        }
    }

    /// Simulates some milliseconds.
    pub(crate) fn run(&mut self, ms: Millis) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += TIME_STEP;
        self.inject_faults();
        self.update_list();
        self.work();
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= self.now) {
            let event = entry.remove();
            self.handle(event);
        }
        self.call();
        let epochs: Vec<u64> = self.leaders.keys().copied().collect();
        for epoch in epochs {
            self.decide(epoch);
        }
        self.check_shown();
        self.audit();
        self.elect();
    }

    fn time(&self) -> Now {
        Now { mono: self.now, unix: UNIX_OFFSET + self.now }
    }

    fn chance(&mut self, p: f64) -> bool {
        p > 0.0 && self.rng.random_bool(p.min(1.0))
    }

    fn schedule(&mut self, ms: Millis, event: Event) {
        self.event_count += 1;
        self.events.insert((self.now + ms, self.event_count), event);
    }

    fn pick<T: Clone>(&mut self, all: &[T]) -> Option<T> {
        (!all.is_empty()).then(|| all[self.rng.random_range(0..all.len())].clone())
    }

    fn up(&self) -> Vec<Name> {
        let up = self.workers.values().filter(|worker| worker.down_until <= self.now);
        up.map(|worker| worker.id.clone()).collect()
    }

    fn is_cut(&self, domain: usize) -> bool {
        self.cut_until[domain] > self.now
    }

    fn connected(&self, one: usize, other: usize) -> bool {
        one == other || !(self.is_cut(one) || self.is_cut(other))
    }

    fn reaches_store(&self, domain: usize) -> bool {
        !self.is_cut(domain) && self.outage_until <= self.now
    }

    /// Returns whether a request, or a reply, between a VM and a worker arrives.
    fn passes(&self, vm: usize, id: &Name, reply: bool) -> bool {
        let lost = self.one_way.get(&(vm, id.clone(), reply)).is_some_and(|end| *end > self.now);
        !lost && self.connected(vm % DOMAINS, self.hosts[id].domain)
    }

    /// Submits and cancels what is not durable yet, at any of the leaders.
    fn call(&mut self) {
        if !self.now.is_multiple_of(CALLER_INTERVAL) {
            return;
        }
        let (now, time) = (self.now, self.time());
        for leader in self.leaders.values_mut() {
            if leader.frozen_until > now || now > leader.store_at + 1_500 {
                continue;
            }
            for (id, spec) in &self.specs {
                leader.lead.submit(id, &queue(), spec.clone(), time);
            }
            for id in &self.cancelled {
                leader.lead.cancel(id, time);
            }
        }
    }

    fn decide(&mut self, epoch: u64) {
        self.decide_at(epoch, 0);
    }

    /// Lets a leader decide; its requests leave after `pause`.
    fn decide_at(&mut self, epoch: u64, pause: Millis) {
        let (now, time) = (self.now, self.time());
        let newest = self.log.epoch == epoch;
        let Some(leader) = self.leaders.get(&epoch) else { return };
        let vm = leader.vm;
        let in_touch = self.reaches_store(vm % DOMAINS);
        let heard = newest && (0..VMS).all(|other| self.connected(vm % DOMAINS, other % DOMAINS));
        if leader.frozen_until > now {
            return;
        }
        // It reads the log every 300 ms, or hears of its successor.
        if leader.lead.deposed.is_some() || (in_touch && !newest && self.chance(0.05)) {
            log::info!("event=deposed at={now} epoch={epoch}");
            self.leaders.remove(&epoch);
            return;
        }
        let leader = self.leaders.get_mut(&epoch).expect("a leader");
        if in_touch && newest {
            leader.store_at = now;
        }
        if heard {
            leader.heard_at = now;
        }
        while in_touch
            && let Some((at, id, info)) = self.changes.get(leader.changes_seen)
            && at + LIST_DELAY <= now
        {
            match info {
                Some(info) => {
                    leader.lead.on_worker_info(info.clone(), time);
                }
                None => leader.lead.on_unlisted(id, time),
            }
            leader.changes_seen += 1;
        }
        if leader.may_decide(now) {
            leader.lead.tick(time, leader.store_at);
        }
        let commands = leader.lead.take_commands();
        let known: Vec<Name> = leader.lead.workers.keys().cloned().collect();
        let new = known.into_iter().filter(|id| leader.polled.insert(id.clone()));
        for id in new.collect::<Vec<_>>() {
            self.schedule(pause, Event::Poll(epoch, id, 0));
        }
        for command in commands {
            match command {
                Command::Poll(id) => self.send_poll(epoch, &id, true, pause),
                Command::Start(worker, start) => {
                    self.send(epoch, worker, Body::Start(start), pause);
                }
                Command::Stop(worker, stop) => self.send(epoch, worker, Body::Stop(stop), pause),
                Command::Throttle(..) | Command::AskPolicy(..) => {}
            }
        }
        self.append(epoch, pause);
    }

    fn send_poll(&mut self, epoch: u64, id: &Name, at_once: bool, pause: Millis) {
        let (now, time) = (self.now, self.time());
        let Some(leader) = self.leaders.get_mut(&epoch) else { return };
        let renew = leader.may_decide(now);
        match leader.lead.poll(id, at_once, renew, time) {
            Some((worker, request)) => {
                self.send(epoch, worker, Body::Poll(request, at_once), pause);
            }
            None if !at_once => {
                leader.polled.remove(id);
            }
            None => {}
        }
    }

    fn send(&mut self, epoch: u64, worker: WorkerAddr, body: Body, pause: Millis) {
        let (worker, sent) = (worker.id, self.now);
        let mut call = Call { epoch, worker, sent, life: 0, replies: true, body };
        if !matches!(call.body, Body::Poll(..)) && self.chance(self.faults.late_command) {
            self.fail(call.clone(), pause + CALL_TIMEOUT);
            call.replies = false;
            let ms = self.rng.random_range(2_000..12_000);
            return self.schedule(pause + ms, Event::Request(call));
        }
        self.schedule(pause + NETWORK_DELAY, Event::Request(call));
    }

    /// Fails a request of which it is not known whether it was carried out.
    fn fail(&mut self, call: Call, ms: Millis) {
        let fault = WorkerError::InDoubt("no reply".to_owned());
        let reply = match call.body {
            Body::Poll(..) => Reply::List(Err(fault)),
            _ => Reply::Clock(Err(fault)),
        };
        self.schedule(ms, Event::Reply(call, reply));
    }

    fn handle(&mut self, event: Event) {
        log::debug!("at={} {event:?}", self.now);
        let epoch = match &event {
            Event::Reply(call, _) => call.epoch,
            Event::Poll(epoch, ..) | Event::Stored(epoch, _) => *epoch,
            _ => 0,
        };
        let frozen_until = self.leaders.get(&epoch).map_or(0, |leader| leader.frozen_until);
        if frozen_until > self.now {
            return self.schedule(frozen_until - self.now, event);
        }
        match event {
            Event::Request(call) => self.receive(call),
            Event::Reply(call, reply) => self.reply(call, reply),
            Event::Poll(epoch, id, tries) => {
                let leader = self.leaders.get(&epoch);
                let unacked = leader.is_some_and(|leader| leader.lead.unacked(&id));
                if unacked && tries < MAX_UNACKED_POLLS {
                    let next = Event::Poll(epoch, id, tries + 1);
                    return self.schedule(UNACKED_INTERVAL, next);
                }
                self.send_poll(epoch, &id, false, 0);
            }
            Event::Append(epoch) => self.store(epoch),
            Event::Stored(epoch, stored) => self.on_stored(epoch, stored),
            Event::Claim => self.claim(),
            Event::Leave(id) => {
                log::info!("event=left at={} worker={id}", self.now);
                self.crash(&id, self.now, Millis::MAX);
                self.add_worker(self.workers.len());
            }
            Event::Cancel(id) => {
                self.cancelled.insert(id);
            }
        }
    }

    /// Handles a request that reaches a worker, or does not.
    fn receive(&mut self, mut call: Call) {
        let now = self.now;
        let id = call.worker.clone();
        let life = self.workers[&id].info().incarnation;
        let vm = self.leaders.get(&call.epoch).map(|leader| leader.vm);
        // A reply that is held back is lost with its connection.
        let held = call.life > 0;
        let passes = vm.is_none_or(|vm| self.passes(vm, &id, held));
        let up = self.workers[&id].down_until <= now;
        if !passes || !up || (held && call.life != life) {
            if call.replies {
                self.fail(call, CALL_TIMEOUT);
            }
            return;
        }
        call.life = life;
        if let Body::Start(start) = &call.body {
            self.check_start(&id, start);
        }
        let fails = self.rng.random_bool(0.4);
        let worker = self.workers.get_mut(&id).expect("a worker");
        let reply = match call.body.clone() {
            Body::Start(start) => {
                let spec = &self.specs[&start.task.job];
                let fails = fails && self.failing.contains(&start.task.job);
                Reply::Clock(worker.start(
                    start.clone(),
                    &spec.steps[start.task.step as usize],
                    fails,
                    now,
                ))
            }
            Body::Stop(stop) => Reply::Clock(worker.stop(stop, now)),
            Body::Poll(request, _) => {
                let mut reply = worker.poll(&request, now);
                let rows = reply.iter_mut().flat_map(|list| &mut list.running);
                for row in rows.filter(|row| row.percent < 100) {
                    // A run that stands still would be moved.
                    let age = now - worker.runs[&row.task].started_at;
                    row.percent = (age / PERCENT_TIME) as u32;
                }
                if reply.is_ok() {
                    self.acknowledge(&id, request.acked);
                }
                let waits = reply.as_ref().is_ok_and(|list| list.completions.is_empty());
                if waits && now < call.sent + request.wait {
                    return self.schedule(TIME_STEP, Event::Request(call));
                }
                Reply::List(reply)
            }
        };
        if !call.replies {
            return;
        }
        if self.chance(self.faults.lost_reply) {
            return self.fail(call, CALL_TIMEOUT);
        }
        self.schedule(NETWORK_DELAY, Event::Reply(call, reply));
    }

    /// Hands a reply to the leader that has asked for it.
    fn reply(&mut self, call: Call, reply: Reply) {
        let time = self.time();
        let Some(leader) = self.leaders.get(&call.epoch) else { return };
        let in_doubt = |e: &WorkerError| matches!(e, WorkerError::InDoubt(_));
        let failed = match &reply {
            Reply::Clock(result) => result.as_ref().is_err_and(in_doubt),
            Reply::List(result) => result.as_ref().is_err_and(in_doubt),
        };
        if !failed && !self.passes(leader.vm, &call.worker, true) {
            return self.fail(call, CALL_TIMEOUT);
        }
        let lead = &mut self.leaders.get_mut(&call.epoch).expect("a leader").lead;
        match (call.body, reply) {
            (Body::Start(start), Reply::Clock(result)) => {
                lead.on_start(&call.worker, &start, result, time);
            }
            (Body::Stop(stop), Reply::Clock(result)) => {
                lead.on_stop(&call.worker, &stop, result, time);
            }
            (Body::Poll(poll, at_once), Reply::List(result)) => {
                lead.on_poll(&call.worker, poll.token, call.sent, result, time);
                let pause = if failed { POLL_RETRY_DELAY } else { 0 };
                if !at_once {
                    self.schedule(pause, Event::Poll(call.epoch, call.worker, 0));
                }
            }
            _ => {}
        }
    }
}
