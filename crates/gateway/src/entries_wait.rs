//! Holds a request while the entries of targets are so old that its target may have left, and this
//! instance can still read newer ones.

use std::time::Duration;

use async_std::task;
use tracing::warn;

use crate::{line_class::REQUESTS, state::State};

/// Time for a request from the check of the entries to its target, in microseconds.
const SEND_US: u64 = 250_000;
/// Time after which a read without an answer counts as failed, in microseconds. The store answers
/// within milliseconds, and within a quarter of a second when it is slow.
const ANSWER_US: u64 = 250_000;
/// Time between two checks whether the entries have been read.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until the entries are recent enough to send a request. Without the store, the request is
/// sent nevertheless: an old view serves most requests, and no view serves none.
pub async fn await_recent_entries(state: &State) {
    if !must_wait(state) {
        return;
    }
    let start = state.now();
    let age_ms = state.entries_age_us().unwrap_or_default() / 1_000;
    while must_wait(state) && state.now().since_us(start) < 2 * ANSWER_US {
        if state.entries_asked.get().is_none() {
            state.request_entries();
        }
        task::sleep(CHECK_INTERVAL).await;
    }
    let waited_ms = state.now().since_us(start) / 1_000;
    warn!(target: REQUESTS, event = "entries_awaited", age_ms, waited_ms);
}

/// Whether the entries are too old to send a request, and a read of newer ones has not failed.
fn must_wait(state: &State) -> bool {
    let limit_us = state.settings.leave_us().saturating_sub(SEND_US);
    let is_old = state.entries_age_us().is_some_and(|age| age > limit_us);
    let now = state.now();
    let is_unanswered = |asked| now.since_us(asked) > ANSWER_US;
    is_old
        && state.is_settled()
        && !state.entries_failed.get()
        && !state.entries_asked.get().is_some_and(is_unanswered)
}

#[cfg(test)]
mod tests;
