//! Routing decisions of an entry VM: which backend server gets a request,
//! whether a request may be repeated, and how many slots to ask for. Plain
//! tables and functions with the time passed in.

mod budget;
mod demand;
mod target;

pub use crate::{
    budget::Budget,
    demand::Demand,
    target::{Features, Pick, Target, Targets, Tier},
};
