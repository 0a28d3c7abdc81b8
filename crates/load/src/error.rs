use std::net::SocketAddr;

use snafu::Snafu;

/// Error of a load run.
#[allow(missing_docs)]
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A request to an entry VM failed.
    #[snafu(display("request to {peer} failed"))]
    Call { peer: SocketAddr, source: http::Error },
}
