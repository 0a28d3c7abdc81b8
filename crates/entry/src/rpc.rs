//! Handlers of the calls between entry VMs.

use std::rc::Rc;

use base::now;
use cell::{CreditAsk, Sync, SyncReply};
use conf::Config;
use serde::{Serialize, de::DeserializeOwned};
use wire::{
    Handled, Method,
    msg::{Beat, Enter, Lookup, Submit},
};

use crate::{config, credit, heartbeat, jobs, keys, node::Node};

/// Handles one call of another entry VM.
pub(crate) async fn handle(node: Rc<Node>, method: Method, body: Vec<u8>) -> Handled {
    match method {
        Method::Beat => {
            let heartbeat: Beat = decode(&body)?;
            encode(
                &heartbeat::handle(&node, heartbeat)
                    .ok_or("heartbeat is addressed to another VM")?,
            )
        }
        Method::Sync => encode(&sync(&node, decode(&body)?)),
        Method::Credit => encode(&credit::handle(&node, decode::<CreditAsk>(&body)?).await),
        Method::Enter => encode(&keys::handle(&node, decode::<Enter>(&body)?).await),
        Method::Submit => encode(&jobs::handle_submit(&node, decode::<Submit>(&body)?).await),
        Method::Lookup => encode(&jobs::handle_lookup(&node, &decode::<Lookup>(&body)?)),
        Method::Config => encode(&adopt(&node, &decode(&body)?)),
        other => Err(format!("method {other:?} is not supported by entry VMs")),
    }
}

/// Applies changes as the backup of their cells.
fn sync(node: &Rc<Node>, batch: Vec<Sync>) -> Vec<SyncReply> {
    let mut state = node.state.borrow_mut();
    let mut replies = Vec::with_capacity(batch.len());
    for sync in batch {
        let id = sync.cell.clone();
        if !state.cells.contains_key(&id) {
            let cell = cell::Cell::open(id.clone(), node.setup());
            state.cells.insert(id.clone(), cell);
        }
        replies.extend(state.with_cell(&id, now(), |cell, world| cell.on_sync(sync, world)));
    }
    replies
}

/// Applies the configuration of another entry VM if it is newer. Returns the
/// version now in force.
fn adopt(node: &Rc<Node>, config: &Config) -> u64 {
    let mut newest = node.state.borrow().config.clone();
    if newest.update_from_peer(config) {
        config::apply(node, newest);
    }
    node.state.borrow().config.version
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    wire::decode(body).map_err(|e| e.to_string())
}

fn encode<T: Serialize>(message: &T) -> Handled {
    wire::encode(message).map_err(|e| e.to_string())
}
