//! Types shared by all crates: names, resource sizes, clocks, hashes and the
//! one-line event format of the logs.

mod clock;
mod event;
mod hash;
mod size;

use std::sync::Arc;

pub use crate::{
    clock::{Now, now},
    event::Field,
    hash::{hash, rendezvous_weight},
    size::Size,
};

/// A shared immutable string, used for names and identifiers.
pub type Name = Arc<str>;

/// A duration, or a point in time on some clock, in milliseconds.
pub type Millis = u64;

/// Re-export for the expansion of the [`event!`] macro.
#[doc(hidden)]
pub use log as __log;
