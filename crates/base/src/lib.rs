//! Types that every crate shares: names, resource sizes, clocks, hashing and
//! the one-line event format of the logs.

mod clock;
mod event;
mod hash;
mod size;

use std::sync::Arc;

pub use crate::{
    clock::{Now, now},
    event::Field,
    hash::{hash, rank},
    size::Size,
};

/// A shared immutable string, used for every name and identifier.
pub type Name = Arc<str>;

/// A length of time in milliseconds.
pub type Millis = u64;

/// Public re-export used by the [`event!`] macro.
#[doc(hidden)]
pub use log as __log;
