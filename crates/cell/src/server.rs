use std::net::SocketAddr;

use base::{Millis, Name, Size};
use plat::LoadReport;

/// Time before the scheduled return of a VM, in milliseconds, from which it
/// receives no new work.
pub const RETURN_LEAD: Millis = 30_000;

/// State of a backend server according to the VM list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// Listed as live; accepts work.
    Live,
    /// Listed as leaving; receives no new work.
    Leaving,
    /// The VM is gone, and nothing runs on it.
    Gone,
}

/// The primary's view of a backend server of its cell.
#[derive(Debug, Clone)]
pub struct Server {
    /// VM identifier.
    pub id: Name,
    /// Address of its HTTP server.
    pub http: SocketAddr,
    /// Total resources of the server.
    pub size: Size,
    /// State in the VM list.
    pub state: ServerState,
    /// Scheduled return of the VM, in Unix milliseconds; `None` if unknown.
    pub until: Option<Millis>,
    /// Time at which the newest processed listing was requested, on the
    /// monotonic clock; `None` before the first listing of this ownership
    /// epoch.
    pub listed: Option<Millis>,
    /// Time of the last reply, on the monotonic clock.
    pub heard: Millis,
    /// Resources of attempts that run on the server but are not placed there by
    /// the table.
    pub foreign: Size,
    /// Whether the server itself reports that it is leaving.
    pub says_leaving: bool,
    /// Newest usage report; it lags behind the actual usage.
    pub usage: LoadReport,
    /// Number of consecutive starts that failed early.
    pub failures: u32,
    /// Time until which the server is quarantined and receives no new tasks, on
    /// the monotonic clock.
    pub shunned: Millis,
}

impl Server {
    /// Creates a server that has not yet replied.
    pub fn open(id: Name, http: SocketAddr, size: Size) -> Server {
        Server {
            id,
            http,
            size,
            state: ServerState::Live,
            until: None,
            listed: None,
            heard: 0,
            foreign: Size::ZERO,
            says_leaving: false,
            usage: LoadReport::default(),
            failures: 0,
            shunned: 0,
        }
    }

    /// Discards the data of earlier listings, as at the start of an ownership.
    pub fn forget(&mut self) {
        self.listed = None;
        self.foreign = Size::ZERO;
    }

    /// Returns whether the server is leaving at `now`, in Unix milliseconds:
    /// according to the VM list, by its own report, or because it returns
    /// within [`RETURN_LEAD`].
    pub fn leaving(&self, now: Millis) -> bool {
        let soon = self.until.is_some_and(|until| now + RETURN_LEAD >= until);
        self.state == ServerState::Leaving || self.says_leaving || soon
    }

    /// Returns whether requests may be sent to the server at `now`, in Unix
    /// milliseconds.
    pub fn serves(&self, now: Millis) -> bool {
        self.state == ServerState::Live && !self.leaving(now)
    }

    /// Returns whether tasks may be started on the server at `now`, in Unix
    /// milliseconds.
    pub fn usable(&self, now: Millis) -> bool {
        self.serves(now) && self.listed.is_some()
    }
}
