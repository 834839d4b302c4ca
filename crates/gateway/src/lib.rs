//! The gateway: forwards requests of callers, by host and path, to targets that are registered in
//! the platform's store. All tasks of an instance run on one thread. Decisions without I/O are in
//! `balance`.

#![expect(
    clippy::cast_precision_loss,
    reason = "times in microseconds and counts stay far below 2^52"
)]

mod admission;
mod announce;
mod attempt;
mod attempt_log;
mod attempt_permit;
mod backoff;
mod buffer_share;
mod caller;
mod clock;
mod collecting;
mod crash_check;
mod crashes;
mod datagrams;
mod digest;
mod digest_apply;
mod endpoints;
mod entries;
mod entries_apply;
mod entries_sender;
mod entries_update;
mod entries_wait;
#[cfg(test)]
mod example;
mod exchange;
mod explain;
mod forward;
mod hedging;
mod join;
mod known_records;
mod limit_report;
mod line_budget;
mod line_class;
mod listing_log;
mod logs;
mod metrics;
mod notices;
mod operator_age;
mod operator_records;
mod orders_apply;
mod outcome;
mod peer_forward;
mod peer_records;
mod peers;
mod pending_outcome;
mod phase;
mod pool;
mod probe;
mod reach;
mod refusal;
mod report;
mod reporting;
mod request;
mod resources;
mod response;
mod response_bytes;
mod returns;
mod returns_settings;
mod rollouts;
mod roster;
mod run;
mod scheduling;
mod selection;
mod send_limits;
mod settings;
mod snapshot;
mod start_progress;
mod state;
mod stop_counts;
mod store_era;
mod suspect_trial;
mod target_limits;
mod target_stream;
mod usage;
mod version_filter;
mod wire_format;
mod workspaces;

pub use crate::{
    logs::{LogFlush, init_logging},
    run::{RunError, run},
    settings::{Settings, SettingsError},
};
