use std::{rc::Rc, time::Duration};

use async_std::task::sleep;
use base::{Millis, event, now};
use cell::Role;
use http::Server;

use crate::{control, node::Node};

/// Time for which requests are still taken, so that the balancer notices.
const NOTICE: Duration = Duration::from_millis(1500);
/// Time within which cells must have been handed over.
const HAND_OVER: Millis = 10_000;
/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(50);

/// Hands the cells over, then lets the requests in progress end.
pub(crate) async fn run(node: &Rc<Node>, web: &mut Server) {
    event!("shutdown", vm = node.me.vm);
    node.state.borrow_mut().shutting = true;
    sleep(NOTICE).await;
    web.close().await;
    hand_over(node).await;
    let deadline = now().mono + node.settings.timing.deadline + 1000;
    while node.state.borrow().inflight > 0 && now().mono < deadline {
        sleep(PAUSE).await;
    }
    return_slots(node).await;
    event!("stopped", vm = node.me.vm);
}

/// Resigns from each cell once its backup has everything.
async fn hand_over(node: &Rc<Node>) {
    let deadline = now().mono + HAND_OVER;
    node.state.borrow_mut().closing = true;
    while node.state.borrow().entered > 0 && now().mono < deadline {
        sleep(PAUSE / 10).await;
    }
    loop {
        let left = {
            let mut state = node.state.borrow_mut();
            let time = now().mono;
            state.cells.values_mut().for_each(|cell| cell.resign(time));
            let alone = state.members.live("", now()).len() <= 1;
            let kept = state.cells.values().filter(|c| !c.handed_over());
            let kept = kept.filter(|c| !(alone && c.role == Role::Primary)).count();
            kept + state.journal.len()
        };
        if left == 0 || now().mono > deadline {
            event!("handed_over", vm = node.me.vm, left = left);
            return;
        }
        control::pump(node);
        sleep(PAUSE).await;
    }
}

/// Gives every idle slot back, so that others need not wait for the VM list.
async fn return_slots(node: &Rc<Node>) {
    for target in node.state.borrow_mut().router.targets.table.values_mut() {
        target.leaving = true;
        target.slots = target.inflight;
    }
    sleep(PAUSE * 6).await;
}
