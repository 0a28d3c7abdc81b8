use std::net::SocketAddr;

use base::{Millis, Name, Size};
use plat::LoadReport;

/// Time before a VM goes back from which on it gets no new work.
pub const RETURN_LEAD: Millis = 30_000;

/// What is known of a backend server from the VM list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// It takes work.
    Live,
    /// It gets no new work.
    Leaving,
    /// It is gone, and nothing runs on it.
    Gone,
}

/// A backend server as the primary of its cell sees it.
#[derive(Debug, Clone)]
pub struct Server {
    /// VM identifier.
    pub id: Name,
    /// Address of its HTTP server.
    pub http: SocketAddr,
    /// What it has.
    pub size: Size,
    /// Whether it takes work.
    pub state: ServerState,
    /// When it goes back, in Unix milliseconds, where known.
    pub until: Option<Millis>,
    /// When the newest listing taken in was asked for, on the monotonic clock;
    /// `None` before the first of this ownership epoch.
    pub listed: Option<Millis>,
    /// When it last answered, on the monotonic clock.
    pub heard: Millis,
    /// Resources of attempts that run there without being in the table.
    pub foreign: Size,
    /// Whether it says of itself that it is leaving.
    pub says_leaving: bool,
    /// Newest lagging usage.
    pub usage: LoadReport,
    /// Starts in a row that failed soon.
    pub failures: u32,
    /// Until when it gets no new tasks, on the monotonic clock.
    pub shunned: Millis,
}

impl Server {
    /// A server of which nothing has been heard yet.
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

    /// Forgets what listings have said, as at the start of an ownership.
    pub fn forget(&mut self) {
        self.listed = None;
        self.foreign = Size::ZERO;
    }

    /// Whether it is on its way out at `now`, in Unix milliseconds: by the VM
    /// list, by its own word, or because it goes back soon.
    pub fn leaving(&self, now: Millis) -> bool {
        let soon = self.until.is_some_and(|until| now + RETURN_LEAD >= until);
        self.state == ServerState::Leaving || self.says_leaving || soon
    }

    /// Whether requests may be sent there at `now`, in Unix milliseconds.
    pub fn serves(&self, now: Millis) -> bool {
        self.state == ServerState::Live && !self.leaving(now)
    }

    /// Whether tasks may be started there at `now`, in Unix milliseconds.
    pub fn usable(&self, now: Millis) -> bool {
        self.serves(now) && self.listed.is_some()
    }
}
