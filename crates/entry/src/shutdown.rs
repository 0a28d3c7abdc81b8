//! Graceful shutdown.

use std::{rc::Rc, time::Duration};

use async_std::task::sleep;
use base::{Millis, event, now};
use cell::Role;
use http::Server;

use crate::{control, node::Node};

/// Time for which requests are still accepted, until the load balancer has noticed
/// the failing health check.
const BALANCER_NOTICE: Duration = Duration::from_millis(1500);
/// Timeout for the handover of cells in ms.
const HAND_OVER_TIMEOUT: Millis = 10_000;
/// Pause between two checks of the progress.
const POLL_PAUSE: Duration = Duration::from_millis(50);

/// Hands the cells over and waits for the requests in flight.
pub(crate) async fn run(node: &Rc<Node>, web: &mut Server) {
    event!("shutdown", vm = node.me.vm);
    node.state.borrow_mut().shutting_down = true;
    sleep(BALANCER_NOTICE).await;
    web.close().await;
    hand_over(node).await;
    let deadline = now().mono + node.settings.timing.deadline + 1000;
    while node.state.borrow().inflight > 0 && now().mono < deadline {
        sleep(POLL_PAUSE).await;
    }
    release_slots(node).await;
    event!("stopped", vm = node.me.vm);
}

/// Hands each cell over to its backup.
async fn hand_over(node: &Rc<Node>) {
    let deadline = now().mono + HAND_OVER_TIMEOUT;
    node.state.borrow_mut().handing_over = true;
    while node.state.borrow().unsettled > 0 && now().mono < deadline {
        sleep(POLL_PAUSE / 10).await;
    }
    loop {
        let left = {
            let mut state = node.state.borrow_mut();
            let time = now().mono;
            state.cells.values_mut().for_each(|cell| cell.resign(time));
            let alone = state.members.live("", now()).len() <= 1;
            let remaining = state.cells.values().filter(|c| !c.handed_over());
            let remaining = remaining.filter(|c| !(alone && c.role == Role::Primary)).count();
            remaining + state.journal.len()
        };
        if left == 0 || now().mono > deadline {
            event!("handed_over", vm = node.me.vm, left = left);
            return;
        }
        control::replicate(node);
        sleep(POLL_PAUSE).await;
    }
}

/// Releases all idle slots, so that other routers get them before this VM has left
/// the VM list.
async fn release_slots(node: &Rc<Node>) {
    for target in node.state.borrow_mut().router.targets.by_id.values_mut() {
        target.leaving = true;
        target.slots = target.inflight;
    }
    sleep(POLL_PAUSE * 6).await;
}
