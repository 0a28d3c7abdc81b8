//! The operators' console: plain HTML forms whose output is one validated
//! document, published as a whole, and pages about the fleet.

use std::{net::SocketAddr, rc::Rc};

use http::{Answer, Server};

/// Listens on `addr` and works through the first of `entries` that answers.
///
/// # Errors
/// [`http::Error::Listen`].
pub async fn bind(addr: SocketAddr, entries: Vec<SocketAddr>) -> http::Result<Server> {
    let entries = Rc::new(entries);
    http::bind(addr, move |_ask| {
        let _entries = Rc::clone(&entries);
        async move { Some(Answer::new(200, "text/html", "<h1>console</h1>")) }
    })
    .await
}
