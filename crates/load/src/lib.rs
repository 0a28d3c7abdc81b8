//! The load and experiment tool: callers and jobs with fixed seeds, latency
//! percentiles and comparisons with a baseline.

mod error;
mod requests;

pub use crate::{
    error::Error,
    requests::{Plan, Report, requests},
};
