use snafu::Snafu;

/// Reasons why the process cannot start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The HTTP address for callers and operators cannot be opened.
    #[snafu(transparent)]
    Http {
        /// Underlying error.
        source: http::Error,
    },
    /// The RPC address for other entry VMs cannot be opened.
    #[snafu(transparent)]
    Rpc {
        /// Underlying error.
        source: wire::Error,
    },
}
