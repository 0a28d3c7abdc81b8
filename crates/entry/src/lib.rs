//! The process of an entry VM. It routes requests to backend servers and owns
//! cells as primary or keeps a replica of them as backup. Decisions are made in
//! the crates `cell`, `sched`, `route` and `member`; this crate does the I/O.

mod api;
mod config;
mod control;
mod credit;
mod error;
mod follow;
mod heartbeat;
mod home;
mod jobs;
mod keys;
mod log;
mod node;
mod report;
mod router;
mod rpc;
mod serve;
mod servers;
mod shutdown;
mod vm_list;

use std::{net::SocketAddr, rc::Rc};

use async_std::task::JoinHandle;
use conf::Settings;
use route::Features;
use sched::Policy;

pub use crate::error::Error;
use crate::node::Node;

/// Scheduling and routing mechanisms in use. Comparisons turn some of them off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mode {
    /// Mechanisms of batch scheduling.
    pub policy: Policy,
    /// Mechanisms of request routing.
    pub features: Features,
}

impl Mode {
    /// Every mechanism is on.
    pub const FULL: Mode = Mode { policy: Policy::FULL, features: Features::FULL };
    /// The baseline of comparisons: every mechanism is off.
    pub const BASELINE: Mode = Mode { policy: Policy::BASELINE, features: Features::BASELINE };
}

/// A running entry VM process.
#[derive(Debug)]
pub struct Entry {
    /// HTTP address for callers and operators.
    pub http: SocketAddr,
    /// RPC address for other entry VMs.
    pub rpc: SocketAddr,
    node: Rc<Node>,
    web: http::Server,
    _rpc_server: wire::Server,
    _tasks: Vec<JoinHandle<()>>,
}

/// Opens the sockets and starts the background tasks of the process on this
/// thread.
///
/// # Errors
/// Returns an error if one of the sockets cannot be opened.
pub async fn spawn(settings: Settings, mode: Mode) -> Result<Entry, Error> {
    let node = Node::open(settings, mode, control::replicate);
    let handler = Rc::clone(&node);
    let rpc_server = wire::bind(node.settings.rpc, move |method, body| {
        Box::pin(rpc::handle(Rc::clone(&handler), method, body))
    })
    .await?;
    let handler = Rc::clone(&node);
    let web =
        http::bind(node.settings.http, move |req| api::handle(Rc::clone(&handler), req)).await?;
    let tasks = vec![
        control::spawn(&node),
        follow::spawn(&node),
        vm_list::spawn(&node),
        log::spawn_journal(&node),
        heartbeat::spawn(&node),
        servers::spawn(&node),
        credit::spawn(&node),
    ];
    Ok(Entry {
        http: web.addr,
        rpc: rpc_server.addr,
        node,
        web,
        _rpc_server: rpc_server,
        _tasks: tasks,
    })
}

impl Entry {
    /// Shuts down gracefully: closes the listening socket, hands the cells over
    /// and waits for requests in flight.
    pub async fn close(mut self) {
        shutdown::run(&self.node, &mut self.web).await;
    }
}
