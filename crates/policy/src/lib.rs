//! Decisions for each call: which target runs it and when, what is refused, what is retried. State
//! machines without I/O or clocks: they take events and the current time and return actions.

mod action;
mod borrowed;
mod budget;
mod call;
mod callers;
mod class_state;
mod credit;
mod dispatcher;
mod event;
mod health;
mod hold;
mod homes;
mod inherited;
mod invariant;
mod lender;
mod lent;
mod limit;
mod pick;
mod queue;
mod report;
mod running;
mod service_view;
mod split;
mod stats;
mod target;
mod target_view;
mod urgency;
mod waiting;
mod wish;

pub use crate::{
    action::Action,
    call::{Call, CallId},
    dispatcher::Dispatcher,
    event::Event,
    homes::{home_instances, owner_of},
    pick::Pick,
    report::{End, Report},
    service_view::{MoveShare, ServiceView},
    stats::Stats,
    target_view::{TargetState, TargetView},
};
