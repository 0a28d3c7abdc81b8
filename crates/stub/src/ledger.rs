use base::{Millis, Name, Size};
use serde::{Deserialize, Serialize};

/// Kind of an event on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// An attempt was started.
    Start,
    /// An attempt finished successfully.
    Finish,
    /// An attempt failed.
    Fail,
    /// An attempt was stopped on request.
    Stop,
    /// An attempt was killed because its lease expired.
    Lapse,
    /// A request was executed.
    Request,
    /// The declared sizes of the running attempts exceeded the size of the server.
    Overcommit,
    /// A request was received while all slots were in use; it was not executed.
    Overslot,
}

/// One event recorded by a backend server.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// Time of the event, in Unix milliseconds.
    pub at: Millis,
    /// Kind of the event.
    pub what: What,
    /// Identifier of the task or request.
    pub id: Name,
    /// Attempt number; 0 for requests.
    pub attempt: u32,
    /// Work in milliseconds on an idle server: at a start what earlier attempts have
    /// done, at a stop what the checkpoint keeps, at another end what is done.
    pub work: Millis,
    /// Idempotency key of a request, if it has one.
    pub key: Option<Name>,
    /// Resources committed after the event.
    pub committed: Size,
}

/// Events of a backend server, recorded independently of the entry VMs so that
/// tests can check invariants.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Ledger {
    /// Entries, oldest first.
    pub entries: Vec<LedgerEntry>,
}
