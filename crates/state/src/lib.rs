//! Shared state of the instances: the fold of log records into a state, the membership, the views
//! for dispatchers, and the driver of version moves. State machines without I/O or clocks of their
//! own.

mod applied;
mod assembly;
mod audit;
mod driver;
mod fold;
mod members;
mod outcomes;
#[cfg(test)]
mod samples;
mod snapshot;
mod state;
mod views;

pub use crate::{
    applied::Applied,
    driver::{Driver, DriverInput, DriverOutput, MoveEvidence, TokenBucket},
    fold::{Fold, MoveState, Outcome, ServiceState, TenantState, ZoneState},
    members::{InstanceView, Members, MembersView, Observation, Presence, TargetEntry},
    outcomes::{Proposal, Scope},
    snapshot::{SNAPSHOT_INTERVAL, snapshot_wait_ms},
    state::State,
    views::{InstanceAddr, ViewInput, Views, is_past_deadline, views},
};
