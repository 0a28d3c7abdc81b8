use std::net::SocketAddr;

use snafu::Snafu;

/// Failure of a call between entry VMs.
#[allow(missing_docs)]
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The listening socket could not be opened.
    #[snafu(display("could not listen: {peer}"))]
    Listen { peer: SocketAddr, source: std::io::Error },
    /// No connection was made; the peer has seen nothing of the call.
    #[snafu(display("could not connect: {peer}"))]
    Connect { peer: SocketAddr, source: std::io::Error },
    /// The call was sent and failed; the peer may have acted on it.
    #[snafu(display("call failed: {peer}: {source}"))]
    Call { peer: SocketAddr, source: capnp::Error },
    /// The call was sent and no answer came in time.
    #[snafu(display("no answer in time: {peer}"))]
    Timeout { peer: SocketAddr },
    /// A message could not be encoded or decoded.
    #[snafu(display("could not {step} a message"))]
    Decode { step: &'static str, source: postcard::Error },
}

impl Error {
    /// Whether the peer cannot have acted on the call.
    pub fn unsent(&self) -> bool {
        matches!(self, Error::Connect { .. })
    }
}
