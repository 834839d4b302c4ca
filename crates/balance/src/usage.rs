//! Usage reports: how many requests of each workspace began to run in each window of true time.
//! Every instance counts, the collectors add up, and one of them at a time reports to the platform.
//!
//! These modules hold the decisions, without I/O and clocks. Two different reports of one window and
//! a token that falls must never happen, whatever fails; a late or missing report is a minor loss.

mod append_outcome;
mod bounds;
mod call_outcome;
mod claim;
mod clock_check;
mod holder;
mod listing;
mod log_view;
mod moment;
mod outbox;
mod pending;
mod record;
mod report;
mod store_step;
mod tallies;
mod totals;
mod window_clock;

pub use self::{
    append_outcome::AppendOutcome,
    bounds::UsageBounds,
    call_outcome::CallOutcome,
    claim::Claim,
    clock_check::ClockCheck,
    holder::UsageHolder,
    listing::UsageListing,
    moment::Moment,
    record::{SLOTS, UsageRecord},
    report::UsageReport,
    store_step::StoreStep,
    tallies::{UsageTallies, WindowTally},
    totals::UsageTotals,
    window_clock::WindowClock,
};
