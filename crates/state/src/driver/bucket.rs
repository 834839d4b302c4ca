//! Bounds the appends of one instance.

use model::Time;

/// Time in which one append becomes available.
const REFILL_US: u64 = 1_000_000;
/// Appends that may follow each other at once.
const BURST: u64 = 10;

/// Token bucket of 1/s and burst 10, one token for each append whatever its records.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens: u64,
    /// Time up to which refills were counted.
    counted: Time,
}

impl TokenBucket {
    /// A full bucket.
    #[must_use]
    pub const fn new(now: Time) -> Self {
        Self {
            tokens: BURST,
            counted: now,
        }
    }

    /// Takes one token if there is one.
    pub fn take(&mut self, now: Time) -> bool {
        let refills = now.since_us(self.counted) / REFILL_US;
        self.counted = self.counted.plus_us(refills * REFILL_US);
        self.tokens = (self.tokens + refills).min(BURST);
        if self.tokens == 0 {
            return false;
        }
        self.tokens -= 1;
        true
    }
}
