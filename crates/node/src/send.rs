use std::rc::Rc;

use async_std::task::spawn_local;
use base::now;
use elect::{Heartbeat, Purpose, Vm};

use crate::state::Node;

/// Sends a heartbeat. Failures are only logged, since the next heartbeat replaces a lost
/// one.
pub(crate) async fn send(node: &Node, to: &Vm, heartbeat: &Heartbeat) {
    // Encoding cannot fail: postcard supports every field type.
    let bytes = postcard::to_stdvec(heartbeat).unwrap_or_default();
    if let Err(e) = node.socket.send_to(&bytes, to.addr).await {
        log::debug!("event=heartbeat_unsent to={} reason={e:?}", to.name);
    }
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
