//! When an instance reads the operator's records from the store. A few instances wait for them there
//! and tell the others for how long they may be out of date. Whoever learns that from nobody reads for
//! itself, whatever the reason.

use crate::COLLECTORS;

/// Time that reports and digests may take beyond their interval, in milliseconds.
const TRANSIT_MS: u64 = 200;
/// Increase of the age at which an instance reads for each doubling of its rank, in milliseconds. What
/// the first ones read reaches the others, so that a hundred instances do not all read.
const TAKEOVER_STEP_MS: u64 = 50;
/// Shortest time between a failed read and the next one, in milliseconds.
const RETRY_MS: u64 = 700;
/// Increase of that time for each doubling of an instance's rank, in milliseconds. An instance must be
/// up to date 3 s after it can reach the store again.
const RETRY_STEP_MS: u64 = 300;

/// When the instance of a rank reads the operator's records.
#[derive(Clone, Copy, Debug)]
pub struct FollowSchedule {
    /// Number of instances that come before this one.
    pub rank: usize,
    /// Interval of reports and digests, in milliseconds.
    pub interval_ms: u64,
}

impl FollowSchedule {
    /// Longest wait for a new record in one read, in milliseconds.
    pub const WAIT_MS: u64 = 800;

    /// Whether the instance waits for new records at the store all the time.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        self.rank < COLLECTORS
    }

    /// Returns the age of the operator's records at which an instance that does not wait for them
    /// reads them, in milliseconds. They get as old as the wait, an interval and the transit together
    /// while those that wait are well.
    #[must_use]
    pub fn read_age_ms(&self) -> u64 {
        let age_ms = Self::WAIT_MS + self.interval_ms + TRANSIT_MS;
        age_ms + TAKEOVER_STEP_MS * self.doublings()
    }

    /// Returns the time from a failed read to the next one, in milliseconds.
    #[must_use]
    pub fn retry_ms(&self) -> u64 {
        RETRY_MS + RETRY_STEP_MS * self.doublings()
    }

    fn doublings(&self) -> u64 {
        u64::from((self.rank + 1).ilog2())
    }
}

#[cfg(test)]
mod tests;
