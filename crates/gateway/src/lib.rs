//! The gateway: takes requests of callers by host and path, and passes them on to targets that are
//! registered in the platform's store. All tasks of an instance run on one thread; what they decide is
//! in `balance`.

#![expect(
    clippy::cast_precision_loss,
    reason = "times in microseconds and counts stay far below 2^52"
)]

mod backoff;
mod beat;
mod call;
mod caller;
mod choose;
mod clock;
mod entries;
mod entries_part;
#[cfg(test)]
mod example;
mod exchange;
mod extra;
mod flight;
mod job;
mod logs;
mod metrics;
mod orders;
mod outcome;
mod peers;
mod phase;
mod pool;
mod probe;
mod reply;
mod rollouts;
mod run;
mod serving;
mod settings;
mod state;
mod story;
mod version_rule;

pub use crate::{
    logs::init_logging,
    run::{RunError, run},
    settings::{Settings, SettingsError},
};
