//! Settings of a process (INI) and the operators' document (JSON): reading,
//! validation, and the log order in which documents take effect.

mod config;
mod document;
mod error;
mod fleet;
mod settings;

pub use crate::{
    config::{Config, FoldOutcome, Publication, Reader},
    document::{Class, Document, JobKind, Rental, Service, Team},
    error::{Error, Fault},
    fleet::{Bounds, Fleet},
    settings::{Platform, Settings, Timing},
};
