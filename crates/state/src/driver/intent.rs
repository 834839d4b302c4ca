//! A proposal that this instance is going to make.

use model::Time;

/// Time after which a proposal that did not come back is made again, doubled with each try.
const RETRY_MS: u64 = 2_000;
const MAX_RETRY_MS: u64 = 8_000;

/// When the proposal is to be made, for the first time or again.
#[derive(Clone, Copy, Debug)]
pub(super) struct Intent {
    due: Time,
    retry_ms: u64,
}

impl Intent {
    pub(super) const fn new(due: Time) -> Self {
        Self {
            due,
            retry_ms: RETRY_MS,
        }
    }

    pub(super) fn is_due(self, now: Time) -> bool {
        now >= self.due
    }

    /// Notes that the proposal is made now.
    pub(super) fn note_made(&mut self, now: Time, jitter_ms: u64) {
        self.due = now.plus_ms(self.retry_ms + jitter_ms);
        self.retry_ms = (self.retry_ms * 2).min(MAX_RETRY_MS);
    }
}
