use std::{net::SocketAddr, path::PathBuf, time::Duration};

use bpaf::Bpaf;
use conf::Document;
use http::{Client, OutgoingRequest};
use http_types::Method;
use serde_json::{Value, json};
use snafu::ResultExt;

use crate::{
    cmd::fetch,
    error::{CallSnafu, Error, ReadSnafu, RefusedSnafu},
};

/// Publish a document as a whole
///
/// It takes effect only if the version that it was edited from is still in force.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(command)]
pub(crate) struct Publish {
    /// Entry VM to publish through
    #[bpaf(argument("IP:PORT"))]
    entry: SocketAddr,
    /// Version that the document was edited from; the one in force by default
    #[bpaf(argument("VERSION"), optional)]
    base: Option<u64>,
    /// Document to publish (.json)
    #[bpaf(positional("DOCUMENT"))]
    file: PathBuf,
}

impl Publish {
    pub(crate) async fn run(&self) -> Result<(), Error> {
        let path = self.file.display().to_string();
        let text = std::fs::read_to_string(&self.file).context(ReadSnafu { path })?;
        let document = Document::parse(&text, None)?;
        let base = match self.base {
            Some(base) => base,
            None => fetch(self.entry, "/v1/config").await?["version"].as_u64().unwrap_or(0),
        };
        let response = publish_document(self.entry, base, &document).await?;
        println!("{}: version {}", response["outcome"].as_str().unwrap_or(""), response["version"]);
        Ok(())
    }
}

/// Publishes a document that was edited from version `base`, and returns the response of the
/// entry VM. A response other than 200 is returned as [`Error::Refused`].
pub(crate) async fn publish_document(
    peer: SocketAddr,
    base: u64,
    document: &Document,
) -> Result<Value, Error> {
    let body = json!({ "base": base, "document": document });
    let request = OutgoingRequest {
        addr: peer,
        method: Method::Post,
        path: "/v1/config".to_owned(),
        headers: Vec::new(),
        body: body.to_string().into_bytes(),
        timeout: Duration::from_secs(8),
    };
    let (status, body, _) = Client::new().send(request).await.context(CallSnafu { peer })?;
    let response: Value = serde_json::from_slice(&body).unwrap_or_default();
    match status {
        200 => Ok(response),
        _ => RefusedSnafu { reason: format!("not accepted ({status}): {response}") }.fail(),
    }
}
