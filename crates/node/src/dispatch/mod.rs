//! Dispatcher tasks. One task for each service owns the service's dispatcher and receives its messages
//! over a channel.

mod attempt_summary;
mod msg;
mod stats_reporter;
mod task;

pub use self::{
    msg::{DispatchMsg, Reply},
    task::spawn_dispatcher,
};
