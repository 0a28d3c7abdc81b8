use std::{rc::Rc, time::Duration};

use async_std::task::{JoinHandle, sleep, spawn_local};
use base::{Millis, event, now};
use job::Manifest;
use port::{Item, StoreError, Topic};
use wire::Method;

use crate::{send::announce_manifest, state::Node};

/// Time for which the store may hold a read until there are new records, in
/// milliseconds.
const READ_WAIT: Millis = 1_000;
/// Shortest pause after new records, so that versions in quick succession are read once.
const MIN_BATCH_DELAY: Duration = Duration::from_millis(300);
/// Longest pause after new records.
const MAX_BATCH_DELAY: Duration = Duration::from_millis(1_000);
/// Manifest bytes per millisecond of the pause, so that versions in quick succession do
/// not fill the link between regions.
const BYTES_PER_MS: usize = 250;
/// Interval between two probes of the store while other VMs read the manifest.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Timeout of a request for another VM's manifest.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval between two requests for another VM's manifest.
const FETCH_INTERVAL: Millis = 300;
/// Key of the manifest among the operator's records.
const MANIFEST_KEY: &str = "config";

/// Spawns the loop that follows the operator's records. Its reads also show whether the
/// store answers this VM.
pub(crate) fn spawn(node: &Rc<Node>) -> JoinHandle<()> {
    let node = Rc::clone(node);
    spawn_local(async move {
        let mut from = None;
        loop {
            from = follow(&node, from).await;
        }
    })
}

/// Reads new records, or all of them if `from` is `None`. Returns the next `from`.
async fn follow(node: &Rc<Node>, from: Option<u64>) -> Option<u64> {
    let store = &node.platform.store;
    let sent = now().mono;
    let Some(from) = from else {
        let Ok(table) = (store.newest)(Topic::Operator).await else {
            update_store_status(node, None);
            sleep(RETRY_DELAY).await;
            return None;
        };
        update_store_status(node, Some(now().mono - sent));
        adopt_items(node, &table.items);
        return Some(table.end);
    };
    if !node.shared.borrow().election.reads_manifest(now().mono) {
        return probe(node, from).await;
    }
    match (store.read)((Topic::Operator, from, READ_WAIT)).await {
        Ok(batch) => {
            update_store_status(node, Some((now().mono - sent).saturating_sub(READ_WAIT)));
            if batch.items.is_empty() {
                return Some(batch.next);
            }
            adopt_items(node, &batch.items);
            sleep(batch_delay(&batch.items)).await;
            // Only the newest version matters: read the newest records, not all since.
            None
        }
        Err(StoreError::Expired) => None,
        Err(_) => {
            update_store_status(node, None);
            sleep(RETRY_DELAY).await;
            Some(from)
        }
    }
}

/// Checks by a small read whether the store answers, while other VMs read the manifest.
async fn probe(node: &Rc<Node>, from: u64) -> Option<u64> {
    let sent = now().mono;
    let result = (node.platform.store.read)((Topic::Vms, 0, 0)).await;
    let answered = matches!(result, Ok(_) | Err(StoreError::Expired));
    update_store_status(node, answered.then(|| now().mono - sent));
    sleep(if answered { PROBE_INTERVAL } else { RETRY_DELAY }).await;
    Some(from)
}

/// Returns the pause after new records, which grows with the size of the largest.
fn batch_delay(items: &[Item]) -> Duration {
    let bytes = items.iter().map(|item| item.value.len()).max().unwrap_or(0);
    Duration::from_millis((bytes / BYTES_PER_MS) as u64).clamp(MIN_BATCH_DELAY, MAX_BATCH_DELAY)
}

/// Records whether the store answered, and its latency; `None` if it did not answer.
fn update_store_status(node: &Rc<Node>, latency: Option<Millis>) {
    let mut shared = node.shared.borrow_mut();
    let reachable = latency.is_some();
    if shared.election.store_reachable != reachable {
        event!("store_answers", yes = reachable);
    }
    shared.election.store_reachable = reachable;
    if let Some(latency) = latency.filter(|latency| *latency > 0) {
        shared.election.store_latency = latency as u32;
    }
}

/// Adopts and announces a manifest among new records.
fn adopt_items(node: &Rc<Node>, items: &[Item]) {
    for item in items.iter().filter(|item| &*item.key == MANIFEST_KEY) {
        match (node.platform.decode_manifest)(&item.value) {
            Some(manifest) => {
                node.adopt(manifest, "store");
                announce_manifest(node);
            }
            None => log::error!("event=manifest_unreadable bytes={}", item.value.len()),
        }
    }
}

/// Requests the manifest of a VM with a newer one, unless this VM reads it from the
/// store or such a request is in flight.
pub(crate) fn fetch(node: &Rc<Node>) {
    let vm = {
        let mut shared = node.shared.borrow_mut();
        let time = now().mono;
        let reads = shared.election.reads_manifest(time) && shared.election.store_reachable;
        let due = !reads && !shared.fetching && time >= shared.fetched_at + FETCH_INTERVAL;
        let Some(vm) = shared.election.manifest_source(time).filter(|_| due) else { return };
        shared.fetching = true;
        shared.fetched_at = time;
        vm
    };
    let node = Rc::clone(node);
    spawn_local(async move {
        let link = node.link(&vm);
        let reply = link.call::<(), Option<Manifest>>(Method::Manifest, &(), FETCH_TIMEOUT).await;
        node.shared.borrow_mut().fetching = false;
        match reply {
            Ok(Some(manifest)) => node.adopt(manifest, &vm.name),
            Ok(None) => {}
            Err(e) => {
                event!("manifest_fetch_failed", from = vm.name, why = e);
                node.shared.borrow_mut().election.on_fetch_failed(&vm.name, now().mono);
            }
        }
    });
}
