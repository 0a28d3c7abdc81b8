use std::{rc::Rc, time::Duration};

use async_std::{
    future::timeout,
    task::{JoinHandle, sleep, spawn_local},
};
use base::{event, now};
use lead::Batch;
use port::{Append, AppendError, Topic};

use crate::state::{Node, Outcome, Waiter};

/// Longest interval between two checks for a batch to append.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Delay before a failed append is retried.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Spawns the loop that appends the leader's changes to the store, one batch at a time.
pub(crate) fn spawn(node: &Rc<Node>) -> JoinHandle<()> {
    let node = Rc::clone(node);
    spawn_local(async move {
        loop {
            let _ = timeout(POLL_INTERVAL, node.append_wakeup.receiver.recv()).await;
            while let Some((epoch, seq, batch)) = next_batch(&node) {
                append(&node, epoch, seq, batch).await;
            }
        }
    })
}

/// Returns the next batch with its epoch and sequence number, `None` if there is
/// nothing to append or this VM is not the leader.
fn next_batch(node: &Rc<Node>) -> Option<(u64, u64, Batch)> {
    let mut shared = node.shared.borrow_mut();
    if shared.election.holds_appends(now().mono) {
        return None;
    }
    let lead = shared.lead.as_mut()?;
    let (epoch, batch) = (lead.epoch, lead.take_batch()?);
    if let Some(members) = &batch.members {
        shared.election.on_members_sent(members.clone());
    }
    let seq = shared.next_seq;
    shared.next_seq += 1;
    shared.append_started = now().mono;
    Some((epoch, seq, batch))
}

/// Appends a batch, and retries until it is durable or leadership is lost.
async fn append(node: &Rc<Node>, epoch: u64, seq: u64, batch: Batch) {
    let request = Append {
        topic: Topic::Cell,
        records: batch.records.clone(),
        writer: Some((epoch, seq)),
        expected_end: None,
    };
    while node.shared.borrow_mut().lead_in(epoch).is_some() {
        match (node.platform.store.append)(request.clone()).await {
            Ok(end) => return on_success(node, epoch, &batch, end),
            Err(AppendError::Fenced) => return node.depose("fenced by a higher epoch"),
            Err(AppendError::OffsetMismatch) => return node.depose("another writer has appended"),
            Err(AppendError::Sequence(expected)) => {
                return node.depose(&format!("sequence {expected} expected, not {seq}"));
            }
            Err(e @ (AppendError::Refused(_) | AppendError::InDoubt(_))) => {
                on_failure(node, epoch, seq, &e);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Records a failed append, and logs the first of an outage.
fn on_failure(node: &Rc<Node>, epoch: u64, seq: u64, why: &AppendError) {
    let mut shared = node.shared.borrow_mut();
    if shared.lead_in(epoch).is_none() {
        return;
    }
    if shared.unavailable_since == 0 {
        shared.unavailable_since = shared.append_started.max(1);
        event!("store_lost", seq = seq, why = why);
    }
    metrics::counter!("append_failures").increment(1);
}

/// Applies a durable batch, with which the log ends at `end`, and wakes the requests that wait for
/// it.
fn on_success(node: &Rc<Node>, epoch: u64, batch: &Batch, end: u64) {
    let time = now();
    let mut shared = node.shared.borrow_mut();
    // The answer to an append of an earlier epoch proves nothing about this one.
    if shared.lead_in(epoch).is_none() {
        return;
    }
    if shared.unavailable_since > 0 {
        event!("store_regained", ms = time.mono - shared.unavailable_since);
    }
    let took = time.mono.saturating_sub(shared.append_started);
    metrics::histogram!("append_ms").record(took as f64);
    // A repeated append may have been carried out at the first attempt.
    let sent_at = std::mem::take(&mut shared.append_started);
    shared.unavailable_since = 0;
    shared.log_end = end;
    if batch.members.is_some() {
        shared.election.on_members_stored();
    }
    shared.election.on_store_confirmed(sent_at);
    let Some(lead) = shared.lead_in(epoch) else { return };
    lead.on_stored(batch, time);
    let stored = lead.durable_batch();
    let (done, left): (Vec<Waiter>, _) = std::mem::take(&mut shared.waiters)
        .into_iter()
        .partition(|waiter| waiter.batch_no <= stored);
    shared.waiters = left;
    let Some(lead) = shared.lead_in(epoch) else { return };
    for waiter in done {
        // Another submission of the same job may have timed out and withdrawn it.
        let kept = lead.state(&waiter.job).is_some();
        let outcome = if kept { Outcome::Durable } else { Outcome::Withdrawn };
        let _ = waiter.sender.send(outcome);
    }
    node.decide_wakeup.notify();
}
