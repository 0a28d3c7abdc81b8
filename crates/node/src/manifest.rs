use std::{rc::Rc, time::Duration};

use async_std::task::{JoinHandle, sleep, spawn_local};
use base::{Millis, event, now};
use job::Manifest;
use port::{Item, StoreFault, Topic};
use wire::Method;

use crate::{state::Node, tell::tell_neighbours};

/// Time that a read waits for news.
const WAIT: Millis = 1_000;
/// Shortest pause after news, in which more versions gather.
const GATHER: Duration = Duration::from_millis(300);
/// Longest pause after news.
const GATHER_MOST: Duration = Duration::from_millis(1_000);
/// Bytes of a manifest for each millisecond of the pause, so that versions in quick
/// succession leave room on the link between regions.
const BYTES_PER_MS: usize = 250;
/// Pause between two questions while others read the manifest for this VM.
const RESTING: Duration = Duration::from_millis(1_000);
/// Pause after a read that failed.
const PAUSE: Duration = Duration::from_millis(150);
/// Time within which another VM must hand its manifest over.
const FETCH_LIMIT: Duration = Duration::from_millis(800);
/// Pause between two such questions.
const FETCH_PAUSE: Millis = 300;
/// Key of the manifest.
const KEY: &str = "config";

/// Follows the operator's records for ever. Its reads also tell whether the
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

async fn follow(node: &Rc<Node>, from: Option<u64>) -> Option<u64> {
    let store = &node.platform.store;
    let sent = now().mono;
    let Some(from) = from else {
        let Ok(table) = (store.newest)(Topic::Operator).await else {
            answered(node, None);
            sleep(PAUSE).await;
            return None;
        };
        answered(node, Some(now().mono - sent));
        take(node, &table.items);
        return Some(table.end);
    };
    if !node.shared.borrow().elect.reads_manifest(now().mono) {
        return probe(node, from).await;
    }
    match (store.read)((Topic::Operator, from, WAIT)).await {
        Ok(batch) => {
            answered(node, Some((now().mono - sent).saturating_sub(WAIT)));
            if batch.items.is_empty() {
                return Some(batch.next);
            }
            take(node, &batch.items);
            sleep(pause(&batch.items)).await;
            // What has gathered meanwhile matters only by its newest version.
            None
        }
        Err(StoreFault::Expired) => None,
        Err(_) => {
            answered(node, None);
            sleep(PAUSE).await;
            Some(from)
        }
    }
}

/// While others read the manifest for this VM: asks the store for something small,
/// to know whether it answers.
async fn probe(node: &Rc<Node>, from: u64) -> Option<u64> {
    let sent = now().mono;
    let answer = (node.platform.store.read)((Topic::Vms, 0, 0)).await;
    let alive = matches!(answer, Ok(_) | Err(StoreFault::Expired));
    answered(node, alive.then(|| now().mono - sent));
    sleep(if alive { RESTING } else { PAUSE }).await;
    Some(from)
}

/// Pause after news of a size.
fn pause(items: &[Item]) -> Duration {
    let bytes = items.iter().map(|item| item.value.len()).max().unwrap_or(0);
    Duration::from_millis((bytes / BYTES_PER_MS) as u64).clamp(GATHER, GATHER_MOST)
}

/// Notes whether the store answers, and how fast.
fn answered(node: &Rc<Node>, delay: Option<Millis>) {
    let mut shared = node.shared.borrow_mut();
    let answers = delay.is_some();
    if shared.elect.store != answers {
        event!("store_answers", yes = answers);
    }
    shared.elect.store = answers;
    if let Some(delay) = delay.filter(|delay| *delay > 0) {
        shared.elect.delay = delay as u32;
    }
}

fn take(node: &Rc<Node>, items: &[Item]) {
    for item in items.iter().filter(|item| &*item.key == KEY) {
        match (node.platform.manifest)(&item.value) {
            Some(manifest) => {
                node.adopt(manifest, "store");
                tell_neighbours(node);
            }
            None => log::error!("event=manifest_unreadable bytes={}", item.value.len()),
        }
    }
}

/// Asks a VM that has a newer manifest for it, one at a time, where this VM does not
/// read it from the store.
pub(crate) fn fetch(node: &Rc<Node>) {
    let vm = {
        let mut shared = node.shared.borrow_mut();
        let reads = shared.elect.reads_manifest(now().mono) && shared.elect.store;
        let wanted = !reads && !shared.fetching && now().mono >= shared.fetched + FETCH_PAUSE;
        let Some(vm) = shared.elect.newer().filter(|_| wanted) else { return };
        shared.fetching = true;
        shared.fetched = now().mono;
        vm
    };
    let node = Rc::clone(node);
    spawn_local(async move {
        let link = node.link(&vm);
        let answer = link.call::<(), Option<Manifest>>(Method::Manifest, &(), FETCH_LIMIT).await;
        if let Ok(Some(manifest)) = answer {
            node.adopt(manifest, &vm.name);
        }
        node.shared.borrow_mut().fetching = false;
    });
}
