//! Latencies of a route's first attempts over a sliding window. Addresses latencies that change within
//! the day: a fixed delay would hedge most requests of a slow hour and none of a fast one.

use std::collections::VecDeque;

use hdrhistogram::Histogram;
use model::Time;

/// Length of a slice, in microseconds.
const SLICE_US: u64 = 5_000_000;
/// Number of slices in the window. An instance of a large system has 14 requests a second of a usual
/// route, which makes 280 latencies.
const SLICES: usize = 4;
/// Number of latencies from which quantiles are known. The 0.95 quantile then has two above it.
const MIN_SAMPLES: u64 = 40;
/// Largest latency that is told from longer ones, in units of 100 microseconds.
const MAX_UNITS: u64 = 600_000;
/// Units in a millisecond.
const UNITS_PER_MS: f64 = 10.0;
/// Significant digits. One keeps values within 6% and a slice of a route within 1.2 KB.
const DIGITS: u8 = 1;

/// Latencies of a route over the last 15 to 20 s.
#[derive(Clone, Debug, Default)]
pub struct LatencyWindow {
    slices: VecDeque<(Time, Histogram<u32>)>,
}

impl LatencyWindow {
    /// Records the latency of a first attempt. For an attempt that was cancelled, `ms` is the time until
    /// then: without it, the quantile would fall with each hedge and ever more of them would be due.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the conversion saturates"
    )]
    pub fn record(&mut self, ms: f64, now: Time) {
        self.drop_expired(now);
        let is_current = |start: &Time| now.since_us(*start) < SLICE_US;
        if !self.slices.back().is_some_and(|(at, _)| is_current(at)) {
            let Ok(histogram) = Histogram::new_with_max(MAX_UNITS, DIGITS) else {
                return;
            };
            self.slices.push_back((now, histogram));
        }
        if let Some((_, histogram)) = self.slices.back_mut() {
            histogram.saturating_record((ms * UNITS_PER_MS) as u64);
        }
    }

    /// Removes the latencies that have left the window.
    pub fn drop_expired(&mut self, now: Time) {
        let is_expired = |start: Time| now.since_us(start) >= SLICE_US * SLICES as u64;
        while self.slices.front().is_some_and(|(at, _)| is_expired(*at)) {
            self.slices.pop_front();
        }
    }

    /// Returns the latency, in milliseconds, that the fraction `quantile` of the attempts did not
    /// exceed, or `None` while there are too few.
    #[must_use]
    pub fn quantile_ms(&self, quantile: f64) -> Option<f64> {
        let mut slices = self.slices.iter().map(|(_, histogram)| histogram);
        let mut sum = slices.next()?.clone();
        for slice in slices {
            // Fails only for values outside the range, which is that of all slices.
            let _ = sum.add(slice);
        }
        let is_known = sum.len() >= MIN_SAMPLES;
        is_known.then(|| sum.value_at_quantile(quantile) as f64 / UNITS_PER_MS)
    }

    /// Returns whether there are no latencies in the window.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slices.is_empty()
    }
}
