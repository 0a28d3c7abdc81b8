//! The leader's tables and decisions: jobs, workers and runs, with systems that
//! run over them. No I/O and no clock: the time is passed in and orders come out.

mod advice;
mod ends;
mod gang;
mod guard;
mod hold;
mod journal;
mod lead;
mod learn;
mod load;
mod order;
mod orders;
mod pass;
mod place;
mod restore;
mod room;
mod run;
mod search;
mod stuck;
mod waits;
mod watch;
mod worker;

pub use crate::{
    journal::{Batch, OWNER},
    lead::{Bounds, Lead, Order, Submitted},
    load::clear_load,
    run::{Run, RunState},
    waits::{Wait, Why},
    worker::Worker,
};
