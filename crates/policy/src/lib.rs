//! Decisions for each call: which target runs it and when, what is refused, what is retried. State
//! machines without I/O or clocks: they take events and the current time and return actions.

mod action;
mod call;
mod dispatcher;
mod event;
mod homes;
pub mod moves;
mod report;
mod service_view;
mod target_view;

pub use crate::{
    action::Action,
    call::{Call, CallId},
    dispatcher::Dispatcher,
    event::Event,
    homes::{home_instances, owner_of},
    report::{End, Report},
    service_view::{MoveShare, ServiceView},
    target_view::{TargetState, TargetView},
};
