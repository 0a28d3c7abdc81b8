use std::collections::{BTreeMap, BTreeSet};

use base::{Millis, Name, event};
use port::{PollReply, WorkerAddr, WorkerError};

use crate::{
    list::RunList,
    msg::{Orders, PollResult, RelayedWorker, Report, ReportReply, WorkerCommand},
};

/// Time without a report after which a relay is given up.
const MAX_RELAY_SILENCE: Millis = 700;
/// Time for the first report of a relay.
const OPENING_TIMEOUT: Millis = 800;
/// Low bits of a session's number, which count the sessions of one epoch.
const SESSION_COUNTER_BITS: u32 = 24;
/// Most new or changed workers in one message.
const MAX_WORKERS_PER_ORDERS: usize = 200;

/// The leader's side of its sessions with relays. Times are on the leader's clock.
#[derive(Debug)]
pub struct Dispatcher {
    leader: Name,
    epoch: u64,
    lease: Millis,
    sessions: BTreeMap<u64, Session>,
    /// Session that each assigned worker belongs to.
    by_worker: BTreeMap<Name, u64>,
    session_count: u64,
    command_count: u64,
}

#[derive(Debug)]
struct Session {
    vm: Name,
    opened_at: Millis,
    /// Last report; 0 before the first.
    reported_at: Millis,
    /// Number of the newest report.
    report: u64,
    /// Number of the newest orders.
    orders: u64,
    /// Whether orders are on their way.
    sending: bool,
    /// Until when the relay may renew leases.
    granted_until: Millis,
    workers: BTreeMap<Name, Mirror>,
    /// Workers that the relay has to be told of.
    changed: BTreeSet<Name>,
    released: Vec<Name>,
    polls: Vec<Name>,
    commands: Vec<(u64, WorkerAddr, WorkerCommand)>,
    /// Commands that have been sent and have no reply.
    in_flight: BTreeMap<u64, (WorkerAddr, WorkerCommand)>,
}

/// What is known of an assigned worker.
#[derive(Debug)]
struct Mirror {
    state: RelayedWorker,
    list: RunList,
    /// Newest permission to renew the leases, and whether the relay may have it.
    permission: u64,
    permitted: bool,
}

/// What remains of a session that has been closed.
#[derive(Debug, Default)]
pub struct Closed {
    /// Workers that have no relay now.
    pub workers: Vec<Name>,
    /// Until when the relay may have renewed their leases.
    pub granted_until: Millis,
    /// Commands that the relay may have carried out or may still carry out.
    pub in_doubt: Vec<(WorkerAddr, WorkerCommand)>,
    /// Commands that the relay has not received.
    pub unsent: Vec<(WorkerAddr, WorkerCommand)>,
}

/// What a report contains, for the leader.
#[derive(Debug, Default)]
pub struct Received {
    /// Workers that are polled by the relay from now on.
    pub opened: Vec<Name>,
    /// Replies to commands.
    pub replies: Vec<(WorkerAddr, WorkerCommand, Result<Millis, WorkerError>)>,
    /// Results of polls, with the worker's whole list.
    pub polls: Vec<(PollTimes, Result<PollReply, WorkerError>)>,
}

/// Which poll a result belongs to.
#[derive(Debug, Clone, PartialEq)]
pub struct PollTimes {
    /// The worker.
    pub worker: Name,
    /// Fencing token of the poll.
    pub token: u64,
    /// When the poll was sent, or somewhat earlier.
    pub sent_at: Millis,
    /// Lease expiry that the poll set, on the worker's clock.
    pub deadline: Option<Millis>,
    /// Whether the relay may go on renewing the worker's leases.
    pub renews: bool,
}

impl Dispatcher {
    /// Creates the state of a new leader without relays.
    pub fn new(leader: Name, epoch: u64, lease: Millis) -> Dispatcher {
        Dispatcher {
            leader,
            epoch,
            lease,
            sessions: BTreeMap::new(),
            by_worker: BTreeMap::new(),
            session_count: 0,
            command_count: 0,
        }
    }

    /// Assigns workers to a VM. Opens a session with it if there is none.
    pub fn assign(&mut self, vm: &Name, workers: Vec<RelayedWorker>, now: Millis) {
        let open = self.sessions.iter().find(|(_, session)| session.vm == *vm).map(|(id, _)| *id);
        let id = open.unwrap_or_else(|| {
            self.session_count += 1;
            (self.epoch << SESSION_COUNTER_BITS) | self.session_count
        });
        let session = self.sessions.entry(id).or_insert_with(|| Session::open(vm.clone(), now));
        event!("relay_assigned", vm = vm, session = id, workers = workers.len());
        for state in workers {
            let worker = state.worker.id.clone();
            self.by_worker.insert(worker.clone(), id);
            session.changed.insert(worker.clone());
            session.workers.insert(worker, Mirror::new(state));
        }
    }

    /// Returns whether a worker has been assigned to a relay.
    pub fn is_assigned(&self, worker: &Name) -> bool {
        self.by_worker.contains_key(worker)
    }

    /// Returns whether a worker's relay has reported, so that it polls the worker and carries
    /// commands.
    pub fn is_relayed(&self, worker: &Name) -> bool {
        self.session_of(worker).is_some_and(|session| session.reported_at > 0)
    }

    /// Returns the number of workers assigned to a VM.
    pub fn load(&self, vm: &Name) -> usize {
        let of_vm = self.sessions.values().filter(|session| session.vm == *vm);
        of_vm.map(|session| session.workers.len()).sum()
    }

    /// Updates what a worker's relay is told about it.
    pub fn update(&mut self, state: RelayedWorker) {
        let worker = state.worker.id.clone();
        let Some(session) = self.session_mut(&worker) else { return };
        let Some(mirror) = session.workers.get_mut(&worker) else { return };
        if mirror.state != state {
            mirror.state = state;
            session.changed.insert(worker);
        }
    }

    /// Ends the assignment of a worker that no longer exists.
    pub fn release(&mut self, worker: &Name) {
        if let Some(session) = self.session_mut(worker) {
            session.workers.remove(worker);
            session.changed.remove(worker);
            session.released.push(worker.clone());
        }
        self.by_worker.remove(worker);
    }

    /// Hands a command to the worker's relay; returns it if the worker has none.
    pub fn send(
        &mut self,
        worker: WorkerAddr,
        command: WorkerCommand,
    ) -> Option<(WorkerAddr, WorkerCommand)> {
        if !self.is_relayed(&worker.id) {
            return Some((worker, command));
        }
        self.command_count += 1;
        let number = self.command_count;
        let session = self.session_mut(&worker.id)?;
        session.commands.push((number, worker, command));
        None
    }

    /// Has the worker's relay poll it at once; returns `false` if it has none.
    pub fn poll(&mut self, worker: &Name) -> bool {
        let relayed = self.is_relayed(worker);
        if let Some(session) = self.session_mut(worker).filter(|_| relayed) {
            session.polls.push(worker.clone());
        }
        relayed
    }

    /// Returns the sessions that have orders to send and none on their way.
    pub fn ready(&self) -> Vec<u64> {
        let ready = |session: &Session| !session.sending && session.has_orders();
        self.sessions.iter().filter(|(_, s)| ready(s)).map(|(id, _)| *id).collect()
    }

    /// Takes the next orders of a session, with the name of the VM that gets them; `None` if
    /// there are none.
    pub fn take_orders(&mut self, id: u64) -> Option<(Name, Orders)> {
        let (leader, epoch, lease) = (self.leader.clone(), self.epoch, self.lease);
        let session = self.sessions.get_mut(&id)?;
        session.sending = session.has_orders();
        if !session.sending {
            return None;
        }
        session.orders += 1;
        let mut workers = Vec::new();
        while workers.len() < MAX_WORKERS_PER_ORDERS
            && let Some(worker) = session.changed.pop_first()
        {
            workers.extend(session.workers.get_mut(&worker).map(Mirror::permit));
        }
        let commands = std::mem::take(&mut session.commands);
        let sent = commands.iter().map(|(n, worker, c)| (*n, (worker.clone(), c.clone())));
        session.in_flight.extend(sent);
        let orders = Orders {
            leader,
            epoch,
            session: id,
            number: session.orders,
            opened_at: session.opened_at,
            lease,
            report: session.report,
            workers,
            released: std::mem::take(&mut session.released),
            polls: std::mem::take(&mut session.polls),
            commands,
        };
        Some((session.vm.clone(), orders))
    }

    /// Handles a report. `valid_for` is the time for which the leader may decide without
    /// further contact to other VMs.
    pub fn on_report(
        &mut self,
        report: Report,
        valid_for: Millis,
        now: Millis,
    ) -> (Received, ReportReply) {
        let mut received = Received::default();
        let session = self.sessions.get_mut(&report.session).filter(|_| report.epoch == self.epoch);
        let Some(session) = session else { return (received, ReportReply::Closed) };
        if session.reported_at == 0 {
            received.opened = session.workers.keys().cloned().collect();
        }
        session.reported_at = now;
        session.granted_until = session.granted_until.max(now + valid_for);
        if report.number == session.report + 1 {
            session.report = report.number;
            session.receive(report, &mut received);
        }
        (received, ReportReply::Granted { valid_for, at: now })
    }

    /// Returns the sessions whose relay has been silent for too long.
    pub fn silent(&self, now: Millis) -> Vec<u64> {
        let is_silent = |session: &Session| match session.reported_at {
            0 => now >= session.opened_at + OPENING_TIMEOUT,
            at => now >= at + MAX_RELAY_SILENCE,
        };
        self.sessions.iter().filter(|(_, s)| is_silent(s)).map(|(id, _)| *id).collect()
    }

    /// Returns the sessions with VMs for which `unfit` holds.
    pub fn sessions_of(&self, unfit: impl Fn(&Name) -> bool) -> Vec<u64> {
        self.sessions.iter().filter(|(_, s)| unfit(&s.vm)).map(|(id, _)| *id).collect()
    }

    /// Closes a session. `undelivered` are orders that the relay has not received or not
    /// accepted.
    pub fn close(&mut self, id: u64, undelivered: Option<&Orders>, why: &str) -> Closed {
        let Some(mut session) = self.sessions.remove(&id) else { return Closed::default() };
        let mut unsent: Vec<_> = Vec::new();
        for (number, ..) in undelivered.iter().flat_map(|orders| &orders.commands) {
            unsent.extend(session.in_flight.remove(number));
        }
        unsent.extend(session.commands.into_iter().map(|(_, worker, command)| (worker, command)));
        let workers: Vec<Name> = session.workers.into_keys().collect();
        workers.iter().for_each(|worker| {
            self.by_worker.remove(worker);
        });
        let in_doubt: Vec<_> = session.in_flight.into_values().collect();
        event!(
            "relay_lost",
            vm = session.vm,
            session = id,
            workers = workers.len(),
            in_doubt = in_doubt.len(),
            why = why
        );
        Closed { workers, granted_until: session.granted_until, in_doubt, unsent }
    }

    fn session_of(&self, worker: &Name) -> Option<&Session> {
        self.sessions.get(self.by_worker.get(worker)?)
    }

    fn session_mut(&mut self, worker: &Name) -> Option<&mut Session> {
        self.sessions.get_mut(self.by_worker.get(worker)?)
    }
}

impl Session {
    fn open(vm: Name, now: Millis) -> Session {
        Session {
            vm,
            opened_at: now,
            reported_at: 0,
            report: 0,
            orders: 0,
            sending: false,
            granted_until: 0,
            workers: BTreeMap::new(),
            changed: BTreeSet::new(),
            released: Vec::new(),
            polls: Vec::new(),
            commands: Vec::new(),
            in_flight: BTreeMap::new(),
        }
    }

    fn has_orders(&self) -> bool {
        !self.changed.is_empty()
            || !self.released.is_empty()
            || !self.polls.is_empty()
            || !self.commands.is_empty()
    }

    fn receive(&mut self, report: Report, received: &mut Received) {
        for (number, reply) in report.replies {
            if let Some((worker, command)) = self.in_flight.remove(&number) {
                received.replies.push((worker, command, reply));
            }
        }
        for poll in report.polls {
            let PollResult { worker, token, sent_at, deadline, given_up, result } = poll;
            let Some(mirror) = self.workers.get_mut(&worker) else { continue };
            let renews = mirror.update_permission(given_up);
            if result.is_ok() && !renews {
                self.changed.insert(worker.clone());
            }
            let result = match result {
                Ok(change) => match mirror.list.apply(change) {
                    Some(reply) => Ok(reply),
                    None => continue,
                },
                Err(e) => Err(e),
            };
            let times = PollTimes { worker, token, sent_at, deadline, renews };
            received.polls.push((times, result));
        }
    }
}

impl Mirror {
    fn new(state: RelayedWorker) -> Mirror {
        Mirror { state, list: RunList::default(), permission: 1, permitted: false }
    }

    /// Returns what the relay is told of the worker, with the permission to renew its leases.
    fn permit(&mut self) -> (RelayedWorker, u64) {
        self.permitted |= self.state.synced;
        (self.state.clone(), self.permission)
    }

    /// Handles that the relay has given up a permission. Returns whether it may still have one.
    fn update_permission(&mut self, given_up: u64) -> bool {
        if given_up >= self.permission {
            self.permission = given_up + 1;
            self.permitted = false;
        }
        self.permitted
    }
}
