//! The instance: listeners, connection pools, dispatcher tasks and the control thread. The crates
//! `policy` and `state` make the decisions; this crate does the I/O and delivers events to them.

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
