use std::{rc::Rc, time::Duration};

use async_std::task::{JoinHandle, sleep, spawn_local};
use base::{Millis, event};
use elect::Vm;
use port::{Append, Record, StoreError, Topic};

use crate::{state::Node, workers};

/// Time for which the store may hold a read until there are new records, in
/// milliseconds.
const READ_WAIT: Millis = 1_000;
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Pause after new worker records, so that more are handled together.
const BATCH_DELAY: Duration = Duration::from_millis(300);
/// Interval at which the list of entry VMs is read.
const VMS_INTERVAL: Duration = Duration::from_secs(5);

/// Spawns the loop that registers this VM in the store and reads the other entry VMs.
pub(crate) fn spawn_vms(node: &Rc<Node>) -> JoinHandle<()> {
    let node = Rc::clone(node);
    spawn_local(async move {
        let mut registered = false;
        loop {
            if !registered {
                registered = register(&node).await;
            }
            let read = read_vms(&node).await;
            sleep(if registered && read { VMS_INTERVAL } else { RETRY_DELAY }).await;
        }
    })
}

/// Appends the record of this VM; returns whether that succeeded.
async fn register(node: &Node) -> bool {
    // Encoding cannot fail: postcard supports every field type.
    let value = postcard::to_stdvec(&node.me).unwrap_or_default();
    let record = Record { key: node.me.name.clone(), value };
    let request =
        Append { topic: Topic::Vms, records: vec![record], writer: None, expected_end: None };
    match (node.platform.store.append)(request).await {
        Ok(_) => true,
        Err(e) => {
            log::debug!("event=register_failed reason={:?}", e.to_string());
            false
        }
    }
}

/// Adds the entry VMs in the store to the election; returns whether the store answered.
async fn read_vms(node: &Node) -> bool {
    let Ok(table) = (node.platform.store.newest)(Topic::Vms).await else { return false };
    let mut shared = node.shared.borrow_mut();
    for item in table.items {
        match postcard::from_bytes::<Vm>(&item.value) {
            Ok(vm) => shared.election.add_vm(vm),
            Err(e) => log::warn!("event=record_skipped key={} reason={e:?}", item.key),
        }
    }
    true
}

/// Spawns the loop that follows the list of workers while this VM leads in `epoch`.
pub(crate) fn follow_workers(node: &Rc<Node>, epoch: u64, from: u64) {
    let node = Rc::clone(node);
    spawn_local(async move {
        let mut from = Some(from);
        while node.shared.borrow_mut().lead_in(epoch).is_some() {
            from = read_workers(&node, epoch, from).await;
        }
    });
}

/// Reads new worker records, or the whole table if `from` is `None`. Returns the next
/// `from`, `None` if the whole table must be read again.
async fn read_workers(node: &Rc<Node>, epoch: u64, from: Option<u64>) -> Option<u64> {
    let store = &node.platform.store;
    let Some(from) = from else {
        let Ok(table) = (store.newest)(Topic::Workers).await else {
            sleep(RETRY_DELAY).await;
            return None;
        };
        workers::apply_records(node, epoch, &table.items, true);
        return Some(table.end);
    };
    match (store.read)((Topic::Workers, from, READ_WAIT)).await {
        Ok(batch) => {
            workers::apply_records(node, epoch, &batch.items, false);
            sleep(BATCH_DELAY).await;
            Some(batch.next)
        }
        Err(StoreError::Expired) => {
            event!("list_expired", topic = "workers", from = from);
            None
        }
        Err(_) => {
            sleep(RETRY_DELAY).await;
            Some(from)
        }
    }
}
