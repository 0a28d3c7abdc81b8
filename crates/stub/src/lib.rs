//! Small stand-ins for the platform: backend servers, the log service and the VM
//! list. Each offers HTTP/1.1 with JSON, and injects faults that are set with
//! `POST /v1/faults`.

mod backend;
mod ledger;
mod log;
mod runs;
mod vms;

pub use crate::{
    backend::{Backend, BackendSetup},
    ledger::{Ledger, LedgerEntry, What},
    log::Log,
    runs::{Interference, Runs},
    vms::Vms,
};
