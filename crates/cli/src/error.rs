use std::{error::Error as _, net::SocketAddr};

use snafu::Snafu;

/// Failure of a command; [`Error::code`] is its exit code.
#[allow(missing_docs)]
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum Error {
    /// Settings or a document have faults.
    #[snafu(transparent)]
    Conf { source: conf::Error },
    /// A file could not be read.
    #[snafu(display("could not read the file: {path}"))]
    Read { path: String, source: std::io::Error },
    /// A request to an entry VM failed.
    #[snafu(display("could not reach the entry VM: {peer}"))]
    Call { peer: SocketAddr, source: http::Error },
    /// A stub or the console could not be started.
    #[snafu(display("could not start: {component}"))]
    Http { component: &'static str, source: http::Error },
    /// An entry VM could not be started.
    #[snafu(display("could not start the entry VM"))]
    Entry { source: entry::Error },
    /// An entry VM on a customer's platform could not be started.
    #[snafu(display("could not start the process"))]
    Node { source: node::Error },
    /// The socket for callers or for health checks could not be opened.
    #[snafu(display("could not listen for callers"))]
    Listen { source: http::Error },
    /// Signal handlers could not be installed.
    #[snafu(display("could not install signal handlers"))]
    Signals { source: std::io::Error },
    /// Another document took effect first, or the entry VM refused the request.
    #[snafu(display("{reason}"))]
    Refused { reason: String },
    /// The load generator failed.
    #[snafu(transparent)]
    Load { source: load::Error },
}

impl Error {
    /// Returns the exit code: 2 if the input has faults, 3 if the request was refused and
    /// nothing changed, 1 for any other failure.
    pub(crate) fn code(&self) -> u8 {
        match self {
            Error::Conf { .. } | Error::Read { .. } => 2,
            Error::Refused { .. } => 3,
            _ => 1,
        }
    }
}

/// Formats an error and its causes, separated by colons. A cause that the text already ends
/// with is left out.
pub(crate) fn chain(error: &Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(source) = cause {
        let more = source.to_string();
        if !text.ends_with(&more) {
            text = format!("{text}: {more}");
        }
        cause = source.source();
    }
    text
}
