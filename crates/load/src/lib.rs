//! Load generator: sends service requests at random times from a fixed seed, and
//! reports latency percentiles and outcomes.

mod error;
mod requests;

pub use crate::{
    error::Error,
    requests::{Params, Report, run},
};
