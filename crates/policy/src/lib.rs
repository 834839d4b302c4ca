//! Decides for each call which target runs it and when, and whether it is refused, retried or
//! hedged.
//!
//! [`Dispatcher`] is a state machine without I/O or a clock: it takes an [`Event`] and the current
//! time and returns [`Action`]s. [`moves`] compares the two versions of a move.

mod action;
mod attempt_budget;
mod attempt_report;
mod borrowed_slot;
mod call;
mod caller_usage;
mod class_state;
mod dispatcher;
mod event;
mod health;
mod inherited_calls;
mod invariant;
mod lender_state;
mod lent_slot;
mod limit;
mod message_budget;
mod message_priority;
pub mod moves;
mod owners;
mod ownership;
mod peer_demand;
mod queue;
mod running_call;
mod service_view;
mod stats;
mod target;
mod target_selection;
mod target_view;
mod version_split;
mod waiting_call;

pub use crate::{
    action::Action,
    attempt_report::{AttemptEnd, AttemptReport},
    call::{Call, CallId},
    dispatcher::Dispatcher,
    event::Event,
    owners::{owner_instances, owner_of},
    service_view::{ActiveMove, ServiceView},
    stats::Stats,
    target_selection::TargetSelection,
    target_view::{TargetState, TargetView},
};
