//! Messages between entry VMs. Those of replication are in the `cell` crate.

use std::collections::BTreeMap;

use base::{Millis, Name, Size};
use cell::{CreditAnswer, Job, Outcome, Peer};
use serde::{Deserialize, Serialize};

/// Heartbeat. It names the process that is meant, so that a VM which has taken
/// over an address is not mistaken for the one before it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Beat {
    /// The sender.
    pub from: Peer,
    /// VM that is meant.
    pub to: Name,
    /// Version of the configuration in force at the sender.
    pub version: u64,
    /// What the sender's cells hold, by team, where this heartbeat tells.
    pub teams: Option<BTreeMap<Name, Size>>,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// VMs that the sender has seen vanish from the VM list.
    pub gone: Vec<Name>,
}

/// Answer to a heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BeatReply {
    /// The process that answers.
    pub from: Peer,
    /// Version of the configuration in force there.
    pub version: u64,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// VMs that it has seen vanish from the VM list.
    pub gone: Vec<Name>,
}

/// Answer to a request for slots.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum CreditReply {
    /// What the router holds from now on.
    Granted(CreditAnswer),
    /// The receiver does not decide for the cell.
    NotPrimary,
}

/// A non-idempotent request, sent to the primary of its key's shard.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Enter {
    /// The shard.
    pub cell: Name,
    /// The key.
    pub key: Name,
    /// Service.
    pub service: Name,
    /// Body.
    pub body: Vec<u8>,
    /// Time left for it, in milliseconds.
    pub left: Millis,
}

/// Answer to [`Enter`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum EnterReply {
    /// The outcome recorded under the key, the first one's.
    Outcome(Outcome),
    /// The key is in use for another request.
    Conflict,
    /// Its outcome is not known yet; asking again gives it.
    Pending,
    /// The receiver does not decide for the shard; nothing was done.
    NotPrimary,
}

/// A job, sent to the primary of its cell.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Submit {
    /// The cell.
    pub cell: Name,
    /// The job, or `None` to cancel the one of `id`.
    pub job: Option<Job>,
    /// Identifier of the job.
    pub id: Name,
}

/// Answer to [`Submit`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitReply {
    /// Its record is on the log.
    Accepted,
    /// It is held in memory and waits for the log.
    Pending,
    /// It is not known; nothing was done.
    Unknown,
    /// It was refused for the reason given; nothing was done.
    Refused(String),
    /// The receiver does not decide for the cell; nothing was done.
    NotPrimary,
}

/// Asks for the state of a job or task.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Lookup {
    /// The cell.
    pub cell: Name,
    /// Identifier of the job or task.
    pub id: Name,
}

/// Answer to [`Lookup`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum LookupReply {
    /// A JSON text that describes it.
    Found(String),
    /// It is not known.
    Unknown,
    /// The receiver does not decide for the cell.
    NotPrimary,
}
