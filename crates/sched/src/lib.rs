//! Decisions about batch work: which task runs where, which one is slowed or
//! evicted. Plain functions over a cell's tables with the time passed in.

mod learn;
mod place;
mod plan;
mod protect;
mod queue;

pub use crate::{
    learn::{Learn, Sample},
    plan::{Assign, Decision, Eviction, Plan, Policy, Speed, View, plan},
};
