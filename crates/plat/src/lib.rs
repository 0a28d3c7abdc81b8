//! The platform's HTTP interfaces: JSON messages of, and clients for, the log
//! service, the VM list and the backend servers.

mod backend;
mod client;
mod stream;
mod vm;

pub use crate::{
    backend::{
        Acknowledge, Listing, LoadReport, RefuseReason, Renew, RenewAnswer, RunState, Start,
        StartAnswer, Stop, StopAnswer, TaskReport, TaskUsage, Throttle,
    },
    client::{Backend, Log, Vms},
    stream::{Append, Appended, Batch, Entry},
    vm::{Kind, Vm, VmList, VmState, VmUpdate},
};
