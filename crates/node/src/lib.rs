//! The process of an entry VM on a customer's platform: it answers callers, and
//! when it leads, it decides for all jobs and workers. Decisions are in the
//! crates `elect` and `lead`; this crate does the I/O around them.

mod append;
mod beats;
mod claim;
mod decide;
mod error;
mod front;
mod manifest;
mod msg;
mod rpc;
mod shutdown;
mod state;
mod store;
mod tell;
mod workers;

use std::{net::SocketAddr, rc::Rc};

use async_std::task::JoinHandle;
use conf::Fleet;
use port::{Incoming, Platform, Reply};

pub use crate::{error::Error, state::Node};

/// A running entry VM process.
#[derive(Debug)]
pub struct Running {
    /// Address for other entry VMs.
    pub peers: SocketAddr,
    node: Rc<Node>,
    _server: wire::Server,
    _loops: Vec<JoinHandle<()>>,
}

/// Opens the sockets for other entry VMs and starts the loops on this thread.
///
/// # Errors
/// Where a socket cannot be opened.
pub async fn spawn(settings: Fleet, platform: Platform) -> Result<Running, Error> {
    let node = Node::open(settings, platform).await?;
    let handler = Rc::clone(&node);
    let server = wire::bind(node.settings.peers, move |method, body| {
        Box::pin(rpc::answer(Rc::clone(&handler), method, body))
    })
    .await?;
    let loops = vec![
        beats::spawn_receiver(&node),
        beats::spawn_ticker(&node),
        manifest::spawn(&node),
        store::spawn_vms(&node),
        decide::spawn(&node),
        append::spawn(&node),
    ];
    Ok(Running { peers: server.addr, node, _server: server, _loops: loops })
}

/// Answers a caller's request.
pub async fn answer(node: Rc<Node>, incoming: Incoming) -> Reply {
    front::answer(&node, incoming).await
}

impl Running {
    /// The state that handlers share.
    pub fn node(&self) -> Rc<Node> {
        Rc::clone(&self.node)
    }

    /// Graceful shutdown: hands leadership over and lets requests end.
    pub async fn close(&self) {
        shutdown::run(&self.node).await;
    }
}
