//! The process of an entry VM on a customer's platform. It answers callers and, as the
//! leader, schedules all jobs on all workers. Decisions are made in the crates `elect` and
//! `lead`; this crate does their I/O.

mod append;
mod claim;
mod decide;
mod dispatch;
mod error;
mod front;
mod heartbeats;
mod manifest;
mod msg;
mod relaying;
mod rpc;
mod send;
mod shutdown;
mod state;
mod store;
mod workers;

use std::{net::SocketAddr, rc::Rc};

use async_std::task::JoinHandle;
use conf::PlatformSettings;
use http::Server;
use port::{Incoming, Platform, Reply};

pub use crate::{error::Error, state::Node};

/// A running entry VM process.
#[derive(Debug)]
pub struct Running {
    /// Bound address of the server for other entry VMs.
    pub peers: SocketAddr,
    node: Rc<Node>,
    _server: wire::Server,
    _loops: Vec<JoinHandle<()>>,
}

/// Binds the sockets for other entry VMs and spawns the loops on this thread.
///
/// # Errors
/// Returns an error if a socket cannot be bound.
pub async fn spawn(settings: PlatformSettings, platform: Platform) -> Result<Running, Error> {
    let node = Node::open(settings, platform).await?;
    let handler = Rc::clone(&node);
    let server = wire::bind(node.settings.peers, move |method, body| {
        Box::pin(rpc::answer(Rc::clone(&handler), method, body))
    })
    .await?;
    let loops = vec![
        heartbeats::spawn_receiver(&node),
        heartbeats::spawn_ticker(&node),
        manifest::spawn(&node),
        store::spawn_vms(&node),
        decide::spawn(&node),
        append::spawn(&node),
        relaying::spawn(&node),
    ];
    Ok(Running { peers: server.addr, node, _server: server, _loops: loops })
}

/// Answers a caller's request.
pub async fn answer(node: Rc<Node>, incoming: Incoming) -> Reply {
    front::answer(&node, incoming).await
}

impl Running {
    /// Returns the state shared by loops and request handlers.
    pub fn node(&self) -> Rc<Node> {
        Rc::clone(&self.node)
    }

    /// Shuts down gracefully: hands leadership over, closes the connections of `callers` after
    /// their next response, and waits for requests in flight.
    pub async fn close(&self, callers: &Server) {
        shutdown::run(&self.node, callers).await;
    }
}
