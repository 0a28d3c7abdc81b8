use snafu::Snafu;

/// Failure to start the process.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address for callers.
    #[snafu(transparent)]
    Http {
        /// What failed.
        source: http::Error,
    },
    /// The address for other entry VMs.
    #[snafu(transparent)]
    Rpc {
        /// What failed.
        source: wire::Error,
    },
}
