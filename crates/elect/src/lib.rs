//! Leader election among entry VMs: tracks membership by heartbeats and decides when
//! to claim leadership. Wrong guesses are safe, because the store decides ownership.
//! Does no I/O and reads no clock.

mod beat;
mod elect;

pub use crate::{
    beat::{Heartbeat, Purpose, Vm},
    elect::{Election, Leader},
};
