//! HTTP/1.1 server and client over `async-h1`, with JSON helpers. Bodies are read
//! completely before they are handed on, up to [`MAX_BODY_BYTES`].

mod client;
mod error;
mod server;

pub use crate::{
    client::{Client, OutgoingRequest},
    error::Error,
    server::{Request, Response, Server, bind, json},
};

/// Result type of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Maximum size of a request or response body, in bytes. Larger ones are rejected.
pub const MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;
