//! Work that depends on time alone.

use std::sync::Arc;

use model::Time;

use super::Dispatcher;

/// Time without any event after which the process counts as paused, in microseconds. Ticks come at
/// least every 100 ms.
const PAUSE_THRESHOLD_US: u64 = 1_000_000;

impl Dispatcher {
    /// Loads the first view, and notices pauses.
    pub(super) fn detect_pause(&mut self, now: Time) {
        match self.last_event.replace(now) {
            None => self.set_view(now, Arc::clone(&self.view)),
            Some(last) if now.since_us(last) > PAUSE_THRESHOLD_US => self.resume_after_pause(now),
            Some(_) => {}
        }
    }

    pub(super) fn tick(&mut self, now: Time) {
        self.callers.decay(now);
        self.reclaim_loans(now);
        self.update_claims(now);
        self.report_to_new_owners();
    }
}
