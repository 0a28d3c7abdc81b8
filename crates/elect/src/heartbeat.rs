use std::net::SocketAddr;

use base::{Millis, Name};
use serde::{Deserialize, Serialize};

/// Identity and address of the process on an entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM.
    pub name: Name,
    /// Failure domain of the VM.
    pub domain: Name,
    /// Address for requests and heartbeats of other entry VMs.
    pub addr: SocketAddr,
    /// Incarnation of the process: its start in Unix milliseconds.
    #[serde(rename = "born")]
    pub incarnation: Millis,
    /// Configured CPU capacity, in thousandths of a core.
    pub cpu_capacity: u32,
}

/// Purpose of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// Reports the sender's state.
    #[serde(rename = "Tell")]
    Report,
    /// Also requests a report of the receiver's state at once.
    #[serde(rename = "Ask")]
    Query,
    /// Requests that the receiver claim leadership now.
    TakeOver,
}

/// A heartbeat between entry VMs, sent as one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: Vm,
    /// Purpose of this heartbeat.
    pub purpose: Purpose,
    /// Highest leadership epoch known to the sender.
    pub epoch: u64,
    /// Leader in this epoch, `None` while the sender knows of none.
    pub leader: Option<Vm>,
    /// Whether the sender is the leader.
    pub leading: bool,
    /// Milliseconds since the sender last heard from the leader.
    #[serde(rename = "heard")]
    pub contact_age: Millis,
    /// Whether the store answers the sender.
    #[serde(rename = "store")]
    pub store_reachable: bool,
    /// Latency of the store as seen by the sender, in milliseconds.
    #[serde(rename = "delay")]
    pub store_latency: u32,
    /// Effective CPU capacity of the sender, in thousandths of a core.
    #[serde(rename = "power")]
    pub cpu_capacity: u32,
    /// Version of the sender's manifest, 0 if it has none.
    #[serde(rename = "version")]
    pub manifest_version: u64,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// Whether the sender has recently given up leadership because the load was too high.
    pub overloaded: bool,
    /// Whether a claim of the sender is running.
    pub claiming: bool,
    /// Interval in milliseconds at which the receiver gets this leader's heartbeats; 0 in a
    /// heartbeat out of turn.
    pub interval: Millis,
    /// Some of the VMs that the sender has recently heard from; only a leader fills it in.
    pub others: Vec<Vm>,
    /// When it was sent, on the sender's clock.
    pub sent_at: Millis,
    /// `sent_at` of the newest heartbeat that the sender has received from its leader; 0 if there
    /// is none. It proves to the leader that the sender followed it at that time.
    pub echo: Millis,
    /// Some of the VMs that are not members yet; only a leader fills it in. Heartbeats of earlier
    /// versions end before this field.
    #[serde(deserialize_with = "or_default")]
    pub newcomers: Vec<Name>,
}

/// Reads a field that is missing at the end of earlier heartbeats.
fn or_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: serde::Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(T::deserialize(deserializer).unwrap_or_default())
}
