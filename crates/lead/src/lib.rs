//! State and decisions of a cell's leader: jobs, workers and runs, and the scheduling
//! steps that [`Lead::tick`] runs over them. The crate does no I/O and reads no clock: events
//! and the time are passed in, and commands to carry out are returned.

mod audit;
mod commands;
mod completions;
mod crashes;
mod doubt;
mod evidence;
mod gang;
mod interference;
mod isolation;
mod journal;
mod latency;
mod lead;
mod load;
mod pass;
mod place;
mod policy;
mod poll;
mod preemption;
mod priority;
mod restart;
mod restore;
mod retire;
mod run;
mod search;
mod stragglers;
mod waits;
mod watch;
mod worker;

pub use crate::{
    audit::{Audit, PhaseCount, TaskPhase},
    journal::{Batch, MEMBERS, OWNER},
    lead::{Bounds, Command, Lead, Submitted},
    load::reset_load_metrics,
    run::{Run, RunState},
    waits::{WaitReason, WaitStatus},
    worker::{TOKEN_COUNTER_BITS, Worker},
};
