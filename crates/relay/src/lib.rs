//! Relays: entry VMs that exchange messages with workers on behalf of the leader, so that the
//! leader needs neither a connection to each worker nor the CPU time to poll them all. The
//! leader decides; a relay carries its commands, renews leases while it has the leader's
//! permission, and reports changes. Does no I/O and reads no clock.

mod assign;
mod dispatcher;
mod list;
mod msg;
mod relay;

pub use crate::{
    assign::{Helper, assign},
    dispatcher::{Closed, Dispatcher, PollTimes, Received},
    msg::{Orders, PollResult, RelayedWorker, Report, ReportReply, WorkerCommand},
    relay::{Accepted, Relay},
};
