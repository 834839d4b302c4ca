//! Decisions of the gateway, without I/O or clocks: which route a request takes, which target it goes
//! to, how many second sends the system may make, how a new version is taken in, and which instances
//! callers are told of.

#![expect(
    clippy::cast_precision_loss,
    reason = "times in microseconds and counts stay far below 2^52"
)]

mod admission;
mod budget;
mod budget_use;
mod caller_limits;
mod candidate;
mod cold_gate;
mod evidence;
mod fleet_use;
mod health;
mod hedge;
mod load;
mod manifest;
mod members;
mod order;
mod part;
mod prior;
mod rollout;
mod route;
mod service_spec;
mod sizes;
mod target_entry;
mod targets;
mod work;
mod work_times;

pub use crate::{
    admission::AdmitLimits,
    budget::RetryBudget,
    budget_use::BudgetUse,
    caller_limits::CallerLimits,
    candidate::Candidate,
    cold_gate::ColdGate,
    evidence::{Evidence, Tally},
    fleet_use::FleetUse,
    health::Health,
    hedge::hedge_after_ms,
    load::{Load, Outlook},
    manifest::Manifest,
    members::{Member, Members, Presence},
    order::{Order, Verdict},
    part::{Part, pick_part},
    prior::Prior,
    rollout::{Rollout, Stage},
    route::Route,
    service_spec::ServiceSpec,
    sizes::Sizes,
    target_entry::TargetEntry,
    targets::{Target, Targets},
    work::Work,
    work_times::WorkTimes,
};
