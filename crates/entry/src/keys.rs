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

/// Pause while waiting for replication or an outcome.
const PAUSE: Duration = Duration::from_millis(3);
/// Added to the time left of a request for the way to its shard.
const TRAVEL: Millis = 300;

/// Shard that a key belongs to: in the failure domain that the caller names,
/// or else one that follows from the key alone.
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

/// Asks the shard's primary to carry a request out, or for the outcome of the
/// first one with its key. `None` where nothing reached the shard.
pub(crate) async fn enter(node: &Rc<Node>, enter: &Enter) -> Option<EnterReply> {
    let until = now().mono + enter.left;
    loop {
        let primary = node.state.borrow().registry.get(&enter.cell).map(|r| r.primary.clone());
        let reply = match primary {
            None => EnterReply::NotPrimary,
            Some(peer) if peer == node.me => answer(node, enter.clone()).await,
            Some(peer) => ask(node, &peer.vm, enter).await,
        };
        match reply {
            EnterReply::NotPrimary if now().mono < until => sleep(PAUSE * 20).await,
            EnterReply::NotPrimary => return None,
            reply => return Some(reply),
        }
    }
}

/// Asks another VM's process. What did not reach it counts as asked of the wrong
/// one; where the answer was lost the caller repeats the key, which is safe.
async fn ask(node: &Rc<Node>, vm: &str, enter: &Enter) -> EnterReply {
    let Some(link) = node.link(vm) else { return EnterReply::NotPrimary };
    let limit = Duration::from_millis(enter.left + TRAVEL);
    match link.call(Method::Enter, enter, limit).await {
        Ok(reply) => reply,
        Err(e) if e.unsent() => EnterReply::NotPrimary,
        Err(_) => EnterReply::Pending,
    }
}

/// Carries out a request whose key's shard this process owns.
pub(crate) async fn answer(node: &Rc<Node>, enter: Enter) -> EnterReply {
    let digest = digest(&enter);
    let until = now().mono + enter.left;
    match begin(node, &enter, digest) {
        Begun::Elsewhere => EnterReply::NotPrimary,
        Begun::Conflict => EnterReply::Conflict,
        Begun::Known => outcome(node, &enter, until).await,
        Begun::Entered(index) => {
            control::pump(node);
            if !replicated(node, &enter.cell, index, until).await {
                node.state.borrow_mut().entered -= 1;
                // The entry may or may not survive, but nothing was sent.
                settle(node, &enter, Outcome::NotRun);
                return EnterReply::Pending;
            }
            spawn_local(run(Rc::clone(node), enter.clone(), until));
            outcome(node, &enter, until).await
        }
    }
}

enum Begun {
    Elsewhere,
    Conflict,
    Known,
    Entered(u64),
}

fn digest(enter: &Enter) -> u64 {
    let mut bytes = enter.service.as_bytes().to_vec();
    bytes.push(0);
    bytes.extend_from_slice(&enter.body);
    hash(&bytes)
}

fn begin(node: &Node, enter: &Enter, digest: u64) -> Begun {
    let mut state = node.state.borrow_mut();
    let time = now();
    let closing = state.closing;
    let Some(cell) = state.cells.get_mut(&enter.cell) else { return Begun::Elsewhere };
    if cell.role != Role::Primary || !cell.is_ready() {
        return Begun::Elsewhere;
    }
    if let Some(entry) = cell.table.keys.get(&enter.key) {
        return if entry.digest == digest { Begun::Known } else { Begun::Conflict };
    }
    if closing || !cell.deciding(time.mono) {
        return Begun::Elsewhere;
    }
    cell.commit(Op::Enter { key: enter.key.clone(), digest, at: time.unix }, time);
    let index = cell.index();
    state.entered += 1;
    Begun::Entered(index)
}

/// Waits until the backup has the change; whether it does.
async fn replicated(node: &Rc<Node>, id: &Name, index: u64, until: Millis) -> bool {
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
        sleep(PAUSE).await;
    }
    false
}

/// Sends the request and records what became of it.
async fn run(node: Rc<Node>, enter: Enter, until: Millis) {
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
    node.state.borrow_mut().entered -= 1;
    settle(&node, &enter, outcome);
}

/// Records the outcome of a key as its shard's primary.
fn settle(node: &Rc<Node>, enter: &Enter, outcome: Outcome) {
    {
        let mut state = node.state.borrow_mut();
        let Some(cell) = state.cells.get_mut(&enter.cell) else { return };
        if cell.role != Role::Primary {
            return;
        }
        cell.commit(Op::Settle { key: enter.key.clone(), outcome }, now());
    }
    control::pump(node);
}

/// Waits for the outcome of a key. One that an earlier primary entered and
/// never settled is settled as unknown once its time is up: nobody sends it.
async fn outcome(node: &Rc<Node>, enter: &Enter, until: Millis) -> EnterReply {
    let until = until + TRAVEL;
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
        sleep(PAUSE).await;
    }
}
