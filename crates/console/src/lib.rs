//! The operators' console: plain HTML forms whose output is one validated
//! document, published as a whole, and pages about the fleet.

mod diff;
mod edit;
mod fleet;
mod form;
mod page;
mod upstream;

use std::{net::SocketAddr, rc::Rc};

use http::{Answer, Ask, Server};
use http_types::Method;

use crate::upstream::Upstream;
pub use crate::{diff::diff, form::Form};

/// Listens on `addr` and works through the first of `entries` that answers.
///
/// # Errors
/// [`http::Error::Listen`].
pub async fn bind(addr: SocketAddr, entries: Vec<SocketAddr>) -> http::Result<Server> {
    let upstream = Rc::new(Upstream::open(entries));
    http::bind(addr, move |ask| {
        let upstream = Rc::clone(&upstream);
        async move { Some(answer(&upstream, &ask).await) }
    })
    .await
}

async fn answer(upstream: &Upstream, ask: &Ask) -> Answer {
    match (ask.method, ask.path.as_str()) {
        (Method::Get, "/") => fleet::show(upstream).await,
        (Method::Get, "/edit") => edit::show(upstream).await,
        (Method::Post, "/edit") => edit::take(upstream, &ask.body).await,
        _ => page::page(404, "Not found", "<p>There is no such page.</p>"),
    }
}
