use std::{net::SocketAddr, time::Duration};

use conf::{Config, Document};
use http::{Call, Client};
use http_types::Method;
use serde_json::{Value, json};

/// Time within which an entry VM must answer a page's question.
const READ_LIMIT: Duration = Duration::from_secs(2);
/// Time within which a publication must have been read back.
const PUBLISH_LIMIT: Duration = Duration::from_secs(8);

/// The entry VMs that the console works through.
#[derive(Debug)]
pub(crate) struct Upstream {
    entries: Vec<SocketAddr>,
    client: Client,
}

/// What became of a publication.
pub(crate) enum Published {
    /// In force.
    Accepted(u64),
    /// Something else is in force; nothing was changed.
    Lost(Box<Config>),
    /// Not accepted, or not known yet, for the reason given.
    Refused(String),
}

impl Upstream {
    pub(crate) fn open(entries: Vec<SocketAddr>) -> Upstream {
        Upstream { entries, client: Client::open() }
    }

    /// The configuration in force at the first entry VM that answers.
    pub(crate) async fn config(&self) -> Option<Config> {
        for peer in &self.entries {
            if let Ok(config) = self.client.get(*peer, "/v1/config", READ_LIMIT).await {
                return Some(config);
            }
        }
        None
    }

    /// The status of each entry VM; `None` where it does not answer.
    pub(crate) async fn status(&self) -> Vec<(SocketAddr, Option<Value>)> {
        let asks = self.entries.iter().map(|peer| async move {
            (*peer, self.client.get(*peer, "/v1/status", READ_LIMIT).await.ok())
        });
        futures::future::join_all(asks).await
    }

    /// Publishes a document that was edited from version `base`.
    pub(crate) async fn publish(&self, base: u64, document: &Document) -> Published {
        let body = json!({ "base": base, "document": document }).to_string().into_bytes();
        for peer in &self.entries {
            let call = Call {
                peer: *peer,
                method: Method::Post,
                path: "/v1/config".to_owned(),
                headers: Vec::new(),
                body: body.clone(),
                timeout: PUBLISH_LIMIT,
            };
            match self.client.exchange(call).await {
                Ok((status, body, _)) => return published(status, &body),
                // Only where nothing was sent may another one be tried.
                Err(e) if e.unsent() => {}
                Err(e) => return Published::Refused(format!("not known yet: {e}")),
            }
        }
        Published::Refused("no entry VM answers".to_owned())
    }
}

fn published(status: u16, body: &[u8]) -> Published {
    let answer: Value = serde_json::from_slice(body).unwrap_or_default();
    let in_force = serde_json::from_value(answer["in_force"].clone());
    match (status, in_force) {
        (200, _) => Published::Accepted(answer["version"].as_u64().unwrap_or(0)),
        (409, Ok(config)) => Published::Lost(Box::new(config)),
        _ => Published::Refused(format!("not accepted ({status}): {answer}")),
    }
}
