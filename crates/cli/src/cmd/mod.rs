//! The subcommands, one per file.

mod check;
mod console;
mod dev;
mod entry;
mod explain;
mod load;
mod publish;
mod serve;
mod status;

use std::net::SocketAddr;

use bpaf::Bpaf;
use http::Client;

/// Scheduler for colocated latency-critical and batch work
///
/// Exit codes: 0 success, 1 failure, 2 faults in the input or the command line, 3 refused
/// without any change.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub(crate) enum Cmd {
    Check(#[bpaf(external(check::check))] check::Check),
    Console(#[bpaf(external(console::console))] console::Console),
    Dev(#[bpaf(external(dev::dev))] dev::Dev),
    Entry(#[bpaf(external(entry::entry))] entry::Entry),
    Explain(#[bpaf(external(explain::explain))] explain::Explain),
    Load(#[bpaf(external(load::load))] load::Load),
    Publish(#[bpaf(external(publish::publish))] publish::Publish),
    Serve(#[bpaf(external(serve::serve))] serve::Serve),
    Status(#[bpaf(external(status::status))] status::Status),
}

/// Returns the loopback address with port 0, for which the system picks a free port.
fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Gets a JSON value from an entry VM.
async fn fetch(peer: SocketAddr, path: &str) -> Result<serde_json::Value, crate::error::Error> {
    use snafu::ResultExt;
    let limit = std::time::Duration::from_secs(5);
    Client::new().get(peer, path, limit).await.context(crate::error::CallSnafu { peer })
}
