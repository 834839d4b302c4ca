//! One task for each service owns that service's dispatcher; calls reach it over a channel.

mod meter;
mod msg;
mod tally;
mod task;

pub use self::{
    msg::{DispatchMsg, Reply},
    task::spawn_dispatcher,
};
