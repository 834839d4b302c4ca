//! Tells a holder that is cut off from most instances. It would report far too few requests.

use model::Time;

/// Time after which an earlier number of instances no longer counts, in microseconds.
const MEMORY_US: u64 = 60_000_000;
/// Time between two counts, in microseconds. Every instance counts, and the work grows with their number.
const COUNT_US: u64 = 1_000_000;
/// Part of the instances that must be left. Half of all may be killed at a time.
const MIN_SHARE: f64 = 0.4;

/// Highest number of live instances of the last minute or two.
#[derive(Clone, Copy, Debug, Default)]
pub struct LivePeak {
    /// Highest number in the running and in the previous period.
    peaks: [usize; 2],
    started: Time,
    /// Time of the latest count, and whether most of the others were gone then.
    counted: Option<Time>,
    is_cut_off: bool,
}

impl LivePeak {
    /// Records the number of live instances. Returns whether most of the others are gone.
    pub fn record(&mut self, live: impl FnOnce() -> usize, now: Time) -> bool {
        if self.counted.is_some_and(|at| now.since_us(at) < COUNT_US) {
            return self.is_cut_off;
        }
        self.counted = Some(now);
        let live = live();
        if now.since_us(self.started) >= MEMORY_US {
            self.peaks = [0, self.peaks[0]];
            self.started = now;
        }
        self.peaks[0] = self.peaks[0].max(live);
        let peak = self.peaks[0].max(self.peaks[1]);
        self.is_cut_off = (live as f64) < peak as f64 * MIN_SHARE;
        self.is_cut_off
    }
}

#[cfg(test)]
mod tests;
