use std::net::SocketAddr;

use async_std::future::pending;
use bpaf::Bpaf;
use snafu::ResultExt;

use crate::{
    cmd::any_port,
    error::{Error, HttpSnafu},
};

/// Run the operators' web console
///
/// The first line of output names its address.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Console {
    /// Entry VMs to connect to; the first that answers is used
    #[bpaf(argument("IP:PORT"), some("name at least one entry VM"))]
    entry: Vec<SocketAddr>,
    /// Address to listen on
    #[bpaf(argument("IP:PORT"), fallback_with(|| Ok::<_, String>(any_port())))]
    http: SocketAddr,
}

impl Console {
    pub(crate) async fn run(&self) -> Result<(), Error> {
        let component = "console";
        let console = console::bind(self.http, self.entry.clone());
        let console = console.await.context(HttpSnafu { component })?;
        println!("http={}", console.addr);
        pending().await
    }
}
