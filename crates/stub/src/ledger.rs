use base::{Millis, Name, Size};
use serde::{Deserialize, Serialize};

/// What happened on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// An attempt began to run.
    Start,
    /// An attempt finished.
    Finish,
    /// An attempt failed.
    Fail,
    /// An attempt was stopped on request.
    Stop,
    /// An attempt was killed because its lease lapsed.
    Lapse,
    /// A request was executed.
    Request,
    /// The declared sizes of what runs exceeded the server.
    Overcommit,
    /// More requests ran at once than there are slots.
    Overslot,
}

/// One line of the independent record that a backend server keeps.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// When, in Unix milliseconds.
    pub at: Millis,
    /// What happened.
    pub what: What,
    /// The task, or the identifier of the request.
    pub id: Name,
    /// The attempt; 0 for requests.
    pub attempt: u32,
    /// Work kept from earlier attempts at a start, work done at an end.
    pub work: Millis,
    /// The idempotency key of a request, where it has one.
    pub key: Option<Name>,
    /// Resources committed after the event.
    pub committed: Size,
}

/// The record that tests judge invariants by.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Ledger {
    /// Entries, oldest first.
    pub entries: Vec<LedgerEntry>,
}
