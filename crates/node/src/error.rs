use std::net::SocketAddr;

use snafu::Snafu;

/// Error at the start of the process.
#[allow(missing_docs)]
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The UDP socket for heartbeats could not be bound.
    #[snafu(display("could not bind UDP socket {addr} for heartbeats"))]
    Datagrams { addr: SocketAddr, source: std::io::Error },
    /// The server for requests of other entry VMs could not be started.
    #[snafu(transparent)]
    Peers { source: wire::Error },
}
