//! Idempotency keys: each key belongs to a shard, whose primary executes the
//! first request with the key and records its outcome.

use std::{rc::Rc, time::Duration};

use async_std::task::{sleep, spawn_local};
use base::{Millis, Name, hash, now, rendezvous_weight};
use cell::{JOB_KEY, Op, Outcome, Role};
use wire::{
    Method,
    msg::{Enter, EnterReply},
};

use crate::{
    control, home,
    node::{KEY_SHARDS, Node},
    serve::{self, Request},
};

/// Pause between two checks for replication or for an outcome.
const POLL_PAUSE: Duration = Duration::from_millis(3);
/// Allowance in ms for the way to a shard, added to the time left of a request.
const TRANSIT_ALLOWANCE: Millis = 300;

/// Returns the shard of a key. It is in the failure domain that the caller names,
/// or in one derived from the key.
pub(crate) fn shard(node: &Node, key: &str, domain: Option<&str>) -> Name {
    let state = node.state.borrow();
    let domains = &state.config.document.domains;
    let named = domain.filter(|d| domains.contains_key(*d));
    let home = match named {
        Some(domain) => domain.into(),
        None => domains
            .keys()
            .max_by_key(|domain| rendezvous_weight(key, domain))
            .cloned()
            .unwrap_or_else(|| node.settings.domain.clone()),
    };
    format!("{home}.keys-{}", hash(key.as_bytes()) % KEY_SHARDS).into()
}

/// Sends a request to the primary of its shard, which executes it or returns the
/// outcome of the first request with the same key. Returns `None` if the shard
/// could not be reached in time.
pub(crate) async fn enter(node: &Rc<Node>, enter: &Enter) -> Option<EnterReply> {
    let until = now().mono + enter.left;
    loop {
        let primary = node.state.borrow().registry.get(&enter.cell).map(|r| r.primary.clone());
        let reply = match primary {
            None => EnterReply::NotPrimary,
            Some(peer) if peer == node.me => handle(node, enter.clone()).await,
            Some(peer) => send_enter(node, &peer.vm, enter).await,
        };
        match reply {
            EnterReply::NotPrimary if now().mono < until => sleep(POLL_PAUSE * 20).await,
            EnterReply::NotPrimary => return None,
            reply => return Some(reply),
        }
    }
}

/// Sends a request to the process of another VM. Counts as `NotPrimary` if it was
/// not sent, so that it is sent again. If the reply was lost, the result is
/// `Pending`: the caller may safely repeat the request with its key.
async fn send_enter(node: &Rc<Node>, vm: &str, enter: &Enter) -> EnterReply {
    let Some(link) = node.link(vm) else { return EnterReply::NotPrimary };
    let timeout = Duration::from_millis(enter.left + TRANSIT_ALLOWANCE);
    match link.call(Method::Enter, enter, timeout).await {
        Ok(reply) => reply,
        Err(e) if e.is_unsent() => EnterReply::NotPrimary,
        Err(_) => EnterReply::Pending,
    }
}

/// Handles a keyed request as the primary of its shard.
pub(crate) async fn handle(node: &Rc<Node>, enter: Enter) -> EnterReply {
    let digest = digest(&enter);
    let until = now().mono + enter.left;
    match admit(node, &enter, digest) {
        Admission::NotOwner => EnterReply::NotPrimary,
        Admission::Conflict => EnterReply::Conflict,
        Admission::Duplicate => wait_outcome(node, &enter, until).await,
        Admission::Entered(index) => {
            control::replicate(node);
            if !wait_replicated(node, &enter.cell, index, until).await {
                node.state.borrow_mut().unsettled -= 1;
                // The entry may or may not survive, but the request was not
                // sent to a backend server.
                settle(node, &enter, Outcome::NotRun);
                return EnterReply::Pending;
            }
            spawn_local(execute(Rc::clone(node), enter.clone(), until));
            wait_outcome(node, &enter, until).await
        }
    }
}

/// Result of entering a key.
enum Admission {
    /// This process may not enter keys into the shard.
    NotOwner,
    /// The key is in use for a different request.
    Conflict,
    /// The key has been entered before for the same request.
    Duplicate,
    /// The key was entered by the change with this index.
    Entered(u64),
}

/// Returns a hash of the service and the body, which tells requests with the same
/// key apart.
fn digest(enter: &Enter) -> u64 {
    let mut bytes = enter.service.as_bytes().to_vec();
    bytes.push(0);
    bytes.extend_from_slice(&enter.body);
    hash(&bytes)
}

/// Enters the key of a request unless it is known.
fn admit(node: &Node, enter: &Enter, digest: u64) -> Admission {
    let mut state = node.state.borrow_mut();
    let time = now();
    let handing_over = state.handing_over;
    let Some(cell) = state.cells.get_mut(&enter.cell) else { return Admission::NotOwner };
    if cell.role != Role::Primary || !cell.is_ready() {
        return Admission::NotOwner;
    }
    if let Some(entry) = cell.table.keys.get(&enter.key) {
        return if entry.digest == digest { Admission::Duplicate } else { Admission::Conflict };
    }
    if handing_over || !cell.deciding(time.mono) {
        return Admission::NotOwner;
    }
    cell.commit(Op::Enter { key: enter.key.clone(), digest, at: time.unix }, time);
    let index = cell.index();
    state.unsettled += 1;
    Admission::Entered(index)
}

/// Waits until the backup has a change. Returns `false` if the time is up or this
/// process no longer owns the shard.
async fn wait_replicated(node: &Rc<Node>, id: &Name, index: u64, until: Millis) -> bool {
    while now().mono < until {
        {
            let state = node.state.borrow();
            let Some(cell) = state.cells.get(id) else { return false };
            if cell.role != Role::Primary {
                return false;
            }
            if cell.reached(index) && cell.authority(now().mono) {
                return true;
            }
        }
        sleep(POLL_PAUSE).await;
    }
    false
}

/// Executes a request and records its outcome.
async fn execute(node: Rc<Node>, enter: Enter, until: Millis) {
    let outcome = match enter.service.strip_prefix(JOB_KEY) {
        Some(_) => home::choose_cell(&node, &enter),
        None => {
            let request = Request {
                id: format!("{}-{}", enter.cell, enter.key).into(),
                service: enter.service.clone(),
                caller: enter.cell.clone(),
                body: enter.body.clone(),
                idempotent: false,
                urgent: true,
                key: Some(enter.key.clone()),
                until,
            };
            serve::serve(&node, &request).await
        }
    };
    node.state.borrow_mut().unsettled -= 1;
    settle(&node, &enter, outcome);
}

/// Records the outcome of a key if this process is still the primary.
fn settle(node: &Rc<Node>, enter: &Enter, outcome: Outcome) {
    {
        let mut state = node.state.borrow_mut();
        let Some(cell) = state.cells.get_mut(&enter.cell) else { return };
        if cell.role != Role::Primary {
            return;
        }
        cell.commit(Op::Settle { key: enter.key.clone(), outcome }, now());
    }
    control::replicate(node);
}

/// Waits for the outcome of a key. A key that an earlier primary entered and did
/// not settle gets the outcome `Unknown`: its request may have been sent, and no
/// process will send it again.
async fn wait_outcome(node: &Rc<Node>, enter: &Enter, until: Millis) -> EnterReply {
    let until = until + TRANSIT_ALLOWANCE;
    let mut reached = None;
    loop {
        {
            let mut state = node.state.borrow_mut();
            let Some(cell) = state.cells.get_mut(&enter.cell) else {
                return EnterReply::NotPrimary;
            };
            if cell.role != Role::Primary {
                return EnterReply::Pending;
            }
            let index = cell.index();
            let since = cell.since.unix;
            let Some(entry) = cell.table.keys.get(&enter.key) else { return EnterReply::Pending };
            match &entry.outcome {
                Some(outcome) if cell.reached(*reached.get_or_insert(index)) => {
                    return EnterReply::Outcome(outcome.clone());
                }
                None if entry.at < since && cell.deciding(now().mono) => {
                    let outcome = Outcome::Unknown;
                    cell.commit(Op::Settle { key: enter.key.clone(), outcome }, now());
                }
                _ => {}
            }
        }
        if now().mono >= until {
            return EnterReply::Pending;
        }
        sleep(POLL_PAUSE).await;
    }
}
