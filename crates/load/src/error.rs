use std::net::SocketAddr;

use snafu::Snafu;

/// Failure of an experiment.
#[allow(missing_docs)]
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A call failed.
    #[snafu(display("could not reach: {peer}"))]
    Call { peer: SocketAddr, source: http::Error },
}
