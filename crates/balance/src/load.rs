//! Load reports of targets, and the latency expected of a request to a target.

use model::Time;

use crate::MeanLoad;

/// Age from which a report no longer counts, in microseconds. The load that other processes put on
/// a target's machine changes within 300 ms.
const STALE_US: u64 = 300_000;
/// Fraction of busy slots above which the requests of a target are assumed to slow each other down.
const CONTENTION_START: f64 = 0.8;
/// Factor of that slowdown; between the usual speed and the factor 2 of a cold target.
const CONTENTION_FACTOR: f64 = 1.5;

/// A load report of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are waiting for a slot.
    pub waiting: u32,
    /// Requests that the target can run at a time.
    pub slots: u32,
    /// Current processing time of a request, in percent of the usual one. 100 is the usual speed.
    pub slowdown_percent: u32,
    /// When this instance received the report.
    pub reported_at: Time,
}

/// Expected latency of one request at a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyEstimate {
    /// Expected time until the response, in milliseconds.
    pub latency_ms: f64,
    /// Whether the request is expected to find a free slot.
    pub slot_free: bool,
}

impl Load {
    /// Returns whether the report is at most `age_us` old.
    #[must_use]
    pub fn is_fresh(&self, now: Time, age_us: u64) -> bool {
        now.since_us(self.reported_at) <= age_us
    }

    /// Estimates the latency of a request with a usual processing time of `processing_ms`.
    /// `unreported` is the number of requests sent after the report. The older the report, the more
    /// `mean` counts instead.
    #[must_use]
    pub fn estimate(
        &self,
        now: Time,
        processing_ms: f64,
        unreported: u32,
        mean: &MeanLoad,
    ) -> LatencyEstimate {
        let age = now.since_us(self.reported_at).min(STALE_US) as f64 / STALE_US as f64;
        let blend = |reported: f64, mean: f64| reported * (1.0 - age) + mean * age;
        let slots = f64::from(self.slots.max(1));
        let reported = f64::from(self.running + self.waiting);
        let ahead = blend(reported, mean.per_slot * slots) + f64::from(unreported);
        let slowdown = blend(
            f64::from(self.slowdown_percent.max(1)),
            mean.slowdown_percent,
        ) / 100.0;
        estimate(processing_ms, slowdown, ahead, slots)
    }
}

impl MeanLoad {
    /// Estimates the latency of a request at a target that has no load report. `in_flight` is the
    /// number of requests of this instance at the target.
    #[must_use]
    pub fn estimate(&self, processing_ms: f64, in_flight: u32, slots: u32) -> LatencyEstimate {
        let slots = f64::from(slots.max(1));
        let ahead = self.per_slot * slots + f64::from(in_flight);
        estimate(processing_ms, self.slowdown_percent / 100.0, ahead, slots)
    }
}

/// Estimates the latency of a request behind `ahead` running and waiting requests at a target whose
/// requests take `slowdown` times their usual processing time.
fn estimate(processing_ms: f64, slowdown: f64, ahead: f64, slots: f64) -> LatencyEstimate {
    let queued = (ahead + 1.0 - slots).max(0.0);
    let contention = if (ahead + 1.0) / slots > CONTENTION_START {
        CONTENTION_FACTOR
    } else {
        1.0
    };
    LatencyEstimate {
        latency_ms: processing_ms * slowdown * contention * (1.0 + queued / slots),
        slot_free: queued < 0.5,
    }
}

#[cfg(test)]
mod tests;
