//! Work that depends on time alone.

use std::sync::Arc;

use model::Time;

use super::Dispatcher;

/// Time without any event after which the process counts as paused, in microseconds. Ticks come at
/// least every 100 ms.
const PAUSE_US: u64 = 1_000_000;

impl Dispatcher {
    /// Loads the first view, and notices pauses.
    pub(super) fn wake(&mut self, now: Time) {
        match self.last.replace(now) {
            None => self.set_view(now, Arc::clone(&self.view)),
            Some(last) if now.since_us(last) > PAUSE_US => self.resume(now),
            Some(_) => {}
        }
    }

    pub(super) fn tick(&mut self, now: Time) {
        self.callers.decay(now);
        self.reclaim(now);
        self.tick_claims(now);
        self.tell_heirs();
    }
}
