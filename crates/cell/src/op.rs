use base::{Millis, Name, Size};
use conf::Class;
use serde::{Deserialize, Serialize};

use crate::{Peer, Table};

/// A batch job as its caller submitted it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Identifier; a repeated submission with the same one changes nothing.
    pub id: Name,
    /// Team that it is charged to.
    pub team: Name,
    /// Kind of its tasks.
    pub kind: Name,
    /// How soon its tasks have to start.
    pub class: Class,
    /// Size of one task.
    pub size: Size,
    /// Work of one task, in milliseconds on an idle server.
    pub work: Millis,
    /// Number of tasks.
    pub tasks: u32,
    /// Attempts that may fail before a task is given up.
    pub attempts: u32,
    /// When it was submitted, in Unix milliseconds.
    pub submitted: Millis,
    /// Command, passed on to the backend server.
    pub command: Name,
}

/// Outcome of a non-idempotent request, kept under its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The whole answer.
    Answer {
        /// HTTP status.
        status: u16,
        /// Body.
        body: Vec<u8>,
    },
    /// No byte of it reached a backend server.
    NotRun,
    /// It was sent, and no whole answer came. It is not sent again.
    Unknown,
}

/// One change of a cell's table. The primary applies it, replicates it to the
/// backup, and writes the durable ones to the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// A job was submitted; it is not accepted yet.
    Submit(Job),
    /// The record of a job is on the log.
    Accept(Name),
    /// A job was cancelled.
    Cancel(Name),
    /// Intent to start an attempt, replicated before the start is sent.
    Assign {
        /// Task.
        task: Name,
        /// Attempt.
        attempt: u32,
        /// Backend server.
        backend: Name,
    },
    /// The backend server runs the attempt.
    Started {
        /// Task.
        task: Name,
        /// Attempt.
        attempt: u32,
    },
    /// Intent to checkpoint and stop an attempt.
    Evict {
        /// Task.
        task: Name,
        /// Attempt.
        attempt: u32,
    },
    /// The attempt is confirmed not to run and leaves this much work done.
    Ended {
        /// Task.
        task: Name,
        /// Attempt.
        attempt: u32,
        /// Work done, in milliseconds on an idle server.
        checkpoint: Millis,
        /// Whether it was evicted on request.
        evicted: bool,
    },
    /// The attempt ended of itself.
    Done {
        /// Task.
        task: Name,
        /// Attempt.
        attempt: u32,
        /// Whether it ended well.
        ok: bool,
    },
    /// After the loss of both copies: the attempt was found running.
    Adopt {
        /// Task.
        task: Name,
        /// Attempt.
        attempt: u32,
        /// Backend server.
        backend: Name,
    },
    /// After the loss of both copies: work kept by an attempt that was found
    /// stopped.
    Checkpoint {
        /// Task.
        task: Name,
        /// Work done, in milliseconds on an idle server.
        checkpoint: Millis,
    },
    /// A task cannot be placed on any server of the cell; an empty reason
    /// puts it back in the queue.
    Park {
        /// Task.
        task: Name,
        /// Why.
        reason: Name,
    },
    /// Slots of a backend server that a router holds from now on.
    Grant {
        /// Backend server.
        backend: Name,
        /// The router.
        router: Peer,
        /// Slots in all.
        slots: u32,
    },
    /// A non-idempotent request is about to be sent.
    Enter {
        /// Its key.
        key: Name,
        /// Hash of service and body, to tell another request with the same key.
        digest: u64,
        /// When, in Unix milliseconds.
        at: Millis,
    },
    /// What became of the request of a key.
    Settle {
        /// Its key.
        key: Name,
        /// What became of it.
        outcome: Outcome,
    },
}

impl Op {
    /// Whether the change must be on the log before it counts as kept when
    /// primary and backup are both lost.
    pub fn durable(&self) -> bool {
        match self {
            Op::Submit(_) | Op::Cancel(_) | Op::Ended { .. } | Op::Done { .. } => true,
            Op::Enter { .. } | Op::Settle { .. } | Op::Checkpoint { .. } => true,
            Op::Accept(_) | Op::Assign { .. } | Op::Started { .. } => false,
            Op::Evict { .. } | Op::Adopt { .. } | Op::Park { .. } | Op::Grant { .. } => false,
        }
    }
}

/// Changes sent by the primary of a cell to its backup, and the renewal of the
/// primary's lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Sync {
    /// The cell.
    pub cell: Name,
    /// Ownership epoch.
    pub epoch: u64,
    /// The sender.
    pub primary: Peer,
    /// The receiver that is meant; another process refuses.
    pub backup: Peer,
    /// Number of this message within the epoch.
    pub seq: u64,
    /// Lease asked for.
    pub ttl: Millis,
    /// Newest grant received, by its stamp.
    pub echo: Millis,
    /// Length of that grant.
    pub echo_ttl: Millis,
    /// The sender stops acting for good; the receiver may take over at once.
    pub resign: bool,
    /// Whole table, where the receiver has no copy, with the durable changes
    /// in it that are not on the log yet.
    pub table: Option<(Table, Vec<(u64, Op)>)>,
    /// Changes with a lower index are on the log.
    pub logged: u64,
    /// Index of the first change of `ops`.
    pub first: u64,
    /// Changes.
    pub ops: Vec<Op>,
}

/// What the backup says to a [`Sync`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// Applied, and the lease is renewed.
    Granted,
    /// The copy has a gap; the whole table is needed.
    Resync,
    /// Another record is in force, or a claim for the next epoch is under way.
    Refused,
}

/// Answer to a [`Sync`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SyncReply {
    /// The cell.
    pub cell: Name,
    /// Ownership epoch.
    pub epoch: u64,
    /// Number of the message answered.
    pub seq: u64,
    /// What became of it.
    pub verdict: Verdict,
    /// Moment of the grant on the backup's clock.
    pub stamp: Millis,
    /// Lease granted.
    pub ttl: Millis,
}
