//! The operators' console: HTML forms that edit the document and publish it as a whole
//! after validation, and a page on the status of the fleet.

mod diff;
mod edit;
mod fleet;
mod form;
mod page;
mod upstream;

use std::{net::SocketAddr, rc::Rc};

use http::{Request, Response, Server};
use http_types::Method;

use crate::upstream::Upstream;
pub use crate::{diff::diff, form::Form};

/// Listens on `addr` and serves the console; requests go to the first of `entries` that answers.
///
/// # Errors
/// [`http::Error::Listen`].
pub async fn bind(addr: SocketAddr, entries: Vec<SocketAddr>) -> http::Result<Server> {
    let upstream = Rc::new(Upstream::new(entries));
    http::bind(addr, move |request| {
        let upstream = Rc::clone(&upstream);
        async move { Some(handle(&upstream, &request).await) }
    })
    .await
}

async fn handle(upstream: &Upstream, request: &Request) -> Response {
    match (request.method, request.path.as_str()) {
        (Method::Get, "/") => fleet::show(upstream).await,
        (Method::Get, "/edit") => edit::show(upstream).await,
        (Method::Post, "/edit") => edit::submit(upstream, &request.body).await,
        _ => page::page(404, "Not found", "<p>There is no such page.</p>"),
    }
}
