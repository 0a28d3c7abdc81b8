//! Leader election among entry VMs: tracks membership by heartbeats and decides when
//! to claim leadership. Wrong guesses are safe, because the store decides ownership.
//! Does no I/O and reads no clock.

mod elect;
mod fanout;
mod heartbeat;
mod lease;
mod overload;

pub use crate::{
    elect::{Election, Leader},
    heartbeat::{Heartbeat, Purpose, Vm},
    lease::{EVIDENCE_TTL, WORDS_TTL},
};
