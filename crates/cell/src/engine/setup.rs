use base::{Millis, Name, Now};
use plat::Start;

use crate::{JournalRecord, Peer, Record};

/// Safeguards of the protocol. All are on in production; a test disables one at a
/// time to show that its checks detect the failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Guards {
    /// A primary acts only while it holds a valid lease.
    pub lease: bool,
    /// After lease expiry only a backup with a complete copy claims the cell.
    pub copy: bool,
    /// A backup that has claimed the next epoch grants no further leases.
    pub fence: bool,
    /// A start is sent only after its intent is replicated to the backup.
    pub intent: bool,
    /// Starts carry a deadline, and a new primary waits for it to pass.
    pub deadline: bool,
    /// A backup takes over without the log only while it cannot have been
    /// replaced.
    pub solo: bool,
    /// Without the log, a takeover requires proof that the primary is dead.
    pub proof: bool,
}

impl Guards {
    /// All safeguards enabled.
    pub const ALL: Guards = Guards {
        lease: true,
        copy: true,
        fence: true,
        intent: true,
        deadline: true,
        solo: true,
        proof: true,
    };
}

/// Process identity and timing of a cell.
#[derive(Debug, Clone)]
pub struct Setup {
    /// This process.
    pub me: Peer,
    /// Lease of a primary while the log is reachable, in milliseconds.
    pub lease: Millis,
    /// Lease of a primary while the log is unreachable, in milliseconds.
    pub outage_lease: Millis,
    /// Lease of a running task, in milliseconds.
    pub task_lease: Millis,
    /// Maximum difference between clocks, in milliseconds.
    pub skew: Millis,
    /// Enabled safeguards.
    pub guards: Guards,
}

/// State of the log and of the other processes, as known at a tick.
pub struct World<'a> {
    /// Current time.
    pub now: Now,
    /// Whether the log is reachable.
    pub log: bool,
    /// Returns whether a process is proven dead.
    pub dead: &'a dyn Fn(&Peer) -> bool,
    /// Entry VMs of the failure domain that reply to heartbeats, including this
    /// one, in order of preference for the cell.
    pub live: &'a [Peer],
}

/// Role of this process in a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Neither primary nor backup.
    Idle,
    /// Holds the second copy and grants the primary's lease.
    Backup,
    /// Owns the cell and decides for it.
    Primary,
    /// Was the primary and no longer decides; the backup may take over.
    Resigned,
}

/// Action that the process carries out for a cell.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Append a claim to the log; repeated until a record of its epoch is read.
    Claim(Record),
    /// Append a record to the journal.
    Journal(JournalRecord),
    /// Read the journal up to the cell's fence of this epoch, then call
    /// [`Cell::rebuilt`](crate::Cell::rebuilt).
    Rebuild(u64),
    /// Send a start whose intent is replicated.
    Start {
        /// Backend server.
        backend: Name,
        /// Request to send.
        start: Start,
    },
    /// Send a request to checkpoint and stop an attempt.
    Stop {
        /// Task.
        task: Name,
        /// Attempt.
        attempt: u32,
        /// Backend server.
        backend: Name,
    },
}
