//! RPC between entry VMs: typed messages, encoded with `postcard` and carried by
//! `capnp-rpc`.

mod client;
mod error;
pub mod msg;
#[allow(clippy::all, missing_docs, unreachable_pub, unused_qualifications)]
#[rustfmt::skip]
mod peer_capnp;
mod server;

use serde::{Serialize, de::DeserializeOwned};
use snafu::ResultExt;

pub use crate::{
    client::Link,
    error::Error,
    server::{Handled, Server, bind},
};

use crate::error::DecodeSnafu;

/// Result type of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The methods that one entry VM calls on another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// Heartbeat: [`msg::Beat`], answered by [`msg::BeatReply`].
    Beat,
    /// Replication: a batch of [`cell::Sync`], answered by a batch of
    /// [`cell::SyncReply`].
    Sync,
    /// Request for slots of backend servers: [`cell::CreditAsk`], answered by
    /// [`msg::CreditReply`].
    Credit,
    /// A non-idempotent request: [`msg::Enter`], answered by [`msg::EnterReply`].
    Enter,
    /// A job or its cancellation: [`msg::Submit`], answered by
    /// [`msg::SubmitReply`].
    Submit,
    /// State of a job or task: [`msg::Lookup`], answered by
    /// [`msg::LookupReply`].
    Lookup,
    /// A newer configuration: [`conf::Config`], answered by the version that the
    /// receiver then has.
    Config,
    /// A caller's request to the leader, forwarded by the VM that received it. The
    /// caller of this crate defines the message.
    Work,
    /// Request for the operator's manifest. The caller of this crate defines the
    /// message.
    Manifest,
}

/// Encodes a message with `postcard`.
///
/// # Errors
/// [`Error::Decode`] if `postcard` cannot encode the type.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    postcard::to_stdvec(message).context(DecodeSnafu { step: "encode" })
}

/// Decodes a message with `postcard`.
///
/// # Errors
/// [`Error::Decode`] if the bytes are not a message of type `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    postcard::from_bytes(bytes).context(DecodeSnafu { step: "decode" })
}
