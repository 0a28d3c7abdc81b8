use std::{collections::VecDeque, rc::Rc, time::Duration};

use async_std::{
    future::timeout,
    task::{JoinHandle, sleep, spawn_local},
};
use base::{event, now};
use lead::Batch;
use port::{Append, AppendError, Record, Topic};

use crate::state::{Node, Outcome, Waiter};

/// Longest interval between two checks for a batch to append.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Delay before a failed append is retried.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Size of a record, in bytes, up to which it is not to blame for a rejection: the store is taken
/// to be out of order, and the append is retried.
const MAX_BLAMELESS_BYTES: usize = 16 * 1024;
/// Longest key of a record, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Result of one append to the store.
enum Appended {
    /// The records are durable.
    Durable,
    /// The store will never take these records, for the given reason.
    Rejected(String),
    /// Leadership was lost.
    Lost,
}

/// Spawns the loop that appends the leader's changes to the store, one batch at a time.
pub(crate) fn spawn(node: &Rc<Node>) -> JoinHandle<()> {
    let node = Rc::clone(node);
    spawn_local(async move {
        loop {
            let _ = timeout(POLL_INTERVAL, node.append_wakeup.receiver.recv()).await;
            while let Some((epoch, batch)) = next_batch(&node) {
                store_batch(&node, epoch, batch).await;
            }
        }
    })
}

/// Returns the next batch with its epoch, `None` if there is nothing to append or this VM is not
/// the leader.
fn next_batch(node: &Rc<Node>) -> Option<(u64, Batch)> {
    let mut shared = node.shared.borrow_mut();
    if shared.election.holds_appends(now().mono) {
        return None;
    }
    let lead = shared.lead.as_mut()?;
    let (epoch, batch) = (lead.epoch, lead.take_batch()?);
    if let Some(members) = &batch.members {
        shared.election.on_members_sent(members.clone());
    }
    Some((epoch, batch))
}

/// Stores a batch in one or more appends, unless leadership is lost. Records that the store rejects
/// are left out.
async fn store_batch(node: &Rc<Node>, epoch: u64, batch: Batch) {
    let max_bytes = node.settings.max_call_bytes;
    let mut calls = split_calls(batch.records.clone(), max_bytes);
    while let Some(mut records) = calls.pop_front() {
        while node.shared.borrow().election.holds_appends(now().mono) {
            sleep(RETRY_DELAY).await;
        }
        match append(node, epoch, &records).await {
            Appended::Durable => {}
            Appended::Rejected(why) if records.len() == 1 => {
                let mut shared = node.shared.borrow_mut();
                let Some(lead) = shared.lead_in(epoch) else { return };
                let substitute = lead.on_record_rejected(&records[0], &why, now());
                calls.extend(substitute.map(|record| vec![record]));
            }
            Appended::Rejected(_) => {
                let rest = records.split_off(records.len() / 2);
                calls.push_front(rest);
                calls.push_front(records);
            }
            Appended::Lost => return,
        }
    }
    on_stored(node, epoch, &batch);
}

/// Splits records, in their order, into appends of at most `max_bytes`. A larger record is in an
/// append of its own.
fn split_calls(records: Vec<Record>, max_bytes: usize) -> VecDeque<Vec<Record>> {
    let mut calls: VecDeque<Vec<Record>> = VecDeque::new();
    let mut bytes = 0;
    for record in records {
        bytes += record.encoded_len();
        match calls.back_mut() {
            Some(call) if bytes <= max_bytes => call.push(record),
            _ => {
                bytes = record.encoded_len();
                calls.push_back(vec![record]);
            }
        }
    }
    calls
}

/// Appends records, and retries until they are durable, rejected or leadership is lost.
async fn append(node: &Rc<Node>, epoch: u64, records: &[Record]) -> Appended {
    let seq = {
        let mut shared = node.shared.borrow_mut();
        shared.append_started = now().mono;
        shared.next_seq
    };
    let request = Append {
        topic: Topic::Cell,
        records: records.to_vec(),
        writer: Some((epoch, seq)),
        expected_end: None,
    };
    while node.shared.borrow_mut().lead_in(epoch).is_some() {
        match (node.platform.store.append)(request.clone()).await {
            Ok(end) => return on_appended(node, epoch, end),
            Err(AppendError::Fenced) => node.depose("fenced by a higher epoch"),
            Err(AppendError::OffsetMismatch) => node.depose("another writer has appended"),
            Err(AppendError::Sequence(expected)) => {
                node.depose(&format!("sequence {expected} expected, not {seq}"));
            }
            Err(AppendError::Rejected(why)) if is_to_blame(records) => {
                node.shared.borrow_mut().append_started = 0;
                return Appended::Rejected(why);
            }
            Err(
                e @ (AppendError::Refused(_) | AppendError::Rejected(_) | AppendError::InDoubt(_)),
            ) => {
                on_failure(node, epoch, seq, &e);
                sleep(RETRY_DELAY).await;
            }
        }
    }
    Appended::Lost
}

/// Returns whether a rejection may be due to the records.
fn is_to_blame(records: &[Record]) -> bool {
    let large = |record: &Record| {
        record.encoded_len() > MAX_BLAMELESS_BYTES || record.key.len() > MAX_KEY_BYTES
    };
    records.len() > 1 || records.iter().any(large)
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

/// Handles the success of an append, with which the log ends at `end`.
fn on_appended(node: &Rc<Node>, epoch: u64, end: u64) -> Appended {
    let time = now();
    let mut shared = node.shared.borrow_mut();
    // The answer to an append of an earlier epoch proves nothing about this one.
    if shared.lead_in(epoch).is_none() {
        return Appended::Lost;
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
    shared.next_seq += 1;
    shared.election.on_store_confirmed(sent_at);
    Appended::Durable
}

/// Applies a durable batch, and wakes the requests that wait for it.
fn on_stored(node: &Rc<Node>, epoch: u64, batch: &Batch) {
    let time = now();
    let mut shared = node.shared.borrow_mut();
    if shared.lead_in(epoch).is_none() {
        return;
    }
    if batch.members.is_some() {
        shared.election.on_members_stored();
    }
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
