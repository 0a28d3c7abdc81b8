//! Messages between entry VMs. The replication messages are in the `cell` crate.
//! The order of fields and variants is the wire format.

use std::collections::BTreeMap;

use base::{Millis, Name, Size};
use cell::{CreditAnswer, Job, Outcome, Peer};
use serde::{Deserialize, Serialize};

/// Heartbeat. It names the VM that it is meant for, because an address may since
/// have passed to another VM.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Beat {
    /// The process that sends it.
    pub from: Peer,
    /// The VM that it is meant for.
    pub to: Name,
    /// Version of the configuration that the sender applies.
    pub version: u64,
    /// Resources that tasks in the sender's cells hold, by team. `None` if this
    /// heartbeat does not report them.
    pub teams: Option<BTreeMap<Name, Size>>,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// VMs that have disappeared from the sender's VM list.
    pub gone: Vec<Name>,
}

/// Reply to a heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BeatReply {
    /// The process that replies.
    pub from: Peer,
    /// Version of the configuration that the replying process applies.
    pub version: u64,
    /// Whether the replying process is shutting down.
    pub leaving: bool,
    /// VMs that have disappeared from its VM list.
    pub gone: Vec<Name>,
}

/// Reply to a request for slots.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum CreditReply {
    /// The slots that the router holds from now on.
    Granted(CreditAnswer),
    /// The receiver is not the primary of the cell.
    NotPrimary,
}

/// A non-idempotent request, sent to the primary of the cell of its key.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Enter {
    /// The cell that is responsible for the key.
    pub cell: Name,
    /// The idempotency key of the request.
    pub key: Name,
    /// Name of the service.
    pub service: Name,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Time until the deadline of the request, in milliseconds.
    pub left: Millis,
}

/// Reply to [`Enter`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum EnterReply {
    /// The outcome recorded for the key, which is that of the first request.
    Outcome(Outcome),
    /// The key has been used for a different request.
    Conflict,
    /// The outcome is not known yet; sending the message again gets it once it is.
    Pending,
    /// The receiver is not the primary of the cell; nothing was done.
    NotPrimary,
}

/// A job or its cancellation, sent to the primary of the cell.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Submit {
    /// The cell.
    pub cell: Name,
    /// The job, or `None` to cancel the job named by `id`.
    pub job: Option<Job>,
    /// Identifier of the job.
    pub id: Name,
}

/// Reply to [`Submit`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitReply {
    /// The job is recorded in the log.
    Accepted,
    /// The job is held in memory and not yet recorded in the log.
    Pending,
    /// The job to cancel is not known; nothing was done.
    Unknown,
    /// The job was refused for this reason; nothing was done.
    Refused(String),
    /// The receiver is not the primary of the cell; nothing was done.
    NotPrimary,
}

/// Request for the state of a job or task.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Lookup {
    /// The cell.
    pub cell: Name,
    /// Identifier of the job or task.
    pub id: Name,
}

/// Reply to [`Lookup`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum LookupReply {
    /// The state, as JSON text.
    Found(String),
    /// The job or task is not known.
    Unknown,
    /// The receiver is not the primary of the cell.
    NotPrimary,
}
