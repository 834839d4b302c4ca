//! What is known of a target's load, and how long a request would take there.

use model::Time;

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
    pub pace: u32,
    /// When the report was made.
    pub at: Time,
}

/// What a request would meet at a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outlook {
    /// Expected time until the response, in milliseconds.
    pub ms: f64,
    /// Whether a slot is expected to be free.
    pub is_free: bool,
}

impl Load {
    /// Whether the report is not older than `age_us`.
    #[must_use]
    pub fn is_fresh(&self, now: Time, age_us: u64) -> bool {
        now.since_us(self.at) <= age_us
    }

    /// What a request of `work_ms` would meet, if the report still holds and `unseen` requests came
    /// after it.
    #[must_use]
    pub fn outlook(&self, now: Time, work_ms: f64, unseen: u32) -> Outlook {
        let trust = 1.0 - (now.since_us(self.at).min(STALE_US) as f64 / STALE_US as f64);
        let pace = 1.0 + (f64::from(self.pace.max(1)) / 100.0 - 1.0) * trust;
        let slots = f64::from(self.slots.max(1));
        let ahead = f64::from(self.running + self.waiting) * trust.max(0.3) + f64::from(unseen);
        let queued = (ahead + 1.0 - slots).max(0.0);
        let knee = if (ahead + 1.0) / slots > KNEE {
            KNEE_SLOWDOWN
        } else {
            1.0
        };
        Outlook {
            ms: work_ms * pace * knee * (1.0 + queued / slots),
            is_free: queued < 1.0,
        }
    }
}

#[cfg(test)]
mod tests;
