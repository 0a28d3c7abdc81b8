use std::net::SocketAddr;

use snafu::Snafu;

/// Failure of an HTTP call, with the step and the peer at which it arose.
#[allow(missing_docs)]
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The listening socket could not be opened.
    #[snafu(display("could not listen: {peer}"))]
    Listen { peer: SocketAddr, source: std::io::Error },
    /// No connection was made, so the peer has seen no byte of the request.
    #[snafu(display("could not connect: {peer}"))]
    Connect { peer: SocketAddr, source: std::io::Error },
    /// The peer may have acted on the request, but no whole answer came.
    #[snafu(display("no whole answer: {peer}: {reason}"))]
    Answer { peer: SocketAddr, reason: String },
    /// The peer answered with a status that is not a success.
    #[snafu(display("refused with status {status}: {peer}: {body}"))]
    Status { peer: SocketAddr, status: u16, body: String },
    /// The answer was whole but not of the expected form.
    #[snafu(display("could not decode the answer: {peer}"))]
    Decode { peer: SocketAddr, source: serde_json::Error },
}

impl Error {
    /// Whether the peer cannot have acted on the request.
    pub fn unsent(&self) -> bool {
        matches!(self, Error::Connect { .. })
    }
}
