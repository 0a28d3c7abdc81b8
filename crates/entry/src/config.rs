//! Publication and application of configurations.

use std::{rc::Rc, time::Duration};

use async_std::task::sleep;
use base::{Name, Size, event, now, rendezvous_weight};
use conf::{Config, Document, Fault, Publication};
use http::{Request, Response, json};
use plat::Kind;
use serde::{Deserialize, Serialize};

use crate::{log::CONFIG, node::Node, vm_list};

/// Polls of the applied configuration before a publication is reported as pending.
const MAX_POLLS: usize = 25;
/// Pause between two polls.
const POLL_PAUSE: Duration = Duration::from_millis(100);

/// Body of `POST /v1/config`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Publish {
    /// Version on which the document is based.
    base: u64,
    /// New document, which replaces the current one as a whole.
    document: Document,
}

/// Response to `POST /v1/config`.
#[derive(Debug, Serialize)]
struct Published<'a> {
    outcome: &'a str,
    version: u64,
    in_force: &'a Config,
}

/// Response to an invalid document.
#[derive(Debug, Serialize)]
struct Invalid {
    error: &'static str,
    faults: Vec<Fault>,
}

/// Applies a configuration on this VM. Does nothing if it is not newer than the
/// current one.
pub(crate) fn apply(node: &Rc<Node>, config: Config) {
    {
        let mut state = node.state.borrow_mut();
        if config.version <= state.config.version {
            return;
        }
        event!("config", version = config.version, offset = config.offset, id = config.id);
        metrics::gauge!("config_version").set(config.version as f64);
        state.config = config;
        state.config_applied_at = now().unix;
    }
    vm_list::on_list(node);
}

/// `POST /v1/config`: publishes a document and reports the outcome once the
/// record has been read back from the log.
pub(crate) async fn publish(node: &Rc<Node>, req: &Request) -> Response {
    let publish: Publish = match req.decode() {
        Ok(publish) => publish,
        Err(refusal) => return refusal,
    };
    if let Err(e) = publish.document.check(largest_server(node)) {
        return match e {
            conf::Error::Faults { faults, .. } => {
                json(400, &Invalid { error: "document has faults", faults })
            }
            other => Response::error(400, other.to_string()),
        };
    }
    let (log_up, base) = {
        let state = node.state.borrow();
        (state.log_up(now()), state.config.version)
    };
    if !log_up {
        return Response::error(503, "not accepted: the log cannot be reached");
    }
    if publish.base != base {
        return conflict(node, "edited from a version that is not in force");
    }
    let id = Name::from(format!(
        "{}-{}",
        node.me,
        rendezvous_weight("publish", &now().unix.to_string())
    ));
    append(node, id, publish).await
}

async fn append(node: &Rc<Node>, id: Name, publish: Publish) -> Response {
    let Publish { base, document } = publish;
    let record = Publication::Publish { id: id.clone(), base, document };
    let Ok(value) = serde_json::to_value(&record) else {
        return Response::error(400, "document cannot be encoded");
    };
    // After an error the record may still have been appended. Reading the
    // stream shows whether it was.
    let _ = node.log.append(CONFIG, vec![value]).await;
    for _ in 0..MAX_POLLS {
        let config = node.state.borrow().config.clone();
        if config.id == id {
            let (outcome, version) = ("accepted", config.version);
            return json(200, &Published { outcome, version, in_force: &config });
        }
        if config.version > base {
            return conflict(node, "another document came first");
        }
        sleep(POLL_PAUSE).await;
    }
    let config = node.state.borrow().config.clone();
    json(202, &Published { outcome: "pending", version: config.version, in_force: &config })
}

/// Responds that the document was not published because another version is in
/// force.
fn conflict(node: &Rc<Node>, why: &str) -> Response {
    let config = node.state.borrow().config.clone();
    event!("config_lost", why = why, in_force = config.version);
    json(409, &Published { outcome: "lost", version: config.version, in_force: &config })
}

/// Returns the maximum of each resource over all known backend servers.
fn largest_server(node: &Rc<Node>) -> Option<Size> {
    let state = node.state.borrow();
    let sizes = state.members.vms(Kind::Backend).map(|vm| vm.size);
    sizes.reduce(|a, b| Size {
        cpu: a.cpu.max(b.cpu),
        memory: a.memory.max(b.memory),
        accel: a.accel.max(b.accel),
    })
}
