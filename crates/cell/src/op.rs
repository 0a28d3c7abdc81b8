use base::{Millis, Name, Size};
use conf::Class;
use serde::{Deserialize, Serialize};

use crate::{Peer, Table};

/// A batch job as its caller submitted it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Identifier; a second submission with the same identifier has no effect.
    pub id: Name,
    /// Team whose quota the job counts against.
    pub team: Name,
    /// Kind of its tasks.
    pub kind: Name,
    /// Class, which sets how soon its tasks have to start.
    pub class: Class,
    /// Size of one task.
    pub size: Size,
    /// Run time of one task, in milliseconds on an idle server.
    pub work: Millis,
    /// Number of tasks.
    pub tasks: u32,
    /// Number of failed attempts after which a task has failed.
    pub attempts: u32,
    /// Time of submission, in Unix milliseconds.
    pub submitted: Millis,
    /// Command that the backend server runs.
    pub command: Name,
}

/// Outcome of a non-idempotent request, stored under its idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// A complete response was received.
    Answer {
        /// HTTP status code.
        status: u16,
        /// Response body.
        body: Vec<u8>,
    },
    /// No byte of the request reached a backend server.
    NotRun,
    /// The request was sent, but no complete response was received. It is not
    /// retried.
    Unknown,
}

/// A change to a cell's table. The primary applies it, replicates it to the
/// backup and, if it is durable, writes it to the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// A job was submitted; it is not yet accepted.
    Submit(Job),
    /// The submission of the job is on the log.
    Accept(Name),
    /// A job was cancelled.
    Cancel(Name),
    /// Intent to start an attempt; replicated before the start is sent.
    Assign {
        /// Task.
        task: Name,
        /// Attempt.
        attempt: u32,
        /// Backend server.
        backend: Name,
    },
    /// The backend server has started the attempt.
    Started {
        /// Task.
        task: Name,
        /// Attempt.
        attempt: u32,
    },
    /// Intent to checkpoint and stop an attempt; replicated before the stop is
    /// sent.
    Evict {
        /// Task.
        task: Name,
        /// Attempt.
        attempt: u32,
    },
    /// The attempt is confirmed not to run; the task goes on from its
    /// checkpoint.
    Ended {
        /// Task.
        task: Name,
        /// Attempt.
        attempt: u32,
        /// Completed work, in milliseconds on an idle server.
        checkpoint: Millis,
        /// Whether the primary had requested the eviction.
        evicted: bool,
    },
    /// The attempt ran to its end.
    Done {
        /// Task.
        task: Name,
        /// Attempt.
        attempt: u32,
        /// Whether it succeeded.
        ok: bool,
    },
    /// After the loss of both copies, the attempt was found running.
    Adopt {
        /// Task.
        task: Name,
        /// Attempt.
        attempt: u32,
        /// Backend server.
        backend: Name,
    },
    /// After the loss of both copies, the attempt was found stopped with this
    /// checkpoint.
    Checkpoint {
        /// Task.
        task: Name,
        /// Completed work, in milliseconds on an idle server.
        checkpoint: Millis,
    },
    /// The task fits on no server of the cell; an empty reason returns it to the
    /// queue.
    Park {
        /// Task.
        task: Name,
        /// Reason shown to the caller.
        reason: Name,
    },
    /// Sets the slots of a backend server that a router holds.
    Grant {
        /// Backend server.
        backend: Name,
        /// Router that holds the slots.
        router: Peer,
        /// Total number of slots, replacing the previous one.
        slots: u32,
    },
    /// A non-idempotent request is about to be sent.
    Enter {
        /// Idempotency key.
        key: Name,
        /// Hash of service and body; detects a different request with the same
        /// key.
        digest: u64,
        /// Time of entry, in Unix milliseconds.
        at: Millis,
    },
    /// Outcome of the request with this key.
    Settle {
        /// Idempotency key.
        key: Name,
        /// Outcome of the request.
        outcome: Outcome,
    },
}

impl Op {
    /// Returns whether the change is written to the log, so that it survives the
    /// loss of both primary and backup.
    pub fn durable(&self) -> bool {
        match self {
            Op::Submit(_) | Op::Cancel(_) | Op::Ended { .. } | Op::Done { .. } => true,
            Op::Enter { .. } | Op::Settle { .. } | Op::Checkpoint { .. } => true,
            Op::Accept(_) | Op::Assign { .. } | Op::Started { .. } => false,
            Op::Evict { .. } | Op::Adopt { .. } | Op::Park { .. } | Op::Grant { .. } => false,
        }
    }
}

/// Message from the primary of a cell to its backup: replicates changes and
/// requests a renewal of the primary's lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Sync {
    /// Cell identifier.
    pub cell: Name,
    /// Ownership epoch.
    pub epoch: u64,
    /// The sender.
    pub primary: Peer,
    /// The intended receiver; any other process refuses the message.
    pub backup: Peer,
    /// Sequence number of the message within the epoch.
    pub seq: u64,
    /// Requested lease duration, in milliseconds.
    pub ttl: Millis,
    /// Stamp of the newest grant received, on the backup's clock.
    pub echo: Millis,
    /// Lease duration of that grant, in milliseconds.
    pub echo_ttl: Millis,
    /// Whether the sender has resigned, so that the receiver may take over at
    /// once.
    pub resign: bool,
    /// Full table, if the receiver has no copy, with its durable changes that
    /// are not yet on the log.
    pub table: Option<(Table, Vec<(u64, Op)>)>,
    /// Changes with a lower index are on the log.
    pub logged: u64,
    /// Index of the first change of `ops`.
    pub first: u64,
    /// Changes in the order in which the primary applied them.
    pub ops: Vec<Op>,
}

/// Decision of the backup on a [`Sync`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The changes were applied and the lease was renewed.
    Granted,
    /// Changes are missing at the backup; it needs the full table.
    Resync,
    /// Another ownership record is in force, the message is out of order, or the
    /// backup has claimed the next epoch.
    Refused,
}

/// Reply to a [`Sync`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SyncReply {
    /// Cell identifier.
    pub cell: Name,
    /// Ownership epoch.
    pub epoch: u64,
    /// Sequence number of the [`Sync`].
    pub seq: u64,
    /// Decision of the backup.
    pub verdict: Verdict,
    /// Time of the grant on the backup's clock, in milliseconds.
    pub stamp: Millis,
    /// Granted lease duration, in milliseconds.
    pub ttl: Millis,
}
