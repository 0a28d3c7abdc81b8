use base::{Millis, Name};
use job::{Spec, State};
use serde::{Deserialize, Serialize};

/// Operation that a caller requests.
#[derive(Debug, Clone, PartialEq)]
pub enum Verb {
    /// Submit a job. The error is the reason why the body cannot be parsed.
    Submit(Result<Spec, String>),
    /// Return the state of a job, or the number of queued jobs of a queue.
    Show,
    /// Cancel a job.
    Cancel,
    /// An unsupported method; answered with [`Reply::Bad`].
    Unknown,
}

/// A caller's request.
#[derive(Debug, Clone, PartialEq)]
pub struct Incoming {
    /// Requested operation.
    pub verb: Verb,
    /// Host header; empty where there is none.
    pub host: Name,
    /// Path of the request, which selects the queue and the job.
    pub path: Name,
    /// Time for which the caller waits for the reply; `None` where it sets none.
    pub wait: Option<Millis>,
}

/// Reply to a caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The job is durable, by this request or an earlier one.
    Accepted,
    /// The job is cancelled.
    Cancelled,
    /// State of a job.
    State(State),
    /// Number of jobs of a queue of which no task has started.
    Pending(u64),
    /// No such queue.
    NoQueue,
    /// No such job.
    NoJob,
    /// Nothing was done and nothing will be; the caller may retry after the given number
    /// of seconds.
    NotDone(u32),
    /// It is unknown whether the request took effect; the caller may retry with the same
    /// job id.
    InDoubt,
    /// The request is invalid, for the given reason.
    Bad(String),
}
