use std::{rc::Rc, time::Duration};

use async_std::{
    future::timeout,
    task::{JoinHandle, sleep, spawn_local},
};
use base::now;
use lead::Command;

use crate::{dispatch, state::Node, workers};

/// Longest interval between two scheduling rounds.
const MAX_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest interval between two scheduling rounds, so that events are handled in
/// batches.
const MIN_INTERVAL: Duration = Duration::from_millis(3);

/// Spawns the loop that runs a scheduling round whenever something has changed.
pub(crate) fn spawn(node: &Rc<Node>) -> JoinHandle<()> {
    let node = Rc::clone(node);
    spawn_local(async move {
        loop {
            let _ = timeout(MAX_INTERVAL, node.decide_wakeup.receiver.recv()).await;
            let started = now().mono;
            decide(&node);
            // Rounds that take long leave as much time to everything else.
            let took = Duration::from_millis(now().mono.saturating_sub(started));
            sleep(MIN_INTERVAL + took).await;
        }
    })
}

/// Runs a scheduling round if this VM may decide, and executes the commands.
fn decide(node: &Rc<Node>) {
    let time = now();
    let (epoch, commands, deposed) = {
        let mut shared = node.shared.borrow_mut();
        let may = shared.may_decide(time.mono);
        let unclaimed_at = shared.election.unclaimed_at();
        let Some(lead) = &mut shared.lead else { return };
        if may {
            lead.tick(time, unclaimed_at);
        }
        let (epoch, commands) = (lead.epoch, lead.take_commands());
        let deposed = lead.deposed.clone();
        (epoch, dispatch::route(&mut shared, commands), deposed)
    };
    if let Some(why) = deposed {
        node.depose(&why);
        return;
    }
    for command in commands {
        spawn_local(execute(Rc::clone(node), epoch, command));
    }
    dispatch::run(node, time);
    node.append_wakeup.notify();
}

/// Executes one command and passes the reply to the leader state, if this VM still
/// leads in `epoch`.
pub(crate) async fn execute(node: Rc<Node>, epoch: u64, command: Command) {
    let workers = &node.platform.workers;
    match command {
        Command::Start(worker, start) => {
            let id = worker.id.clone();
            let reply = (workers.start)((worker, start.clone())).await;
            metrics::counter!("starts").increment(1);
            if let Some(lead) = node.shared.borrow_mut().lead_in(epoch) {
                lead.on_start(&id, &start, reply, now());
            }
        }
        Command::Stop(worker, stop) => {
            let id = worker.id.clone();
            let reply = (workers.stop)((worker, stop.clone())).await;
            metrics::counter!("stops").increment(1);
            if let Some(lead) = node.shared.borrow_mut().lead_in(epoch) {
                lead.on_stop(&id, &stop, reply, now());
            }
        }
        Command::Throttle(worker, throttle) => {
            let id = worker.id.clone();
            let reply = (workers.throttle)((worker, throttle.clone())).await;
            if let Some(lead) = node.shared.borrow_mut().lead_in(epoch) {
                lead.on_throttle(&id, &throttle, reply, now());
            }
        }
        Command::AskPolicy(step, candidates) => {
            let reply = (node.platform.policy.request)((step.clone(), candidates.clone())).await;
            if let Some(lead) = node.shared.borrow_mut().lead_in(epoch) {
                lead.on_policy_reply(&step, &candidates, reply, now());
            }
        }
        Command::Poll(id) => {
            workers::poll(&node, epoch, &id, true).await;
        }
    }
    node.decide_wakeup.notify();
}
