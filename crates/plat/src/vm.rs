use std::net::SocketAddr;

use base::{Millis, Name, Size};
use serde::{Deserialize, Serialize};

/// What a VM is rented for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// An entry VM, which runs this system.
    Entry,
    /// A backend server, which runs services and tasks.
    Backend,
}

/// Whether a VM stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In use.
    Live,
    /// About to be taken away; it must get no new work.
    Leaving,
}

/// One VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Identifier of the rental, never used for another VM.
    pub id: Name,
    /// What it is rented for.
    pub kind: Kind,
    /// Its failure domain.
    pub domain: Name,
    /// Its region.
    pub region: Name,
    /// Its rack.
    pub rack: Name,
    /// Address of its HTTP server.
    pub http: SocketAddr,
    /// Address of its RPC server; entry VMs only.
    #[serde(default)]
    pub rpc: Option<SocketAddr>,
    /// What it has; zero for entry VMs.
    #[serde(default)]
    pub size: Size,
    /// Whether it stays.
    pub state: VmState,
    /// When it goes back, in milliseconds since the Unix epoch, where known.
    #[serde(default)]
    pub until: Option<Millis>,
}

/// The VM list as it was at a moment that may lie some time back.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VmList {
    /// The moment that the list describes, in milliseconds since the Unix
    /// epoch.
    pub asof: Millis,
    /// Version of the list at that moment: it grows with each change.
    pub version: u64,
    /// The VMs that exist at that moment.
    pub vms: Vec<Vm>,
}

/// Answer to `GET /v1/vms?version=N`: the VMs are left out where the version is
/// still `N`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VmUpdate {
    /// The moment described.
    pub asof: Millis,
    /// Version of the list at that moment.
    pub version: u64,
    /// The VMs, where the version differs from the one asked with.
    #[serde(default)]
    pub vms: Option<Vec<Vm>>,
}
