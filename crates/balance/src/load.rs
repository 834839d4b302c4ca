//! What is known of a target's load, and how long a request would take there.

use model::Time;

use crate::MeanLoad;

/// Age from which a report says nothing, in microseconds. Neighbours' load shifts within 300 ms.
const STALE_US: u64 = 300_000;
/// Share of busy slots from which targets are assumed to slow each other down.
const KNEE: f64 = 0.8;
/// Slowdown assumed above the knee; between the usual speed and the 2x of a cold target.
const KNEE_SLOWDOWN: f64 = 1.5;

/// A load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Slots.
    pub slots: u32,
    /// How long work takes, in percent of the usual.
    pub slowdown_percent: u32,
    /// When the report was made.
    pub reported_at: Time,
}

/// What a request would meet at a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyEstimate {
    /// Expected time until the response, in milliseconds.
    pub latency_ms: f64,
    /// Whether a slot is expected to be free.
    pub slot_free: bool,
}

impl Load {
    /// Whether the report is not older than `age_us`.
    #[must_use]
    pub fn is_fresh(&self, now: Time, age_us: u64) -> bool {
        now.since_us(self.reported_at) <= age_us
    }

    /// What a request of `work_ms` would meet. The older the report, the more `prior` counts instead;
    /// `unseen` requests came after the report.
    #[must_use]
    pub fn estimate(
        &self,
        now: Time,
        work_ms: f64,
        unseen: u32,
        prior: &MeanLoad,
    ) -> LatencyEstimate {
        let age = now.since_us(self.reported_at).min(STALE_US) as f64 / STALE_US as f64;
        let blend = |own: f64, mean: f64| own * (1.0 - age) + mean * age;
        let slots = f64::from(self.slots.max(1));
        let reported = f64::from(self.running + self.waiting);
        let ahead = blend(reported, prior.per_slot * slots) + f64::from(unseen);
        let pace = blend(
            f64::from(self.slowdown_percent.max(1)),
            prior.slowdown_percent,
        ) / 100.0;
        expect(work_ms, pace, ahead, slots)
    }
}

impl MeanLoad {
    /// What a request would meet at a target of which nothing but `unseen` requests is known.
    #[must_use]
    pub fn estimate(&self, work_ms: f64, unseen: u32, slots: u32) -> LatencyEstimate {
        let slots = f64::from(slots.max(1));
        let ahead = self.per_slot * slots + f64::from(unseen);
        expect(work_ms, self.slowdown_percent / 100.0, ahead, slots)
    }
}

fn expect(work_ms: f64, pace: f64, ahead: f64, slots: f64) -> LatencyEstimate {
    let queued = (ahead + 1.0 - slots).max(0.0);
    let knee = if (ahead + 1.0) / slots > KNEE {
        KNEE_SLOWDOWN
    } else {
        1.0
    };
    LatencyEstimate {
        latency_ms: work_ms * pace * knee * (1.0 + queued / slots),
        slot_free: queued < 0.5,
    }
}

#[cfg(test)]
mod tests;
