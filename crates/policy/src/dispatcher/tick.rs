//! Periodic work, and detection of pauses of the process.

use std::sync::Arc;

use model::Time;

use super::Dispatcher;

/// Time without any event, in microseconds, that shows that the process was paused. Ticks come at
/// least every 100 ms.
const PAUSE_THRESHOLD_US: u64 = 1_000_000;

impl Dispatcher {
    /// Applies the initial view at the first event. At later events, detects whether the process
    /// was paused.
    pub(super) fn initialize_or_check_pause(&mut self, now: Time) {
        match self.last_event.replace(now) {
            None => self.set_view(now, Arc::clone(&self.view)),
            Some(last) if now.since_us(last) > PAUSE_THRESHOLD_US => self.resume_after_pause(now),
            Some(_) => {}
        }
    }

    /// Handles a tick: decays the use by callers, expires loans and updates claims and handovers.
    pub(super) fn tick(&mut self, now: Time) {
        self.callers.decay(now);
        self.reclaim_loans(now);
        self.update_claims(now);
        self.report_to_new_owners();
    }
}
