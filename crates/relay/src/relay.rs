use std::collections::{BTreeMap, VecDeque};

use base::{Millis, Name, event};
use port::{Poll, PollReply, Refusal, WorkerAddr, WorkerError};

use crate::{
    list::RunList,
    msg::{Orders, PollResult, RelayedWorker, Report, ReportReply, WorkerCommand},
};

/// Age from which commands are no longer carried out. It is measured from a report that the
/// leader had processed before it issued them, so that it holds after a pause of this process
/// or a delay on the way.
const MAX_COMMAND_AGE: Millis = 1_200;
/// Time without a reply from a worker after which its leases are no longer renewed.
const MAX_RENEW_SILENCE: Millis = 1_600;
/// Interval between two reports if nothing happens.
const REPORT_INTERVAL: Millis = 200;
/// Time without a reply from the leader after which a session is dropped.
const MAX_LEADER_SILENCE: Millis = 6_000;

/// State of an entry VM that relays between the leader and some workers. Times are on this
/// VM's monotonic clock, unless they are said to be on another.
#[derive(Debug, Default)]
pub struct Relay {
    session: Option<Session>,
}

#[derive(Debug)]
struct Session {
    leader: Name,
    epoch: u64,
    id: u64,
    /// Number of the newest orders received.
    orders: u64,
    /// When the newest message with the leader's clock arrived, on this VM's clock, and that clock.
    anchor: (Millis, Millis),
    lease: Millis,
    /// Until when leases may be renewed.
    valid_until: Millis,
    workers: BTreeMap<Name, AssignedWorker>,
    replies: Vec<(u64, Result<Millis, WorkerError>)>,
    polls: Vec<PollResult>,
    /// Report that has no reply yet.
    unconfirmed: Option<Report>,
    /// Number of the newest report.
    reports: u64,
    /// Recent reports with the time at which each was first sent.
    sent: VecDeque<(u64, Millis)>,
    /// Last reply of the leader.
    confirmed_at: Millis,
}

#[derive(Debug)]
struct AssignedWorker {
    state: RelayedWorker,
    list: RunList,
    /// Last reading of the worker clock, and when it was received.
    clock: Option<(Millis, Millis)>,
    /// Incarnation that made the newest list; `None` before the first.
    incarnation: Option<u64>,
    /// When that list was received.
    listed_at: Millis,
    /// When the worker last replied; at first, when it was assigned.
    replied_at: Millis,
    /// Newest completion of that incarnation that has been reported.
    reported: u64,
    /// Since when it may have restarted; 0 if a list requested later has shown its incarnation.
    doubted_at: Millis,
    /// Newest permission to renew the leases, and the newest that has been given up.
    permission: u64,
    given_up: u64,
}

/// What a relay has to do after it has accepted orders.
#[derive(Debug, Default, PartialEq)]
pub struct Accepted {
    /// Session that the orders belong to.
    pub session: u64,
    /// Workers that have to be polled from now on.
    pub assigned: Vec<Name>,
    /// Workers to poll once at once.
    pub polls: Vec<Name>,
    /// Commands to carry out, with their numbers.
    pub commands: Vec<(u64, WorkerAddr, WorkerCommand)>,
}

impl Relay {
    /// Handles orders of a leader; `None` if they are not accepted, and nothing is done.
    pub fn on_orders(&mut self, orders: Orders, now: Millis) -> Option<Accepted> {
        let known = self.session.as_ref().map(|s| (s.epoch, s.id));
        if orders.number == 1 && known.is_none_or(|known| known < (orders.epoch, orders.session)) {
            event!("relay_opened", leader = orders.leader, epoch = orders.epoch);
            self.session = Some(Session::open(&orders, now));
        }
        let current = (orders.epoch, orders.session);
        let session = self.session.as_mut().filter(|s| (s.epoch, s.id) == current)?;
        if orders.number != session.orders + 1 {
            return None;
        }
        session.orders = orders.number;
        for id in &orders.released {
            session.workers.remove(id);
        }
        let assigned = session.update_workers(orders.workers, now);
        for (_, addr, command) in &orders.commands {
            if let Some(worker) = session.workers.get_mut(&addr.id) {
                worker.state.token = worker.state.token.max(command.token());
            }
        }
        let commands = session.refuse_old(orders.commands, orders.report, now);
        Some(Accepted { session: session.id, assigned, polls: orders.polls, commands })
    }

    /// Builds the next poll of a worker, which renews its leases if the leader permits it;
    /// `None` if the worker is no longer assigned in this session. With `at_once`, the worker
    /// replies at once.
    pub fn poll(
        &mut self,
        session: u64,
        id: &Name,
        at_once: bool,
        now: Millis,
    ) -> Option<(WorkerAddr, Poll)> {
        let session = self.current(session)?;
        let (lease, valid) = (session.lease, now < session.valid_until);
        let worker = session.workers.get(id)?;
        let renews = valid && worker.renews(now) && worker.is_known();
        let deadline = worker.clock_now(now).filter(|_| renews).map(|clock| clock + lease);
        let wait = if at_once || worker.clock.is_none() { 0 } else { worker.state.wait };
        let acked = if worker.is_known() { worker.state.acked } else { 0 };
        let poll = Poll { token: worker.state.token, acked, deadline, wait };
        Some((worker.state.worker.clone(), poll))
    }

    /// Handles the result of the poll `request` that was sent at `sent`.
    pub fn on_poll(
        &mut self,
        session: u64,
        id: &Name,
        sent: Millis,
        request: &Poll,
        reply: Result<PollReply, WorkerError>,
        now: Millis,
    ) {
        let Some(session) = self.current(session) else { return };
        let sent_at = session.leader_time(sent);
        let Some(worker) = session.workers.get_mut(id) else { return };
        let result = reply.map(|reply| {
            worker.on_reply(&reply, sent, now);
            worker.list.diff(reply)
        });
        if let Err(why) = &result {
            // A refusal does not name the incarnation.
            worker.doubted_at = now;
            // With `OtherLife`, another worker replies at its address.
            if matches!(why, WorkerError::Refused(why, Some(_)) if *why != Refusal::OtherLife) {
                worker.replied_at = now;
            }
        }
        if !worker.renews(now) {
            worker.given_up = worker.permission;
        }
        let (worker, given_up) = (id.clone(), worker.given_up);
        let (token, deadline) = (request.token, request.deadline);
        let poll = PollResult { worker, token, sent_at, deadline, given_up, result };
        session.polls.push(poll);
    }

    /// Handles the reply to a command.
    pub fn on_reply(&mut self, session: u64, number: u64, reply: Result<Millis, WorkerError>) {
        let Some(session) = self.current(session) else { return };
        session.replies.push((number, reply));
    }

    /// Returns whether completions of a worker have been reported that are not durable yet.
    pub fn unacked(&mut self, session: u64, id: &Name) -> bool {
        let worker = self.current(session).and_then(|session| session.workers.get(id));
        worker.is_some_and(|worker| worker.durable() < worker.reported)
    }

    /// Returns the report to send, with the name of the leader; `None` if none is due. A report
    /// that has no reply is returned again.
    pub fn take_report(&mut self, now: Millis) -> Option<(Name, Report)> {
        let session = self.session.as_mut()?;
        if now >= session.confirmed_at + MAX_LEADER_SILENCE {
            event!("relay_closed", leader = session.leader, epoch = session.epoch, why = "silence");
            self.session = None;
            return None;
        }
        let leader = session.leader.clone();
        if let Some(report) = &session.unconfirmed {
            return Some((leader, report.clone()));
        }
        let idle = session.replies.is_empty() && session.polls.is_empty();
        let last = session.sent.back().map_or(0, |(_, at)| *at);
        if idle && now < last + REPORT_INTERVAL {
            return None;
        }
        session.reports += 1;
        session.sent.push_back((session.reports, now));
        session.sent.retain(|(_, at)| now < at + MAX_COMMAND_AGE);
        let report = Report {
            epoch: session.epoch,
            session: session.id,
            number: session.reports,
            replies: std::mem::take(&mut session.replies),
            polls: std::mem::take(&mut session.polls),
        };
        session.unconfirmed = Some(report.clone());
        Some((leader, report))
    }

    /// Handles the leader's reply to a report; `None` if there was none.
    pub fn on_report_reply(&mut self, report: &Report, reply: Option<ReportReply>, now: Millis) {
        let Some(session) = self.current(report.session) else { return };
        match reply {
            Some(ReportReply::Granted { valid_for, at }) => {
                session.confirmed_at = now;
                // The clocks may drift apart in the course of a session.
                session.anchor = (now, at);
                let sent = session.sent.iter().find(|(number, _)| *number == report.number);
                let until = sent.map_or(0, |(_, sent_at)| sent_at + valid_for);
                session.valid_until = session.valid_until.max(until);
                session.unconfirmed = None;
            }
            Some(ReportReply::Closed) => {
                event!(
                    "relay_closed",
                    leader = session.leader,
                    epoch = session.epoch,
                    why = "told"
                );
                self.session = None;
            }
            None => {}
        }
    }

    /// Drops the session with the leader of an earlier epoch.
    pub fn on_epoch(&mut self, epoch: u64) {
        if let Some(session) = self.session.take_if(|session| session.epoch < epoch) {
            event!("relay_closed", leader = session.leader, epoch = session.epoch, why = "epoch");
        }
    }

    /// Returns whether this VM relays for a leader.
    pub fn is_open(&self) -> bool {
        self.session.is_some()
    }

    fn current(&mut self, session: u64) -> Option<&mut Session> {
        self.session.as_mut().filter(|current| current.id == session)
    }
}

impl Session {
    fn open(orders: &Orders, now: Millis) -> Session {
        Session {
            leader: orders.leader.clone(),
            epoch: orders.epoch,
            id: orders.session,
            orders: 0,
            anchor: (now, orders.opened_at),
            lease: orders.lease,
            valid_until: 0,
            workers: BTreeMap::new(),
            replies: Vec::new(),
            polls: Vec::new(),
            unconfirmed: None,
            reports: 0,
            sent: VecDeque::new(),
            confirmed_at: now,
        }
    }

    /// Converts a time to the leader's clock. The result is early by the time that the message
    /// with the leader's clock took to arrive.
    fn leader_time(&self, at: Millis) -> Millis {
        (at + self.anchor.1).saturating_sub(self.anchor.0)
    }

    /// Adds or updates workers. Returns those that are new.
    fn update_workers(&mut self, states: Vec<(RelayedWorker, u64)>, now: Millis) -> Vec<Name> {
        let mut assigned = Vec::new();
        for (state, permission) in states {
            let id = state.worker.id.clone();
            let worker = self.workers.entry(id.clone()).or_insert_with(|| {
                assigned.push(id);
                AssignedWorker::new(state.clone(), now)
            });
            worker.update(state, permission);
        }
        assigned
    }

    /// Returns the commands that are young enough; the others are answered as not sent.
    fn refuse_old(
        &mut self,
        commands: Vec<(u64, WorkerAddr, WorkerCommand)>,
        report: u64,
        now: Millis,
    ) -> Vec<(u64, WorkerAddr, WorkerCommand)> {
        let issued_after =
            self.sent.iter().find(|(number, _)| *number == report).map(|(_, at)| *at);
        if commands.is_empty() || issued_after.is_some_and(|at| now < at + MAX_COMMAND_AGE) {
            return commands;
        }
        event!("commands_outdated", commands = commands.len(), epoch = self.epoch);
        for (number, ..) in commands {
            let reply = Err(WorkerError::Unsent("outdated on arrival at the relay".to_owned()));
            self.replies.push((number, reply));
        }
        Vec::new()
    }
}

impl AssignedWorker {
    fn new(state: RelayedWorker, now: Millis) -> AssignedWorker {
        AssignedWorker {
            state,
            list: RunList::default(),
            clock: None,
            incarnation: None,
            listed_at: 0,
            replied_at: now,
            reported: 0,
            doubted_at: 0,
            permission: 0,
            given_up: 0,
        }
    }

    fn update(&mut self, mut state: RelayedWorker, permission: u64) {
        self.permission = self.permission.max(permission);
        state.token = state.token.max(self.state.token);
        self.state = state;
    }

    /// Returns whether the worker is of the incarnation that the leader knows, as far as can be
    /// told. Another one would forget completions that it has never listed, and would take a
    /// deadline for the longest lease.
    fn is_known(&self) -> bool {
        self.incarnation == Some(self.state.incarnation) && self.doubted_at == 0
    }

    /// Returns the newest durable completion of the incarnation that made the newest list.
    fn durable(&self) -> u64 {
        if self.incarnation == Some(self.state.incarnation) { self.state.acked } else { 0 }
    }

    /// Handles a list that was requested at `sent`.
    fn on_reply(&mut self, reply: &PollReply, sent: Millis, now: Millis) {
        let listed = reply.incarnation.unwrap_or(self.state.incarnation);
        // Incarnations follow each other. The starts that they name don't tell which is later, since
        // the worker's time of day may have been set back.
        let later = |newest| (sent, listed) > (self.listed_at, newest);
        if self.incarnation.is_some_and(|newest| listed != newest && !later(newest)) {
            self.doubted_at = now;
            return;
        }
        self.listed_at = now;
        if self.incarnation != Some(listed) {
            if listed != self.state.incarnation {
                event!(
                    "relay_worker_restarted",
                    worker = self.state.worker.id,
                    known = self.state.incarnation,
                    born = listed,
                    acked = self.state.acked
                );
            }
            self.incarnation = Some(listed);
            self.reported = 0;
            self.clock = None;
        }
        if self.clock.is_none_or(|(before, _)| reply.clock >= before) {
            self.clock = Some((reply.clock, now));
        }
        if self.doubted_at <= sent {
            self.doubted_at = 0;
        }
        self.replied_at = now;
        let newest = reply.completions.iter().map(|completion| completion.number).max();
        self.reported = self.reported.max(newest.unwrap_or(0));
    }

    /// Whether leases are renewed, as far as it depends on the worker.
    fn renews(&self, now: Millis) -> bool {
        self.state.synced
            && self.permission > self.given_up
            && self.clock.is_some()
            && now < self.replied_at + MAX_RENEW_SILENCE
    }

    fn clock_now(&self, now: Millis) -> Option<Millis> {
        self.clock.map(|(clock, at)| clock + now.saturating_sub(at))
    }
}
