//! I/O of usage reports: counts the requests that targets began, tells the collectors, and lets the
//! holder among them report to the platform. Nothing is counted or sent without `usage.address` in the
//! settings. Decisions are in `balance::usage`.

mod begun_guard;
mod datagram;
mod holding;
mod names;
mod peak;
mod sending;
mod usage_settings;
mod usage_state;

use balance::usage::Moment;
use model::Time;

use crate::state::State;

pub use self::{
    begun_guard::BegunGuard,
    datagram::UsageDatagram,
    holding::{hold_claim, send_reports},
    names::UsageNames,
    peak::LivePeak,
    sending::send_tallies,
    usage_settings::UsageSettings,
    usage_state::UsageState,
};

/// Counts a request of a workspace that a target began, and that was sent at `sent_at`. Requests
/// without a workspace are not counted.
pub fn record_begun(state: &State, workspace: Option<&str>, sent_at: Time) {
    let (Some(usage), Some(workspace)) = (&state.usage, workspace) else {
        return;
    };
    let clock = *usage.clock.borrow();
    let window_at = |at| usage.bounds.window_at(clock.true_us(at));
    let hash = usage.names.borrow_mut().add(workspace);
    let mut tallies = usage.tallies.borrow_mut();
    tallies.record(window_at(sent_at), hash, window_at(state.now()));
    state.metrics.count("usage_begun", 1);
}

/// Takes the totals of another instance.
pub fn apply_tallies(state: &State, datagram: &UsageDatagram) {
    let Some(usage) = &state.usage else { return };
    let at = moment(state, usage);
    let present = usage.bounds.window_at(at.true_us);
    if datagram.instance != *state.instance_id() && usage.is_running(at.now) {
        let mut check = usage.clock_check.borrow_mut();
        check.record(&datagram.instance, datagram.true_us, at.true_us, at.now);
    }
    let mut totals = usage.totals.borrow_mut();
    let (instance, incarnation) = (&datagram.instance, datagram.incarnation);
    totals.record(instance, incarnation, &datagram.windows, present);
}

/// Returns the present on both clocks.
fn moment(state: &State, usage: &UsageState) -> Moment {
    let now = state.now();
    let true_us = usage.clock.borrow().true_us(now);
    Moment { now, true_us }
}
