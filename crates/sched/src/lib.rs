//! Scheduling of batch tasks: where each task runs, and which ones are throttled
//! or evicted. Pure functions over the tables of a cell; the caller passes the
//! time.

mod estimates;
mod place;
mod plan;
mod protect;
mod queue;

pub use crate::{
    estimates::{Estimates, SampleWindow},
    plan::{Assignment, Decision, Eviction, Plan, Policy, Speed, View, plan},
};
