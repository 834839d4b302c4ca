//! The instance: listeners, connection pools, dispatcher tasks and the control thread. Decisions
//! are made by `policy` and `state`; this crate moves bytes and events.

mod addresses;
mod admin;
mod call;
mod cancel;
mod clock;
mod connection;
mod context;
mod control;
mod dispatch;
#[cfg(test)]
mod fixtures;
mod listener;
mod logging;
mod metrics;
mod node;
mod peer;
mod pool;
mod snapshot;
mod stop;
mod tap;
mod ticks;

pub use crate::{
    cancel::Token,
    logging::init_logging,
    node::{Node, NodeError},
    stop::Stopped,
};
