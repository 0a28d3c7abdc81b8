//! Bounded HTTP/1.1 with JSON bodies over `async-h1`: a server that reads whole
//! requests and a client that returns whole answers.

mod client;
mod error;
mod server;

pub use crate::{
    client::{Call, Client},
    error::Error,
    server::{Answer, Ask, Server, bind, json},
};

/// Result of a call of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Bytes of a request or response body beyond which it is refused.
pub const MAX_BODY_BYTES: u64 = 4 * 1024 * 1024;
