use std::{rc::Rc, time::Duration};

use async_std::task::{sleep, spawn_local};
use base::{Name, now};
use port::Item;

use crate::state::Node;

/// Delay after a worker did not reply.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Interval at which the durability of completions is polled.
pub(crate) const UNACKED_POLL_INTERVAL: Duration = Duration::from_millis(8);
/// Interval between two polls of a worker of which completions may not be acknowledged yet.
const HELD_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Polls after which a worker is contacted even if its completions are not durable.
const MAX_UNACKED_POLLS: usize = 40;

/// Applies records of the list of workers, see [`lead::Lead::on_worker_records`].
pub(crate) fn apply_records(node: &Rc<Node>, epoch: u64, items: &[Item], complete: bool) {
    {
        let mut shared = node.shared.borrow_mut();
        let Some(lead) = shared.lead_in(epoch) else { return };
        let decode = |id: &Name, value: &[u8]| (node.platform.decode_worker)(id, value);
        lead.on_worker_records(items, complete, &decode, now());
    }
    // New workers get a relay or a poller with the next check.
    node.shared.borrow_mut().relays_checked = 0;
    node.append_wakeup.notify();
    node.decide_wakeup.notify();
}

/// Spawns the loop that renews the leases of a worker's runs and reads its lists, while
/// this VM leads in `epoch` and the worker is known and has no relay.
pub(crate) fn spawn_poller(node: &Rc<Node>, epoch: u64, id: Name) {
    let new = {
        let mut shared = node.shared.borrow_mut();
        shared.lead_in(epoch).is_some() && shared.polled.insert(id.clone())
    };
    if !new {
        return;
    }
    let node = Rc::clone(node);
    spawn_local(async move {
        while !relayed(&node, epoch, &id)
            && let Some(replied) = poll(&node, epoch, &id, false).await
        {
            if !replied {
                sleep(RETRY_DELAY).await;
            }
            wait_durable(&node, epoch, &id).await;
            if holds_acks(&node, epoch, &id) {
                sleep(HELD_POLL_INTERVAL).await;
            }
        }
        let mut shared = node.shared.borrow_mut();
        if shared.lead_in(epoch).is_some() {
            shared.polled.remove(&id);
        }
    });
}

/// Returns whether a relay polls a worker.
fn relayed(node: &Node, epoch: u64, id: &Name) -> bool {
    let mut shared = node.shared.borrow_mut();
    shared.lead_in(epoch).is_some()
        && shared.dispatcher.as_ref().is_some_and(|dispatcher| dispatcher.is_relayed(id))
}

/// Returns whether a worker would reply to a poll at once, with completions that it has listed
/// before.
fn holds_acks(node: &Node, epoch: u64, id: &Name) -> bool {
    let mut shared = node.shared.borrow_mut();
    shared.lead_in(epoch).is_some_and(|lead| lead.holds_acks(id, now().mono))
}

/// Waits, for a limited time, until the completions listed by a worker are durable, since
/// it would list them again otherwise.
async fn wait_durable(node: &Rc<Node>, epoch: u64, id: &Name) {
    for _ in 0..MAX_UNACKED_POLLS {
        let unacked = node.shared.borrow_mut().lead_in(epoch).is_some_and(|l| l.unacked(id));
        if !unacked {
            return;
        }
        sleep(UNACKED_POLL_INTERVAL).await;
    }
}

/// Polls a worker once, which also renews leases if this VM may decide, and
/// applies the lists in the reply. With `at_once` the worker does not wait for changes.
/// Returns whether the worker replied, `None` if it is unknown or the epoch is over.
pub(crate) async fn poll(node: &Rc<Node>, epoch: u64, id: &Name, at_once: bool) -> Option<bool> {
    let sent = now();
    let (addr, request) = {
        let mut shared = node.shared.borrow_mut();
        let renew = shared.may_decide(sent.mono);
        shared.lead_in(epoch)?.poll(id, at_once, renew, sent)?
    };
    let token = request.token;
    let reply = (node.platform.workers.poll)((addr, request)).await;
    let replied = reply.is_ok();
    {
        let mut shared = node.shared.borrow_mut();
        shared.lead_in(epoch)?.on_poll(id, token, sent.mono, reply, now());
    }
    node.decide_wakeup.notify();
    Some(replied)
}
