use std::{collections::BTreeSet, rc::Rc, time::Duration};

use async_std::task::{sleep, spawn_local};
use base::{Millis, Name, event, now};
use elect::{EVIDENCE_TTL, Vm, WORDS_TTL};
use lead::{Bounds, Lead, MEMBERS, OWNER};
use port::{Append, AppendError, Item, Record, Table, Topic};
use relay::Dispatcher;
use serde::{Deserialize, Serialize};

use crate::{send::announce_claim, state::Node, store, workers};

/// Upper bound of a claim's sequence number. It is random, so that two claims of one
/// epoch are not mistaken for retries of each other.
const MAX_FIRST_SEQ: u64 = 1 << 50;
/// Upper bound of the leases granted to workers.
const MAX_LEASE: Millis = 5_000;
/// Time for which a claim without a reply is retried.
const CLAIM_TIMEOUT: Millis = 2_500;
/// Delay before a claim is retried.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// Record of the cell's owner in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Owner {
    /// Epoch of the leadership.
    epoch: u64,
    /// The leader.
    vm: Vm,
}

/// Starts a claim of leadership if one is due and none is running.
pub(crate) fn claim_if_due(node: &Rc<Node>) {
    let time = now().mono;
    let due = {
        let mut shared = node.shared.borrow_mut();
        let due = !shared.election.claiming
            && shared.manifest.is_some()
            && shared.election.should_claim(time);
        shared.election.claiming |= due;
        due
    };
    if due {
        let node = Rc::clone(node);
        spawn_local(async move {
            let result = claim(&node).await;
            let mut shared = node.shared.borrow_mut();
            shared.election.claiming = false;
            if let Err(why) = result {
                event!("claim_failed", vm = node.me.name, why = why);
                shared.election.step_down(now().mono);
            }
        });
    }
}

/// Claims the next epoch in the store, and starts leading if the claim was the first.
async fn claim(node: &Rc<Node>) -> Result<(), String> {
    let silence = node.shared.borrow().election.silence(now().mono);
    event!("claim", vm = node.me.name, silence_ms = silence);
    announce_claim(node).await;
    let store = &node.platform.store;
    let table = (store.newest)(Topic::Cell).await.map_err(|e| e.to_string())?;
    let previous = table.items.iter().find_map(owner);
    let known = node.shared.borrow().election.epoch();
    let epoch = previous.as_ref().map_or(0, |owner| owner.epoch).max(known) + 1;
    let seq = rand::random::<u64>() % MAX_FIRST_SEQ;
    let mine = Owner { epoch, vm: node.me.clone() };
    let log_end = append(node, &mine, seq, table.end).await?;
    let claimed_at = confirm(node, &mine, table.end).await?;
    let worker_table = (store.newest)(Topic::Workers).await.map_err(|e| e.to_string())?;
    start_leading(node, Claimed { epoch, seq, log_end, at: claimed_at }, &table, worker_table);
    Ok(())
}

/// Appends the claim at offset `end`; retries while the outcome is in doubt. Returns the offset
/// at which the log ends then.
async fn append(node: &Rc<Node>, mine: &Owner, seq: u64, end: u64) -> Result<u64, String> {
    let value = postcard::to_stdvec(mine).map_err(|e| e.to_string())?;
    let request = Append {
        topic: Topic::Cell,
        records: vec![Record { key: OWNER.into(), value }],
        writer: Some((mine.epoch, seq)),
        expected_end: Some(end),
    };
    let started = now().mono;
    loop {
        match (node.platform.store.append)(request.clone()).await {
            Ok(end) => return Ok(end),
            Err(AppendError::InDoubt(_) | AppendError::Refused(_))
                if now().mono < started + CLAIM_TIMEOUT =>
            {
                sleep(RETRY_DELAY).await;
            }
            Err(e) => return Err(e.to_string()),
        }
    }
}

/// Reads the log back to confirm that this claim came first. Returns when the read was sent.
async fn confirm(node: &Rc<Node>, mine: &Owner, end: u64) -> Result<Millis, String> {
    let started = now().mono;
    loop {
        let sent_at = now().mono;
        match (node.platform.store.read)((Topic::Cell, end, 0)).await {
            Ok(batch) => {
                let mut owners = batch.items.iter().filter_map(owner);
                return match owners.next() {
                    Some(first) if first == *mine && owners.next().is_none() => Ok(sent_at),
                    _ => Err("another claim came first in the log".to_owned()),
                };
            }
            Err(_) if now().mono < started + CLAIM_TIMEOUT => sleep(RETRY_DELAY).await,
            Err(e) => return Err(e.to_string()),
        }
    }
}

/// Decodes an ownership record; `None` for other records.
fn owner(item: &Item) -> Option<Owner> {
    if &*item.key != OWNER {
        return None;
    }
    postcard::from_bytes(&item.value).ok()
}

/// Asks the store whether another VM has claimed, if that is due.
pub(crate) fn query_if_due(node: &Rc<Node>) {
    let sent_at = now().mono;
    let (epoch, log_end) = {
        let mut shared = node.shared.borrow_mut();
        let Some(epoch) = shared.lead.as_ref().map(|lead| lead.epoch) else { return };
        if !shared.election.store_query_due(sent_at) {
            return;
        }
        (epoch, shared.log_end)
    };
    let node = Rc::clone(node);
    spawn_local(async move {
        let result = (node.platform.store.read)((Topic::Cell, log_end, 0)).await;
        if node.shared.borrow_mut().lead_in(epoch).is_none() {
            return;
        }
        let Ok(batch) = result else {
            metrics::counter!("store_query_failures").increment(1);
            return;
        };
        let successor = batch.items.iter().filter_map(owner).find(|owner| owner.epoch > epoch);
        if let Some(owner) = successor {
            node.depose(&format!("{} has claimed epoch {}", owner.vm.name, owner.epoch));
        } else if batch.next >= batch.end {
            node.shared.borrow_mut().election.on_store_confirmed(sent_at);
        }
    });
}

/// A claim that came first.
#[derive(Debug)]
struct Claimed {
    epoch: u64,
    /// Sequence number of its append.
    seq: u64,
    /// Offset at which the log ended with it.
    log_end: u64,
    /// When the read that confirmed it was sent.
    at: Millis,
}

/// Starts to lead from the records in the store.
fn start_leading(node: &Rc<Node>, claimed: Claimed, table: &Table, worker_table: Table) {
    let (epoch, time) = (claimed.epoch, now());
    let configured = node.settings.limits;
    let record = table.items.iter().find(|item| &*item.key == MEMBERS);
    let members: Option<BTreeSet<Name>> =
        record.and_then(|item| postcard::from_bytes(&item.value).ok());
    // An earlier leader may have decided without the word of a VM that is not a member.
    let is_member =
        record.is_none() || members.as_ref().is_some_and(|members| members.contains(&node.me.name));
    let bounds = Bounds {
        lease: MAX_LEASE.min(configured.max_lease),
        max_lease: configured.max_lease,
        isolation_limit: if is_member { EVIDENCE_TTL } else { WORDS_TTL },
        remote_factor: configured.remote_factor,
        restore_time: configured.restore_time,
        max_impact: configured.max_interference,
    };
    let lead = Lead::open(epoch, &table.items, bounds, time);
    {
        let mut shared = node.shared.borrow_mut();
        shared.lead = Some(lead);
        shared.dispatcher = Some(Dispatcher::new(node.me.name.clone(), epoch, bounds.lease));
        shared.polled.clear();
        shared.relays_checked = 0;
        shared.relay.on_epoch(epoch);
        shared.next_seq = claimed.seq + 1;
        shared.log_end = claimed.log_end;
        shared.unavailable_since = 0;
        shared.append_started = 0;
        shared.election.become_leader(epoch, time.mono);
        shared.election.set_members(members, time.mono);
        shared.election.on_store_confirmed(claimed.at);
    }
    event!("leading", epoch = epoch, vm = node.me.name);
    metrics::counter!("claims").increment(1);
    workers::apply_records(node, epoch, &worker_table.items, true);
    store::follow_workers(node, epoch, worker_table.end);
    node.decide_wakeup.notify();
    node.append_wakeup.notify();
}
