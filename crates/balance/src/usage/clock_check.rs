//! Compares the clock of a collector with those of the others. Guards against a holder whose time of day
//! is wrong since its start, or was stepped and stays so: it would decide windows before they end, or
//! long after.

use std::collections::BTreeMap;

use model::{InstanceId, Time};

/// Time for which the clock of another instance counts after its last datagram, in microseconds.
const VALID_US: u64 = 10_000_000;
/// Difference from the median from which a clock is wrong, in microseconds. Datagrams wait for up to a
/// second at a busy instance, and a window is decided 4 s after its end.
const WRONG_US: u64 = 2_000_000;
/// Most instances whose clocks are compared. More would not change the median.
const MAX_CLOCKS: usize = 64;

/// How far the clocks of other instances are ahead, by their datagrams.
#[derive(Clone, Debug, Default)]
pub struct ClockCheck {
    ahead: BTreeMap<InstanceId, (Time, i64)>,
}

impl ClockCheck {
    /// Records the true time that a datagram states, which was read when it is `true_us` here.
    pub fn record(&mut self, from: &InstanceId, stated_us: u64, true_us: u64, now: Time) {
        self.ahead.retain(|_, (at, _)| now.since_us(*at) < VALID_US);
        if self.ahead.len() >= MAX_CLOCKS && !self.ahead.contains_key(from) {
            return;
        }
        let ahead = stated_us.cast_signed().wrapping_sub(true_us.cast_signed());
        self.ahead.insert(from.clone(), (now, ahead));
    }

    /// Returns how far the own clock is behind, in microseconds, if it differs too much from those of
    /// most others. Of two clocks, neither is known to be wrong.
    #[must_use]
    pub fn error_us(&self, now: Time) -> Option<i64> {
        let valid = self.ahead.values();
        let valid = valid.filter(|(at, _)| now.since_us(*at) < VALID_US);
        let mut ahead: Vec<i64> = valid.map(|(_, ahead)| *ahead).chain([0]).collect();
        ahead.sort_unstable();
        // With an even number, the one nearer to the own clock counts.
        let (low, high) = (ahead[(ahead.len() - 1) / 2], ahead[ahead.len() / 2]);
        let median = if low.unsigned_abs() < high.unsigned_abs() {
            low
        } else {
            high
        };
        (median.unsigned_abs() >= WRONG_US).then_some(median)
    }
}

#[cfg(test)]
mod tests;
