use std::{rc::Rc, time::Duration};

use async_std::task::sleep;
use base::{Name, Size, event, now, rendezvous_weight};
use conf::{Config, Document, Fault, Publication};
use http::{Answer, Ask, json};
use plat::Kind;
use serde::{Deserialize, Serialize};

use crate::{list, log::CONFIG, node::Node};

/// Rounds of reading after which a publication counts as pending.
const READS: usize = 25;
/// Pause between two of them.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// Body of `POST /v1/config`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Publish {
    /// Version that the document was edited from.
    base: u64,
    /// The document.
    document: Document,
}

/// Answer to `POST /v1/config`.
#[derive(Debug, Serialize)]
struct Published<'a> {
    outcome: &'a str,
    version: u64,
    in_force: &'a Config,
}

/// Answer to a document with faults.
#[derive(Debug, Serialize)]
struct Refused {
    error: &'static str,
    faults: Vec<Fault>,
}

/// Puts a configuration in force here; an older one changes nothing.
pub(crate) fn enforce(node: &Rc<Node>, config: Config) {
    {
        let mut state = node.state.borrow_mut();
        if config.version <= state.config.version {
            return;
        }
        event!("config", version = config.version, offset = config.offset, id = config.id);
        metrics::gauge!("config_version").set(config.version as f64);
        state.config = config;
        state.configured = now().unix;
    }
    list::on_list(node);
}

/// `POST /v1/config`: publishes a document as a whole and says what became of
/// it once that is read back.
pub(crate) async fn publish(node: &Rc<Node>, ask: &Ask) -> Answer {
    let publish: Publish = match ask.decode() {
        Ok(publish) => publish,
        Err(refusal) => return refusal,
    };
    if let Err(e) = publish.document.check(largest(node)) {
        return match e {
            conf::Error::Faults { faults, .. } => {
                json(400, &Refused { error: "document has faults", faults })
            }
            other => Answer::fault(400, other.to_string()),
        };
    }
    let (up, base) = {
        let state = node.state.borrow();
        (state.log_up(now()), state.config.version)
    };
    if !up {
        return Answer::fault(503, "not accepted: the log cannot be reached");
    }
    if publish.base != base {
        return lost(node, "edited from a version that is not in force");
    }
    let id = Name::from(format!(
        "{}-{}",
        node.me,
        rendezvous_weight("publish", &now().unix.to_string())
    ));
    append(node, id, publish).await
}

async fn append(node: &Rc<Node>, id: Name, publish: Publish) -> Answer {
    let Publish { base, document } = publish;
    let record = Publication::Publish { id: id.clone(), base, document };
    let Ok(value) = serde_json::to_value(&record) else {
        return Answer::fault(400, "document cannot be encoded");
    };
    // An answer that was lost leaves open whether the record is there; reading
    // on tells.
    let _ = node.log.append(CONFIG, vec![value]).await;
    for _ in 0..READS {
        let config = node.state.borrow().config.clone();
        if config.id == id {
            let (outcome, version) = ("accepted", config.version);
            return json(200, &Published { outcome, version, in_force: &config });
        }
        if config.version > base {
            return lost(node, "another document came first");
        }
        sleep(READ_PAUSE).await;
    }
    let config = node.state.borrow().config.clone();
    json(202, &Published { outcome: "pending", version: config.version, in_force: &config })
}

fn lost(node: &Rc<Node>, why: &str) -> Answer {
    let config = node.state.borrow().config.clone();
    event!("config_lost", why = why, in_force = config.version);
    json(409, &Published { outcome: "lost", version: config.version, in_force: &config })
}

/// The largest backend server known, by each resource.
fn largest(node: &Rc<Node>) -> Option<Size> {
    let state = node.state.borrow();
    let sizes = state.members.vms(Kind::Backend).map(|vm| vm.size);
    sizes.reduce(|a, b| Size {
        cpu: a.cpu.max(b.cpu),
        memory: a.memory.max(b.memory),
        accel: a.accel.max(b.accel),
    })
}
