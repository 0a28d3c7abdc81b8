use std::rc::Rc;

use wire::{Handled, Method};

use crate::{
    dispatch, front,
    msg::{PeerRequest, WorkReply},
    relaying,
    state::Node,
};

/// Handles one call of another entry VM.
pub(crate) async fn answer(node: Rc<Node>, method: Method, body: Vec<u8>) -> Handled {
    match method {
        Method::Work => {
            let reply = match wire::decode(&body).map_err(|e| e.to_string())? {
                PeerRequest::Work(request) => {
                    let reply: WorkReply = front::answer_forwarded(&node, request).await;
                    wire::encode(&reply)
                }
                PeerRequest::Orders(orders) => wire::encode(&relaying::on_orders(&node, orders)),
                PeerRequest::Report(report) => wire::encode(&dispatch::on_report(&node, report)),
            };
            reply.map_err(|e| e.to_string())
        }
        Method::Manifest => {
            let manifest = node.shared.borrow().manifest.clone();
            wire::encode(&manifest).map_err(|e| e.to_string())
        }
        other => Err(format!("method {other:?} is not supported by entry VMs")),
    }
}
