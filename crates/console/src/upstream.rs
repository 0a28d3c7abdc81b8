use std::{net::SocketAddr, time::Duration};

use conf::{Config, Document};
use http::{Client, OutgoingRequest};
use http_types::Method;
use serde_json::{Value, json};

/// Timeout of a read request to an entry VM.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a publication; the entry VM responds once it has read it back from the log.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(8);

/// Client of the entry VMs that the console uses.
#[derive(Debug)]
pub(crate) struct Upstream {
    entries: Vec<SocketAddr>,
    client: Client,
}

/// Outcome of a publication.
pub(crate) enum PublishOutcome {
    /// The document is in force, with this version.
    Accepted(u64),
    /// Another document is in force, which is returned; nothing was changed.
    Conflict(Box<Config>),
    /// Not accepted, or the outcome is unknown, for the reason returned.
    Unconfirmed(String),
}

impl Upstream {
    pub(crate) fn new(entries: Vec<SocketAddr>) -> Upstream {
        Upstream { entries, client: Client::new() }
    }

    /// Returns the configuration in force at the first entry VM that answers.
    pub(crate) async fn config(&self) -> Option<Config> {
        for addr in &self.entries {
            if let Ok(config) = self.client.get(*addr, "/v1/config", READ_TIMEOUT).await {
                return Some(config);
            }
        }
        None
    }

    /// Returns the status of each entry VM, `None` if it does not answer.
    pub(crate) async fn status(&self) -> Vec<(SocketAddr, Option<Value>)> {
        let requests = self.entries.iter().map(|addr| async move {
            (*addr, self.client.get(*addr, "/v1/status", READ_TIMEOUT).await.ok())
        });
        futures::future::join_all(requests).await
    }

    /// Publishes a document that was edited from version `base`.
    pub(crate) async fn publish(&self, base: u64, document: &Document) -> PublishOutcome {
        let body = json!({ "base": base, "document": document }).to_string().into_bytes();
        for addr in &self.entries {
            let request = OutgoingRequest {
                addr: *addr,
                method: Method::Post,
                path: "/v1/config".to_owned(),
                headers: Vec::new(),
                body: body.clone(),
                timeout: PUBLISH_TIMEOUT,
            };
            match self.client.send(request).await {
                Ok((status, body, _)) => return publish_outcome(status, &body),
                // Another entry VM may be tried only if the request was not sent.
                Err(e) if e.is_unsent() => {}
                Err(e) => return PublishOutcome::Unconfirmed(format!("not known yet: {e}")),
            }
        }
        PublishOutcome::Unconfirmed("no entry VM answers".to_owned())
    }
}

fn publish_outcome(status: u16, body: &[u8]) -> PublishOutcome {
    let response: Value = serde_json::from_slice(body).unwrap_or_default();
    let in_force = serde_json::from_value(response["in_force"].clone());
    match (status, in_force) {
        (200, _) => PublishOutcome::Accepted(response["version"].as_u64().unwrap_or(0)),
        (409, Ok(config)) => PublishOutcome::Conflict(Box::new(config)),
        _ => PublishOutcome::Unconfirmed(format!("not accepted ({status}): {response}")),
    }
}
