use std::net::SocketAddr;

use snafu::Snafu;

/// Failure of a call between entry VMs, with the step that failed and the peer.
#[allow(missing_docs)]
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The address could not be bound.
    #[snafu(display("could not listen: {peer}"))]
    Listen { peer: SocketAddr, source: std::io::Error },
    /// No connection was established, so the peer received nothing of the call.
    #[snafu(display("could not connect: {peer}"))]
    Connect { peer: SocketAddr, source: std::io::Error },
    /// The call was sent and failed; the peer may have acted on it.
    #[snafu(display("call failed: {peer}: {source}"))]
    Call { peer: SocketAddr, source: capnp::Error },
    /// The call was sent, but no reply was received within the time limit; the
    /// peer may have acted on it.
    #[snafu(display("no reply in time: {peer}"))]
    Timeout { peer: SocketAddr },
    /// A message could not be encoded or decoded.
    #[snafu(display("could not {step} message"))]
    Decode { step: &'static str, source: postcard::Error },
}

impl Error {
    /// Returns whether the call is certain not to have reached the peer, so that
    /// making it again is safe.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Error::Connect { .. })
    }
}
