use std::{fmt, net::SocketAddr};

use base::{Millis, Name, Size};
use job::TaskId;
use serde::{Deserialize, Serialize};

use crate::Call;

/// Description of a worker, as it stands in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerInfo {
    /// Identifier, unique among all workers.
    pub id: Name,
    /// Address on which it takes commands.
    pub addr: SocketAddr,
    /// Service (pool of workers) that it belongs to.
    pub service: Name,
    /// Failure domain.
    pub domain: Name,
    /// Total resources.
    pub size: Size,
    /// Labels: its kind, then its rack.
    pub labels: Vec<Name>,
    /// Whether it is about to shut down and takes no new tasks.
    pub draining: bool,
    /// Least time until it shuts down; set while it drains.
    pub remaining: Option<Millis>,
    /// Incarnation: the time of its start, in Unix milliseconds. A restarted worker has another
    /// one, which is lower if its time of day has been set back.
    pub incarnation: u64,
}

/// Address of the worker that a call is meant for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerAddr {
    /// Identifier; the worker refuses calls meant for another.
    pub id: Name,
    /// Address on which it takes commands.
    pub addr: SocketAddr,
}

/// Command to start a run of a task.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// Task to run.
    pub task: TaskId,
    /// Number of the run; each further run of the task has a higher one.
    pub run: u64,
    /// Text of the job specification.
    pub text: Name,
    /// Lease expiry, in milliseconds of the worker's clock.
    pub deadline: Millis,
    /// Fencing token, above all of earlier leaders.
    pub token: u64,
    /// Checkpoint to resume from; empty where there is none.
    pub checkpoint: Name,
    /// Ticket of the policy service; empty where the queue needs none.
    pub ticket: Name,
}

/// Command to stop a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Stop {
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Fencing token, above all of earlier leaders.
    pub token: u64,
}

/// Command to throttle a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Throttle {
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Share of its full speed at which the run may work, in percent; 100 ends throttling.
    pub percent: u32,
    /// Fencing token, above all of earlier leaders.
    pub token: u64,
}

/// Polls a worker: renews its leases, acknowledges completions and requests its lists of
/// runs and completions.
#[derive(Debug, Clone, PartialEq)]
pub struct Poll {
    /// Fencing token, above all of earlier leaders.
    pub token: u64,
    /// Completions up to this number are durable; the worker may forget them.
    pub acked: u64,
    /// New lease expiry, in milliseconds of the worker's clock; `None` renews nothing.
    pub deadline: Option<Millis>,
    /// Time for which the worker may hold back its reply until a run completes.
    pub wait: Millis,
}

/// Status of a run on a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunStatus {
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Newest checkpoint; empty where there is none.
    pub checkpoint: Name,
    /// Progress, in percent. A long-running task is at 100 once it is at work.
    pub percent: u32,
    /// Recent measurement: tail latency in milliseconds for a task with a latency target,
    /// CPU usage in thousandths of a core for any other; 0 where there is none.
    pub metric: u64,
}

/// Outcome of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The task is done.
    Done,
    /// The task failed.
    Failed,
    /// The run was stopped by command.
    Stopped,
    /// The lease expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The gang was not complete in time.
    Alone,
}

/// Record of a run that has ended on a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// Number of the record; it rises within one incarnation of the worker.
    pub number: u64,
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Outcome.
    pub outcome: Outcome,
    /// Newest checkpoint; empty where there is none.
    pub checkpoint: Name,
}

/// Reply of a worker to a [`Poll`].
#[derive(Debug, Clone, PartialEq)]
pub struct PollReply {
    /// Worker clock at the time of the reply, in milliseconds.
    pub clock: Millis,
    /// Incarnation of the worker (see [`WorkerInfo::incarnation`]); `None` where it reports none.
    pub incarnation: Option<u64>,
    /// Runs in progress.
    pub running: Vec<RunStatus>,
    /// Completions that are not acknowledged.
    pub completions: Vec<Completion>,
}

/// Why a worker refused a command. Nothing was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The worker has seen a higher fencing token.
    Fence,
    /// The worker has seen a run of the task with this number or a higher one.
    Old,
    /// The lease expiry has passed already.
    Late,
    /// The worker lacks the free capacity.
    Room,
    /// The ticket of the policy service is missing or has expired.
    Ticket,
    /// The worker is overloaded or unhealthy.
    Unhealthy,
    /// Another worker answers at the address.
    OtherLife,
    /// The worker could not parse the command.
    Malformed,
}

/// Why a command was not confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerError {
    /// The worker refused it; with the worker clock where the reply has one.
    Refused(Refusal, Option<Millis>),
    /// The command did not reach the worker.
    Unsent(String),
    /// The command may have been carried out or may be later.
    InDoubt(String),
}

impl fmt::Display for WorkerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WorkerError::Refused(reason, _) => write!(f, "refused: {reason:?}"),
            WorkerError::Unsent(reason) => write!(f, "not sent: {reason}"),
            WorkerError::InDoubt(reason) => write!(f, "in doubt: {reason}"),
        }
    }
}

/// Commands to workers. A confirmed command returns the worker clock in milliseconds.
#[derive(Clone)]
pub struct Workers {
    /// Starts a run; confirms a run that was started before.
    pub start: Call<(WorkerAddr, Start), Result<Millis, WorkerError>>,
    /// Stops a run; confirms also where there is no such run.
    pub stop: Call<(WorkerAddr, Stop), Result<Millis, WorkerError>>,
    /// Throttles a run.
    pub throttle: Call<(WorkerAddr, Throttle), Result<Millis, WorkerError>>,
    /// Renews leases and returns the worker's runs and completions.
    pub poll: Call<(WorkerAddr, Poll), Result<PollReply, WorkerError>>,
}

impl fmt::Debug for Workers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Workers")
    }
}
