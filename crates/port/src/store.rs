use std::fmt;

use base::{Millis, Name};
use snafu::Snafu;

use crate::Call;

/// Length of what precedes the key of a record in an append: the lengths of record and key.
const RECORD_HEADER_BYTES: usize = 5;

/// A log of the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Topic {
    /// Written by the operator: the manifest and maintenance waves.
    Operator,
    /// Written by the workers: one record for each.
    Workers,
    /// Written by the leader: ownership, jobs and their progress.
    Cell,
    /// Written by the entry VMs: one record for each, under its name.
    Vms,
}

/// A record that was read: a key and its value.
#[derive(Debug, Clone, PartialEq)]
pub struct Item {
    /// Key.
    pub key: Name,
    /// Value; empty where the key was deleted.
    pub value: Vec<u8>,
}

/// Newest record of each key of a log.
#[derive(Debug, Clone, PartialEq)]
pub struct Table {
    /// Records, one for each key.
    pub items: Vec<Item>,
    /// Offset to read on from: every change before it is contained, later ones may be.
    pub end: u64,
}

/// Records that were read from an offset on.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// Records in the order of the log.
    pub items: Vec<Item>,
    /// Offset of the next read.
    pub next: u64,
    /// Offset at which the log ended. The records up to it are not all contained if it is above
    /// `next`.
    pub end: u64,
}

/// A record to append: a key and its new value.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Key.
    pub key: Name,
    /// Value; an empty one deletes the key.
    pub value: Vec<u8>,
}

impl Record {
    /// Returns the size of the record in an append, in bytes.
    pub fn encoded_len(&self) -> usize {
        RECORD_HEADER_BYTES + self.key.len() + self.value.len()
    }
}

/// Request to append records, all or none.
#[derive(Debug, Clone, PartialEq)]
pub struct Append {
    /// Log to append to.
    pub topic: Topic,
    /// Records, in order.
    pub records: Vec<Record>,
    /// Epoch and sequence number of the append, by which the store rejects appends of a
    /// deposed leader and those that arrive twice or out of order. `None` for no check.
    pub writer: Option<(u64, u64)>,
    /// Offset at which the log must end for the append to succeed; `None` for any.
    pub expected_end: Option<u64>,
}

/// Why a read failed.
#[derive(Debug, Clone, PartialEq, Snafu)]
pub enum StoreError {
    /// The records at the offset are no longer retained; the newest records have to be
    /// read instead.
    #[snafu(display("the offset has expired"))]
    Expired,
    /// The store refused the call, did not reply or sent a malformed reply.
    #[snafu(display("the store is unavailable: {reason}"))]
    Unavailable {
        /// Description of the failure, for logs.
        reason: String,
    },
}

/// Why an append was not confirmed.
#[derive(Debug, Clone, PartialEq)]
pub enum AppendError {
    /// A writer with a higher epoch has taken over. Nothing was written.
    Fenced,
    /// The store expects the given sequence number. Nothing was written.
    Sequence(u64),
    /// The log does not end at the required offset. Nothing was written.
    OffsetMismatch,
    /// Nothing was written, for the given reason.
    Refused(String),
    /// Nothing was written, and these records never will be, for the given reason.
    Rejected(String),
    /// The records may have been written or may be later, for the given reason.
    InDoubt(String),
}

impl fmt::Display for AppendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AppendError::Fenced => f.write_str("fenced"),
            AppendError::Sequence(n) => write!(f, "sequence {n} expected"),
            AppendError::OffsetMismatch => {
                f.write_str("the log does not end at the required offset")
            }
            AppendError::Refused(reason) => write!(f, "refused: {reason}"),
            AppendError::Rejected(reason) => write!(f, "rejected: {reason}"),
            AppendError::InDoubt(reason) => write!(f, "in doubt: {reason}"),
        }
    }
}

/// Calls to the platform's store.
#[derive(Clone)]
pub struct Store {
    /// Reads the newest record of each key of a log.
    pub newest: Call<Topic, Result<Table, StoreError>>,
    /// Reads a log from an offset on; where it has no record there, waits for one up to the
    /// given time.
    pub read: Call<(Topic, u64, Millis), Result<Batch, StoreError>>,
    /// Appends records to a log; returns the offset at which it ends then.
    pub append: Call<Append, Result<u64, AppendError>>,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Store")
    }
}
