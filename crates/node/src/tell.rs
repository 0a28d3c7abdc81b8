use std::rc::Rc;

use async_std::task::spawn_local;
use base::now;
use elect::{Beat, Purpose, Vm};

use crate::state::Node;

/// Sends a heartbeat; one that is lost is followed by the next.
pub(crate) async fn send(node: &Node, to: &Vm, beat: &Beat) {
    // The type holds nothing that the encoding lacks, so that it cannot fail.
    let bytes = postcard::to_stdvec(beat).unwrap_or_default();
    if let Err(e) = node.socket.send_to(&bytes, to.addr).await {
        log::debug!("event=beat_unsent to={} reason={e:?}", to.name);
    }
}

/// Tells the other VMs of the failure domain of a new manifest at once.
pub(crate) fn tell_neighbours(node: &Rc<Node>) {
    let (beat, targets) = {
        let shared = node.shared.borrow();
        (shared.elect.beat(Purpose::Tell, now().mono), shared.elect.neighbours())
    };
    let node = Rc::clone(node);
    spawn_local(async move {
        for vm in targets {
            send(&node, &vm, &beat).await;
        }
    });
}
