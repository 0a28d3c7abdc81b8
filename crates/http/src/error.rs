use std::net::SocketAddr;

use snafu::Snafu;

/// Failure of an HTTP exchange, with the step that failed and the peer.
#[allow(missing_docs)]
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The address could not be bound.
    #[snafu(display("could not listen: {peer}"))]
    Listen { peer: SocketAddr, source: std::io::Error },
    /// No connection was established, so the peer received nothing of the request.
    #[snafu(display("could not connect: {peer}"))]
    Connect { peer: SocketAddr, source: std::io::Error },
    /// No complete response was received; the peer may have acted on the request.
    #[snafu(display("no complete response: {peer}: {reason}"))]
    Answer { peer: SocketAddr, reason: String },
    /// The peer responded with a status outside 200 to 299.
    #[snafu(display("response with status {status}: {peer}: {body}"))]
    Status { peer: SocketAddr, status: u16, body: String },
    /// The response was complete but could not be decoded, or the request body
    /// could not be encoded.
    #[snafu(display("could not encode or decode a body: {peer}"))]
    Decode { peer: SocketAddr, source: serde_json::Error },
}

impl Error {
    /// Returns whether the request is certain not to have reached the peer, so that
    /// sending it again is safe.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Error::Connect { .. })
    }
}
