use base::{Millis, Name, Now};
use plat::Start;

use crate::{JournalRecord, Peer, Record};

/// Safeguards of the protocol. All are on in production; a test takes one out
/// to show that its checks notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Guards {
    /// A primary acts only while it holds its lease.
    pub lease: bool,
    /// Only a backup with a whole copy claims when the lease has expired.
    pub copy: bool,
    /// A backup that has claimed grants no more.
    pub fence: bool,
    /// A start is sent only after its intent is in the backup's memory.
    pub intent: bool,
    /// Starts carry a deadline, and a new primary waits for it to pass.
    pub deadline: bool,
    /// A backup takes over without the log only while it cannot have been
    /// replaced.
    pub solo: bool,
    /// Without the log and without proof of death nobody takes over.
    pub proof: bool,
}

impl Guards {
    /// Every safeguard.
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

/// What a cell needs to know of its process.
#[derive(Debug, Clone)]
pub struct Setup {
    /// This process.
    pub me: Peer,
    /// Lease of a primary while the log can be reached.
    pub lease: Millis,
    /// Lease of a primary while it cannot.
    pub outage_lease: Millis,
    /// Lease of a running task.
    pub task_lease: Millis,
    /// Bound on the difference of clocks.
    pub skew: Millis,
    /// Safeguards in use.
    pub guards: Guards,
}

/// What the process knows of the others at a tick.
pub struct World<'a> {
    /// The time.
    pub now: Now,
    /// Whether the log has answered lately.
    pub log: bool,
    /// Whether a process is proven dead.
    pub dead: &'a dyn Fn(&Peer) -> bool,
    /// Entry VMs of the failure domain that answer heartbeats, this one too,
    /// the first choice for the cell first.
    pub live: &'a [Peer],
}

/// Part that this process takes in a cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// None.
    Idle,
    /// It holds the second copy.
    Backup,
    /// It decides.
    Primary,
    /// It was the primary and has stopped for good.
    Resigned,
}

/// What the process has to do for a cell.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Append a claim to the log until a record of its epoch is read.
    Claim(Record),
    /// Append to the journal.
    Journal(JournalRecord),
    /// Read the journal up to this cell's fence of the epoch, then call
    /// [`Cell::rebuilt`].
    Rebuild(u64),
    /// Send a start whose intent is replicated.
    Start {
        /// Backend server.
        backend: Name,
        /// The start.
        start: Start,
    },
    /// Send a checkpoint and stop.
    Stop {
        /// Task.
        task: Name,
        /// Attempt.
        attempt: u32,
        /// Backend server.
        backend: Name,
    },
}
