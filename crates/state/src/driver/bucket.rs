//! Limits the rate at which one instance appends to the log.

use model::Time;

/// Time after which one more append is allowed.
const REFILL_US: u64 = 1_000_000;
/// Appends that may be made at once after a quiet time.
const BURST_APPENDS: u64 = 10;

/// Token bucket that gains one token a second, up to ten. An append takes one token, regardless of
/// the number of its records.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens: u64,
    /// Time up to which tokens were added.
    refilled_until: Time,
}

impl TokenBucket {
    /// Creates a full bucket.
    #[must_use]
    pub const fn new(now: Time) -> Self {
        Self {
            tokens: BURST_APPENDS,
            refilled_until: now,
        }
    }

    /// Takes one token and returns whether there was one.
    pub fn take(&mut self, now: Time) -> bool {
        let refills = now.since_us(self.refilled_until) / REFILL_US;
        self.refilled_until = self.refilled_until.plus_us(refills * REFILL_US);
        self.tokens = (self.tokens + refills).min(BURST_APPENDS);
        if self.tokens == 0 {
            return false;
        }
        self.tokens -= 1;
        true
    }
}
