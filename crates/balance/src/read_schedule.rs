//! When an instance reads the entries of targets from the store. Since every read costs money, two
//! instances read in turn and tell the others. An instance that is told nothing reads for itself.

use std::ops::RangeInclusive;

/// Instances that read for all. With two, updates continue when one of them ends.
const READERS: usize = 2;
/// Instances that tell the others what they read: the readers, and the first two to take over when
/// both readers have ended.
const TELLERS: usize = 4;
/// Age of the entries at which a reader reads if the other one has read last, in microseconds.
const TURN_AGE_US: u64 = 450_000;
/// Age of the entries at which a reader reads if it has read last itself, in microseconds. The
/// other reader had its turn before.
const OWN_AGE_US: u64 = 900_000;
/// Largest change of the age at which a reader reads, in percent, so that readers that read at the
/// same time once do not go on to do so.
const JITTER_PERCENT: u64 = 10;
/// Age of the entries from which an instance that is no reader reads, in microseconds. If both
/// readers end, this read is still in time to stop requests to a leaving target.
const TAKEOVER_AGE_US: u64 = 1_200_000;
/// Increase of that age for each doubling of an instance's rank, in microseconds. The first
/// instances to take over tell the others, so that a hundred instances do not all read.
const TAKEOVER_STEP_US: u64 = 60_000;

/// When the instance of a rank reads the entries.
#[derive(Clone, Copy, Debug)]
pub struct ReadSchedule {
    /// Number of instances that come before this one.
    pub rank: usize,
    /// Random number from [`Self::DRAWS`], drawn anew for each read.
    pub draw: u64,
}

impl ReadSchedule {
    /// Range of the random numbers.
    pub const DRAWS: RangeInclusive<u64> = 0..=2 * JITTER_PERCENT;

    /// Returns the age of the entries at which the instance reads, in microseconds. `is_own` states
    /// whether the entries are as recent as they are because of its own read.
    #[must_use]
    pub fn read_age_us(&self, is_own: bool) -> u64 {
        if !self.is_reader() {
            let doublings = u64::from((self.rank + 1).ilog2());
            return TAKEOVER_AGE_US + TAKEOVER_STEP_US * doublings;
        }
        let age_us = if is_own { OWN_AGE_US } else { TURN_AGE_US };
        age_us * (100 - JITTER_PERCENT + self.draw) / 100
    }

    /// Whether the instance reads all the time.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        self.rank < READERS
    }

    /// Whether the instance tells the others what it has read.
    #[must_use]
    pub fn is_teller(&self) -> bool {
        self.rank < TELLERS
    }
}

#[cfg(test)]
mod tests;
