//! Routing decisions of an entry VM: which backend server receives a request,
//! whether a request may be retried or hedged, and how many slots to request from
//! the cells. No I/O; the caller passes the time.

mod budget;
mod demand;
mod target;

pub use crate::{
    budget::RetryBudget,
    demand::Demand,
    target::{Features, Pick, Target, Targets, Tier},
};
