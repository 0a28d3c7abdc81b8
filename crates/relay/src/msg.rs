use base::{Millis, Name};
use job::TaskId;
use port::{Completion, RunStatus, Start, Stop, Throttle, WorkerAddr, WorkerError};
use serde::{Deserialize, Serialize};

/// A command to a worker that a relay carries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum WorkerCommand {
    /// Start a run.
    Start(Start),
    /// Stop a run.
    Stop(Stop),
    /// Set the speed limit of a run.
    Throttle(Throttle),
}

impl WorkerCommand {
    /// Returns the fencing token.
    pub(crate) fn token(&self) -> u64 {
        match self {
            WorkerCommand::Start(start) => start.token,
            WorkerCommand::Stop(stop) => stop.token,
            WorkerCommand::Throttle(throttle) => throttle.token,
        }
    }
}

/// A worker as the leader knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayedWorker {
    /// Identifier and address.
    pub worker: WorkerAddr,
    /// Fencing token of polls.
    pub token: u64,
    /// Incarnation that `acked` refers to.
    pub incarnation: u64,
    /// Completions up to this number are durable; the worker may forget them.
    pub acked: u64,
    /// Time for which the worker may hold back its reply to a poll, in milliseconds.
    pub wait: Millis,
    /// Whether the leader knows what runs on it, so that its leases may be renewed.
    pub synced: bool,
}

/// What the leader tells a relay. Sent one after the other; no orders are sent twice.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    /// Name of the leader's VM.
    pub leader: Name,
    /// Epoch of the leader.
    pub epoch: u64,
    /// Session of the leader with this relay; rises with each new one.
    pub session: u64,
    /// Number of the orders within the session, from 1.
    pub number: u64,
    /// The leader's clock when the session was opened.
    pub opened_at: Millis,
    /// Duration of the leases to grant, in milliseconds.
    pub lease: Millis,
    /// Newest report that the leader has processed. The orders are younger than it.
    pub report: u64,
    /// Workers that are assigned from now on, or have changed, each with the number of the
    /// permission to renew its leases. A relay that has given up a permission needs a newer one.
    pub workers: Vec<(RelayedWorker, u64)>,
    /// Workers that are no longer assigned.
    pub released: Vec<Name>,
    /// Workers to poll at once.
    pub polls: Vec<Name>,
    /// Commands with their numbers.
    pub commands: Vec<(u64, WorkerAddr, WorkerCommand)>,
}

/// What a relay tells the leader. It has no times of receipt: the leader counts replies and lists
/// from the receipt of the report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Epoch of the leader that it is meant for.
    pub epoch: u64,
    /// The session.
    pub session: u64,
    /// Number of the report within the session, from 1. A report without a reply is sent again
    /// under its number.
    pub number: u64,
    /// Replies to commands, with their numbers.
    pub replies: Vec<(u64, Result<Millis, WorkerError>)>,
    /// Results of polls, in the order of their receipt.
    pub polls: Vec<PollResult>,
}

/// Result of one poll of a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PollResult {
    /// The worker.
    pub worker: Name,
    /// Fencing token of the poll.
    pub token: u64,
    /// When the poll was sent, on the leader's clock or somewhat earlier: by the time that the
    /// leader's newest reply to a report, or the session's first orders, took to arrive.
    pub sent_at: Millis,
    /// Lease expiry that the poll set, on the worker's clock.
    pub deadline: Option<Millis>,
    /// Newest permission to renew the worker's leases that the relay has given up, since the
    /// worker is silent; 0 for none.
    pub given_up: u64,
    /// The worker's lists.
    pub result: Result<ListChange, WorkerError>,
}

/// A worker's list of runs, as the difference to the list reported before, and its
/// completions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListChange {
    /// Worker clock at the time of the reply, in milliseconds.
    pub clock: Millis,
    /// Incarnation of the worker; `None` where it reports none.
    pub incarnation: Option<u64>,
    /// Whether `changed` is the whole list.
    pub whole: bool,
    /// Runs that are new or have changed.
    pub changed: Vec<RunStatus>,
    /// Runs that are no longer listed.
    pub gone: Vec<(TaskId, u64)>,
    /// Completions that are not acknowledged.
    pub completions: Vec<Completion>,
}

/// Reply of the leader to a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReportReply {
    /// The relay may renew leases.
    Granted {
        /// For how long from the moment at which it sent the report, in milliseconds.
        valid_for: Millis,
        /// The leader's clock.
        at: Millis,
    },
    /// The session is over.
    Closed,
}
