//! The process of an entry VM: it routes requests, and owns cells as primary or
//! holds their second copy as backup. Decisions are in the crates `cell`,
//! `sched`, `route` and `member`; this crate does the I/O around them.

mod api;
mod beat;
mod config;
mod control;
mod credit;
mod error;
mod follow;
mod home;
mod jobs;
mod keys;
mod list;
mod log;
mod node;
mod report;
mod router;
mod rpc;
mod serve;
mod servers;
mod shutdown;

use std::{net::SocketAddr, rc::Rc};

use async_std::task::JoinHandle;
use conf::Settings;
use route::Features;
use sched::Policy;

pub use crate::error::Error;
use crate::node::Node;

/// Mechanisms in use, all of them unless a comparison takes some out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mode {
    /// Batch decisions.
    pub policy: Policy,
    /// Routing decisions.
    pub features: Features,
}

impl Mode {
    /// Every mechanism.
    pub const FULL: Mode = Mode { policy: Policy::FULL, features: Features::FULL };
    /// The plain baseline.
    pub const BASELINE: Mode = Mode { policy: Policy::BASELINE, features: Features::BASELINE };
}

/// A running entry VM process.
#[derive(Debug)]
pub struct Entry {
    /// Address for callers and operators.
    pub http: SocketAddr,
    /// Address for other entry VMs.
    pub rpc: SocketAddr,
    node: Rc<Node>,
    web: http::Server,
    _peers: wire::Server,
    _loops: Vec<JoinHandle<()>>,
}

/// Opens the sockets and starts the process's loops on this thread.
///
/// # Errors
/// Where one of the sockets cannot be opened.
pub async fn spawn(settings: Settings, mode: Mode) -> Result<Entry, Error> {
    let node = Node::open(settings, mode, control::pump);
    let handler = Rc::clone(&node);
    let peers = wire::bind(node.settings.rpc, move |method, body| {
        Box::pin(rpc::answer(Rc::clone(&handler), method, body))
    })
    .await?;
    let handler = Rc::clone(&node);
    let web =
        http::bind(node.settings.http, move |ask| api::answer(Rc::clone(&handler), ask)).await?;
    let loops = vec![
        control::spawn(&node),
        follow::spawn(&node),
        list::spawn(&node),
        log::spawn_journal(&node),
        beat::spawn(&node),
        servers::spawn(&node),
        credit::spawn(&node),
    ];
    Ok(Entry { http: web.addr, rpc: peers.addr, node, web, _peers: peers, _loops: loops })
}

impl Entry {
    /// Graceful shutdown: takes no new connections, hands its cells over, lets
    /// requests end.
    pub async fn close(mut self) {
        shutdown::run(&self.node, &mut self.web).await;
    }
}
