//! This VM as a relay: carries out the leader's orders and reports to it.

use std::{rc::Rc, time::Duration};

use async_std::{
    future::timeout,
    task::{JoinHandle, sleep, spawn_local},
};
use base::{Name, now};
use port::WorkerAddr;
use relay::{Orders, ReportReply, WorkerCommand};
use wire::Method;

use crate::{msg::PeerRequest, state::Node, workers::UNACKED_POLL_INTERVAL};

/// Pause before a report, so that it contains what happens at about the same time.
const REPORT_PAUSE: Duration = Duration::from_millis(15);
/// Longest interval between two checks for a report to send.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The same on a VM without a session.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay after a worker or the leader did not reply.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Longest time to wait until listed completions are durable.
const MAX_UNACKED_POLLS: usize = 40;

/// Carries out orders. Returns whether they were accepted; if not, nothing is done.
pub(crate) fn on_orders(node: &Rc<Node>, orders: Orders) -> bool {
    let accepted = node.shared.borrow_mut().relay.on_orders(orders, now().mono);
    let Some(accepted) = accepted else { return false };
    let session = accepted.session;
    for id in accepted.assigned {
        spawn_poller(node, session, id);
    }
    for id in accepted.polls {
        let node = Rc::clone(node);
        spawn_local(async move {
            poll(&node, session, &id, true).await;
        });
    }
    for (number, worker, command) in accepted.commands {
        spawn_local(execute(Rc::clone(node), session, number, worker, command));
    }
    node.report_wakeup.notify();
    true
}

/// Carries out one command, once.
async fn execute(
    node: Rc<Node>,
    session: u64,
    number: u64,
    worker: WorkerAddr,
    command: WorkerCommand,
) {
    let workers = &node.platform.workers;
    let reply = match command {
        WorkerCommand::Start(start) => (workers.start)((worker, start)).await,
        WorkerCommand::Stop(stop) => (workers.stop)((worker, stop)).await,
        WorkerCommand::Throttle(throttle) => (workers.throttle)((worker, throttle)).await,
    };
    node.shared.borrow_mut().relay.on_reply(session, number, reply);
    node.report_wakeup.notify();
}

/// Spawns the loop that polls a worker while it is assigned in this session.
fn spawn_poller(node: &Rc<Node>, session: u64, id: Name) {
    let node = Rc::clone(node);
    spawn_local(async move {
        while let Some(replied) = poll(&node, session, &id, false).await {
            if !replied {
                sleep(RETRY_DELAY).await;
            }
            wait_durable(&node, session, &id).await;
        }
    });
}

/// Waits, for a limited time, until the completions listed by a worker are durable, since
/// it would list them again otherwise.
async fn wait_durable(node: &Rc<Node>, session: u64, id: &Name) {
    for _ in 0..MAX_UNACKED_POLLS {
        if !node.shared.borrow_mut().relay.unacked(session, id) {
            return;
        }
        sleep(UNACKED_POLL_INTERVAL).await;
    }
}

/// Polls a worker once. Returns whether it replied, `None` if it is no longer assigned.
async fn poll(node: &Rc<Node>, session: u64, id: &Name, at_once: bool) -> Option<bool> {
    let sent = now().mono;
    let (addr, request) = node.shared.borrow_mut().relay.poll(session, id, at_once, sent)?;
    let reply = (node.platform.workers.poll)((addr, request.clone())).await;
    let replied = reply.is_ok();
    node.shared.borrow_mut().relay.on_poll(session, id, sent, &request, reply, now().mono);
    node.report_wakeup.notify();
    Some(replied)
}

/// Spawns the loop that reports to the leader.
pub(crate) fn spawn(node: &Rc<Node>) -> JoinHandle<()> {
    let node = Rc::clone(node);
    spawn_local(async move {
        loop {
            let open = node.shared.borrow().relay.is_open();
            let interval = if open { CHECK_INTERVAL } else { IDLE_INTERVAL };
            let _ = timeout(interval, node.report_wakeup.receiver.recv()).await;
            sleep(REPORT_PAUSE).await;
            report(&node).await;
        }
    })
}

/// Sends the report that is due, if any.
async fn report(node: &Rc<Node>) {
    let (vm, report) = {
        let mut shared = node.shared.borrow_mut();
        let Some((leader, report)) = shared.relay.take_report(now().mono) else { return };
        (shared.election.vm(&leader), report)
    };
    let request = PeerRequest::Report(report);
    let reply = match vm {
        Some(vm) => {
            let link = node.link(&vm);
            link.call::<_, ReportReply>(Method::Work, &request, REPORT_TIMEOUT).await.ok()
        }
        None => None,
    };
    let PeerRequest::Report(report) = request else { return };
    node.shared.borrow_mut().relay.on_report_reply(&report, reply, now().mono);
    if reply.is_none() {
        sleep(RETRY_DELAY).await;
    }
}
