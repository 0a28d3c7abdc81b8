use std::rc::Rc;

use async_std::task::spawn_local;
use base::{Millis, now};
use elect::{Heartbeat, Purpose, Vm};

use crate::state::Node;

/// Sends a heartbeat. Failures are only logged, since the next heartbeat replaces a lost
/// one.
pub(crate) async fn send(node: &Node, to: &Vm, heartbeat: &Heartbeat) {
    // Encoding cannot fail: postcard supports every field type.
    let bytes = postcard::to_stdvec(heartbeat).unwrap_or_default();
    send_bytes(node, to, &bytes).await;
}

/// Sends a heartbeat to several VMs, each of which is told its interval.
pub(crate) async fn send_all(node: &Node, heartbeat: &Heartbeat, targets: &[(Vm, Millis)]) {
    let mut intervals: Vec<Millis> = targets.iter().map(|(_, interval)| *interval).collect();
    intervals.sort_unstable();
    intervals.dedup();
    for interval in intervals {
        let heartbeat = Heartbeat { interval, ..heartbeat.clone() };
        // Encoding cannot fail: postcard supports every field type.
        let bytes = postcard::to_stdvec(&heartbeat).unwrap_or_default();
        for (vm, _) in targets.iter().filter(|(_, other)| *other == interval) {
            send_bytes(node, vm, &bytes).await;
        }
    }
}

async fn send_bytes(node: &Node, to: &Vm, bytes: &[u8]) {
    if let Err(e) = node.socket.send_to(bytes, to.addr).await {
        log::debug!("event=heartbeat_unsent to={} reason={e:?}", to.name);
    }
}

/// Tells all other VMs that this one is claiming leadership, so that they hold theirs back.
pub(crate) async fn announce_claim(node: &Node) {
    let (heartbeat, targets) = {
        let election = &node.shared.borrow().election;
        (election.heartbeat(Purpose::Report, now().mono), election.all_targets())
    };
    let targets: Vec<(Vm, Millis)> = targets.into_iter().map(|(vm, _)| (vm, 0)).collect();
    send_all(node, &heartbeat, &targets).await;
}

/// Sends a heartbeat to the other VMs of the failure domain, which announces the new
/// manifest version at once.
pub(crate) fn announce_manifest(node: &Rc<Node>) {
    let (heartbeat, targets) = {
        let shared = node.shared.borrow();
        (shared.election.heartbeat(Purpose::Report, now().mono), shared.election.domain_peers())
    };
    let node = Rc::clone(node);
    spawn_local(async move {
        for vm in targets {
            send(&node, &vm, &heartbeat).await;
        }
    });
}
