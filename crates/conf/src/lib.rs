//! Settings of a process (INI) and the operators' document (JSON): reading,
//! validation, and the log order in which documents take effect.

mod config;
mod document;
mod error;
mod platform;
mod settings;

pub use crate::{
    config::{Config, ConfigReader, FoldOutcome, Publication},
    document::{Class, Document, JobKind, Rental, Service, Team},
    error::{Error, Fault},
    platform::{Limits, PlatformSettings},
    settings::{PlatformAddrs, Settings, Timing},
};
