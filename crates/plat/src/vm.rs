use std::net::SocketAddr;

use base::{Millis, Name, Size};
use serde::{Deserialize, Serialize};

/// Role that a VM is rented for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// An entry VM, which runs this system.
    Entry,
    /// A backend server, which runs services and tasks.
    Backend,
}

/// Whether a VM may get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In use; it may get new work.
    Live,
    /// About to be removed; it must get no new work.
    Leaving,
}

/// One VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Identifier of the rental, never used for another VM.
    pub id: Name,
    /// Role of the VM.
    pub kind: Kind,
    /// Failure domain that it belongs to.
    pub domain: Name,
    /// Region that it is in.
    pub region: Name,
    /// Rack that it is in.
    pub rack: Name,
    /// Address of its HTTP server.
    pub http: SocketAddr,
    /// Address of its RPC server; entry VMs only.
    #[serde(default)]
    pub rpc: Option<SocketAddr>,
    /// Resources that it has for tasks; zero for entry VMs.
    #[serde(default)]
    pub size: Size,
    /// Whether it may get new work.
    pub state: VmState,
    /// End of its rental in Unix milliseconds, if known.
    #[serde(default)]
    pub until: Option<Millis>,
}

/// The VM list as of `asof`, which may lag behind the present.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VmList {
    /// Time that the list describes, in Unix milliseconds.
    pub asof: Millis,
    /// Version of the list at that time; it increases with each change.
    pub version: u64,
    /// The VMs that existed at that time.
    pub vms: Vec<Vm>,
}

/// Response to `GET /v1/vms?version=N`. The VMs are left out if the version is still
/// `N`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VmUpdate {
    /// Time that the response describes, in Unix milliseconds.
    pub asof: Millis,
    /// Version of the list at that time.
    pub version: u64,
    /// The VMs, or `None` if the version is the requested one.
    #[serde(default)]
    pub vms: Option<Vec<Vm>>,
}
