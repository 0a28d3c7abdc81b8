//! A leader among workers and a store that misbehave, on simulated time.

mod worker;

use std::collections::BTreeMap;

use base::{Millis, Name, Now, Size};
use job::{Queue, Spec, Step, TaskId};
use lead::{Batch, Bounds, Lead, Order};
use port::{Entry, Held, Hold, Item, Refusal, Start, Stop, WorkerFault};
use rand::{Rng, SeedableRng, rngs::StdRng};

pub(crate) use worker::FakeWorker;

/// Unix milliseconds at which the world begins.
const UNIX: Millis = 1_796_000_000_000;
/// Step of the simulated time.
const STEP: Millis = 10;
/// Time after which an order without an answer counts as in doubt.
const ORDER_LIMIT: Millis = 700;
/// Failures of a task that fail its job.
const ATTEMPTS: u32 = 3;
/// Time that an order or answer takes.
const HOP: Millis = 10;

/// What may go wrong, each as a probability.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Faults {
    /// An order is carried out and its answer is lost.
    pub(crate) lost: f64,
    /// An order gets no answer and is carried out 2 to 12 s later.
    pub(crate) late: f64,
    /// A worker refuses an order as not healthy.
    pub(crate) sick: f64,
    /// In each second: the leader dies and another takes over.
    pub(crate) takeover: f64,
    /// In each second: a worker is cut off for some seconds.
    pub(crate) cut: f64,
    /// In each second: a worker crashes and starts again.
    pub(crate) crash: f64,
    /// In each second: the store is away for some seconds.
    pub(crate) away: f64,
    /// A task fails.
    pub(crate) fail: f64,
}

/// What arrives at a moment.
#[derive(Debug, Clone)]
enum Event {
    Start(Name, Start, bool),
    Stop(Name, Stop, bool),
    Hold(Name, Hold, Millis, bool),
    Started(u64, Name, TaskId, u64, Result<Millis, WorkerFault>),
    Stopped(u64, Name, TaskId, u64, Result<Millis, WorkerFault>),
    Listed(u64, Name, Millis, Result<Held, WorkerFault>),
    Stored(u64, Batch),
    TakeOver,
}

/// The world of one leader.
pub(crate) struct World {
    pub(crate) now: Millis,
    pub(crate) lead: Option<Lead>,
    pub(crate) workers: BTreeMap<Name, FakeWorker>,
    pub(crate) faults: Faults,
    /// What went wrong.
    pub(crate) broken: Vec<String>,
    /// Tasks whose end was acknowledged as done.
    noted: BTreeMap<TaskId, Millis>,
    /// Runs of a task that have failed.
    failed: BTreeMap<TaskId, u32>,
    kept: BTreeMap<Name, Vec<u8>>,
    away: Millis,
    appending: bool,
    epoch: u64,
    events: Vec<(Millis, u64, Event)>,
    number: u64,
    rng: StdRng,
    pub(crate) specs: BTreeMap<Name, Spec>,
    /// Jobs that were cancelled, whose tasks may still be listed.
    cancelled: BTreeMap<Name, Spec>,
}

/// A queue for tests.
pub(crate) fn queue() -> Queue {
    Queue {
        name: "q".into(),
        service: "s".into(),
        attempts: ATTEMPTS,
        stretch: 2.0,
        ..Queue::default()
    }
}

/// A job of one step.
pub(crate) fn spec(step: Step) -> Spec {
    Spec { text: "t".into(), steps: vec![step], repeat: None }
}

/// A step of plain tasks.
pub(crate) fn step(count: u32, cpu: u64, estimate: Millis) -> Step {
    Step { count, size: Size { cpu, memory: 100, accel: 0 }, estimate, ..Step::default() }
}

impl World {
    pub(crate) fn open(seed: u64, workers: usize, faults: Faults) -> World {
        World::open_sized(seed, &vec![4_000; workers], faults)
    }

    /// A world whose workers have so many thousandths of a core each.
    pub(crate) fn open_sized(seed: u64, sizes: &[u64], faults: Faults) -> World {
        let workers = sizes.iter().enumerate().map(|(n, cpu)| FakeWorker::open(n, "s", *cpu));
        let mut world = World {
            now: 1_000,
            lead: None,
            workers: workers.map(|w| (w.id.clone(), w)).collect(),
            faults,
            broken: Vec::new(),
            noted: BTreeMap::new(),
            failed: BTreeMap::new(),
            kept: BTreeMap::new(),
            away: 0,
            appending: false,
            epoch: 0,
            events: Vec::new(),
            number: 0,
            rng: StdRng::seed_from_u64(seed),
            specs: BTreeMap::new(),
            cancelled: BTreeMap::new(),
        };
        world.take_over();
        world
    }

    pub(crate) fn time(&self) -> Now {
        Now { mono: self.now, unix: UNIX + self.now }
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

    /// Lets time pass.
    pub(crate) fn run(&mut self, ms: Millis) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    /// Submits again what the store does not hold, as callers do.
    pub(crate) fn resubmit(&mut self) {
        let time = self.time();
        let Some(lead) = &mut self.lead else { return };
        for (id, spec) in &self.specs {
            lead.submit(id, &queue(), spec.clone(), time);
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.misbehave();
        let mut due: Vec<_> = Vec::new();
        self.events.retain(|event| {
            let fires = event.0 <= self.now;
            if fires {
                due.push(event.clone());
            }
            !fires
        });
        due.sort_by_key(|(at, number, _)| (*at, *number));
        for (_, _, event) in due {
            self.arrive(event);
        }
        for worker in self.workers.values_mut() {
            worker.work(self.now);
            for task in worker.failed.drain(..) {
                *self.failed.entry(task).or_default() += 1;
            }
        }
        self.check_failed();
        let time = self.time();
        let orders = self.lead.as_mut().map(|lead| {
            lead.tick(time);
            lead.orders()
        });
        for order in orders.unwrap_or_default() {
            self.carry_out(order);
        }
        self.append();
    }

    fn misbehave(&mut self) {
        let faults = self.faults;
        let second = STEP as f64 / 1000.0;
        if self.chance(faults.takeover * second) && self.lead.is_some() {
            self.lead = None;
            let pause = self.rng.random_range(300..1_500);
            self.later(pause, Event::TakeOver);
        }
        let ids: Vec<Name> = self.workers.keys().cloned().collect();
        let some = ids[self.rng.random_range(0..ids.len())].clone();
        if self.chance(faults.cut * second) {
            let until = self.now + self.rng.random_range(500..9_000);
            self.workers.get_mut(&some).unwrap().cut = until;
        }
        if self.chance(faults.crash * second) {
            let dark = self.now + self.rng.random_range(100..4_000);
            let born = self.now;
            self.workers.get_mut(&some).unwrap().crash(born, dark);
            self.announce(&some);
        }
        if self.chance(faults.away * second) {
            self.away = self.now + self.rng.random_range(500..6_000);
        }
    }

    fn chance(&mut self, p: f64) -> bool {
        p > 0.0 && self.rng.random_bool(p)
    }

    fn later(&mut self, ms: Millis, event: Event) {
        self.number += 1;
        self.events.push((self.now + ms, self.number, event));
    }

    fn entry(&self, id: &Name) -> Entry {
        self.workers[id].entry()
    }

    fn announce(&mut self, id: &Name) {
        let (entry, time) = (self.entry(id), self.time());
        if let Some(lead) = &mut self.lead {
            lead.on_entry(entry, time);
        }
    }

    /// A new leader takes over with what the store holds.
    pub(crate) fn take_over(&mut self) {
        self.epoch += 1;
        let items: Vec<Item> = self
            .kept
            .iter()
            .map(|(key, value)| Item { key: key.clone(), value: value.clone() })
            .collect();
        let time = self.time();
        self.lead = Some(Lead::open(self.epoch, &items, Bounds::default(), time));
        self.appending = false;
        let ids: Vec<Name> = self.workers.keys().cloned().collect();
        for id in ids {
            self.announce(&id);
            self.ask(&id, false);
        }
    }

    fn ask(&mut self, id: &Name, look: bool) {
        let (epoch, sent, time) = (self.epoch, self.now, self.time());
        let Some((_, hold)) = self.lead.as_mut().and_then(|lead| lead.hold(id, look, true, time))
        else {
            return;
        };
        if self.unreachable(id) {
            let fault = Err(WorkerFault::InDoubt("cut".to_owned()));
            return self.later(ORDER_LIMIT, Event::Listed(epoch, id.clone(), sent, fault));
        }
        self.later(HOP, Event::Hold(id.clone(), hold, sent, look));
    }

    fn unreachable(&self, id: &Name) -> bool {
        self.workers[id].cut > self.now || self.workers[id].dark > self.now
    }

    fn carry_out(&mut self, order: Order) {
        let epoch = self.epoch;
        match order {
            Order::Look(id) => self.ask(&id, true),
            Order::Pace(..) | Order::Ask(..) => {}
            Order::Start(peer, start) => {
                let (task, run) = (start.task.clone(), start.run);
                let lost = self.fate(&peer.id);
                let event = Event::Start(peer.id.clone(), start, lost.is_none());
                let (delay, fault) = lost.unwrap_or((HOP, None));
                if let Some(fault) = fault {
                    let answer = Event::Started(epoch, peer.id, task, run, Err(fault));
                    self.later(ORDER_LIMIT, answer);
                }
                if delay > 0 {
                    self.later(delay, event);
                }
            }
            Order::Stop(peer, stop) => {
                let (task, run) = (stop.task.clone(), stop.run);
                let lost = self.fate(&peer.id);
                let event = Event::Stop(peer.id.clone(), stop, lost.is_none());
                let (delay, fault) = lost.unwrap_or((HOP, None));
                if let Some(fault) = fault {
                    let answer = Event::Stopped(epoch, peer.id, task, run, Err(fault));
                    self.later(ORDER_LIMIT, answer);
                }
                if delay > 0 {
                    self.later(delay, event);
                }
            }
        }
    }

    /// What becomes of an order: `None` where all goes well, else when it is
    /// carried out (0 is never) and the answer.
    fn fate(&mut self, id: &Name) -> Option<(Millis, Option<WorkerFault>)> {
        let doubt = Some(WorkerFault::InDoubt("no answer".to_owned()));
        if self.unreachable(id) {
            return Some((0, doubt));
        }
        if self.chance(self.faults.late) {
            return Some((self.rng.random_range(2_000..12_000), doubt));
        }
        if self.chance(self.faults.lost) {
            return Some((HOP, doubt));
        }
        if self.chance(self.faults.sick) {
            return Some((0, Some(WorkerFault::Refused(Refusal::Unhealthy, None))));
        }
        None
    }

    fn arrive(&mut self, event: Event) {
        log::debug!("at={} {event:?}", self.now);
        let time = self.time();
        let epoch = self.epoch;
        match event {
            Event::Start(id, start, answers) => {
                if self.workers[&id].dark > self.now {
                    if answers {
                        let fault = Err(WorkerFault::InDoubt("down".to_owned()));
                        let (task, run) = (start.task, start.run);
                        let answer = Event::Started(start.token, id, task, run, fault);
                        self.later(ORDER_LIMIT, answer);
                    }
                    return;
                }
                self.check_start(&id, &start);
                let fails = self.chance(self.faults.fail);
                let size = self.step_of(&start.task);
                let (task, run, token) = (start.task.clone(), start.run, start.token);
                let worker = self.workers.get_mut(&id).unwrap();
                let answer = worker.start(start, &size, fails, self.now);
                if answers {
                    self.later(HOP, Event::Started(token, id, task, run, answer));
                }
            }
            Event::Stop(id, stop, answers) => {
                if self.workers[&id].dark > self.now {
                    if answers {
                        let fault = Err(WorkerFault::InDoubt("down".to_owned()));
                        let answer = Event::Stopped(stop.token, id, stop.task, stop.run, fault);
                        self.later(ORDER_LIMIT, answer);
                    }
                    return;
                }
                let (task, run, token) = (stop.task.clone(), stop.run, stop.token);
                let answer = self.workers.get_mut(&id).unwrap().stop(stop, self.now);
                if answers {
                    self.later(HOP, Event::Stopped(token, id, task, run, answer));
                }
            }
            Event::Hold(id, hold, sent, look) => {
                let waits = hold.wait > 0 && self.now < sent + hold.wait;
                if self.unreachable(&id) {
                    let fault = Err(WorkerFault::InDoubt("cut".to_owned()));
                    return self.later(ORDER_LIMIT, Event::Listed(hold.token, id, sent, fault));
                }
                let worker = self.workers.get_mut(&id).unwrap();
                let answer = worker.hold(&hold, self.now);
                self.note(&id, hold.acked, hold.token);
                let empty = answer.as_ref().is_ok_and(|held| held.finished.is_empty());
                if waits && empty {
                    return self.later(STEP, Event::Hold(id, hold, sent, look));
                }
                // A look is told apart by its odd time of sending.
                let sent = sent * 2 + u64::from(look);
                self.later(HOP, Event::Listed(hold.token, id, sent, answer));
            }
            Event::Started(token, id, task, run, answer) if token == epoch => {
                if let Some(lead) = &mut self.lead {
                    lead.on_start(&id, &task, run, answer, time);
                }
            }
            Event::Stopped(token, id, task, run, answer) if token == epoch => {
                if let Some(lead) = &mut self.lead {
                    lead.on_stop(&id, &task, run, answer, time);
                }
            }
            Event::Listed(token, id, sent, answer) if token == epoch => {
                let answered = answer.is_ok();
                let (sent, look) = if answered { (sent / 2, sent % 2 == 1) } else { (sent, false) };
                if let Some(lead) = &mut self.lead {
                    lead.on_hold(&id, sent, answer, time);
                }
                if !look {
                    self.ask(&id, false);
                }
            }
            Event::Stored(token, batch) if token == epoch => {
                self.appending = false;
                if let Some(lead) = &mut self.lead {
                    lead.on_stored(&batch, time);
                }
            }
            Event::TakeOver => self.take_over(),
            Event::Started(..) | Event::Stopped(..) | Event::Listed(..) | Event::Stored(..) => {}
        }
    }

    /// One batch is on its way at a time; it is durable at once and confirmed
    /// later.
    fn append(&mut self) {
        if self.appending || self.away > self.now {
            return;
        }
        let Some(batch) = self.lead.as_mut().and_then(Lead::batch) else { return };
        for record in &batch.records {
            if record.value.is_empty() {
                self.kept.remove(&record.key);
            } else {
                self.kept.insert(record.key.clone(), record.value.clone());
            }
        }
        self.appending = true;
        let epoch = self.epoch;
        self.later(2 * HOP, Event::Stored(epoch, batch));
    }

    fn note(&mut self, id: &Name, acked: u64, token: u64) {
        let worker = self.workers.get_mut(id).unwrap();
        if token < worker.token {
            return;
        }
        for task in worker.forget(acked) {
            self.noted.insert(task, self.now);
        }
    }

    /// A job is shown as failed only where a task has failed as often as is allowed.
    fn check_failed(&mut self) {
        let Some(lead) = &self.lead else { return };
        let shown = |id: &Name| lead.state(id) == Some(job::State::Failed);
        let often = |id: &Name| self.failed.iter().any(|(t, n)| t.job == *id && *n >= ATTEMPTS);
        for id in self.specs.keys().filter(|id| shown(id) && !often(id)) {
            self.broken.push(format!("{id} is shown as failed at {}", self.now));
        }
    }

    fn check_start(&mut self, id: &Name, start: &Start) {
        if !self.workers[id].would_start(start, self.now) {
            return;
        }
        let task = &start.task;
        if self.noted.contains_key(task) {
            self.broken.push(format!("{} started {task} after its noted end at {}", id, self.now));
        }
        let cpu = self.step_of(task).size.cpu;
        let taken: u64 = self.workers[id].runs.values().map(|run| run.cpu).sum();
        if taken + cpu > self.workers[id].entry().size.cpu {
            self.broken.push(format!("{id} is overcommitted by {task} at {}", self.now));
        }
        for worker in self.workers.values().filter(|w| w.dark <= self.now) {
            if worker.runs.contains_key(task) {
                let other = &worker.id;
                self.broken.push(format!("{task} runs on {other} and {id} at {}", self.now));
            }
        }
    }

    /// The step of a task.
    fn step_of(&self, task: &TaskId) -> Step {
        let spec = self.specs.get(&task.job).or(self.cancelled.get(&task.job));
        spec.expect("a job that was submitted").steps[task.step as usize].clone()
    }

    /// What is not done.
    pub(crate) fn report(&self) -> String {
        let Some(lead) = &self.lead else { return "nobody leads".to_owned() };
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

    /// Whether every job has ended, as far as the store knows.
    pub(crate) fn done(&self) -> bool {
        let Some(lead) = &self.lead else { return false };
        let done =
            |id: &Name| matches!(lead.state(id), Some(job::State::Completed | job::State::Failed));
        self.specs.keys().all(done)
    }
}
