//! Shared state of all instances: the fold over log records, the membership view, the views that
//! dispatchers work from, and the driver of version moves. State machines without I/O or clocks.

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
    members::{InstanceView, Members, MembersView, Presence, Sighting, TargetEntry},
    outcomes::{Proposal, Scope},
    snapshot::{SNAPSHOT_RECORDS, snapshot_wait_ms},
    state::State,
    views::{Home, ViewInput, Views, is_late, views},
};
