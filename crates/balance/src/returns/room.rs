//! Room of a service: how much work its targets do in a slot. Addresses targets that are lost, cold or
//! slowed down by other load while callers wait to return.

use super::slot::SLOT_MS;
use crate::MeanLoad;

/// Part of the room that is given out. The rest absorbs processing times that are longer than usual.
const USED_SHARE: f64 = 0.95;
/// Running and waiting requests for each slot from which a service is under pressure.
const PRESSURE: f64 = 0.85;

/// Room of the usable targets of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Room {
    /// Work done in a slot of time, in milliseconds at the usual speed.
    pub work_ms: f64,
    /// Mean of the requests that wait for each slot of a target.
    waiting: f64,
    /// Factor of the processing time at this moment.
    slowdown: f64,
    /// Whether nearly all slots of the targets are taken.
    pub is_short: bool,
}

impl Room {
    /// Returns the room of targets that run `slots` requests at a time, with this mean load.
    #[must_use]
    pub fn of(slots: u32, mean: &MeanLoad) -> Self {
        let slowdown = (mean.slowdown_percent / 100.0).max(0.01);
        Self {
            work_ms: f64::from(slots) * SLOT_MS as f64 / slowdown * USED_SHARE,
            waiting: (mean.per_slot - 1.0).max(0.0),
            slowdown,
            is_short: mean.per_slot >= PRESSURE,
        }
    }

    /// Returns the expected wait of a request behind those that wait now, in milliseconds, if each takes
    /// `work_ms`.
    pub(super) fn wait_ms(&self, work_ms: f64) -> f64 {
        self.waiting * self.slowdown * work_ms
    }
}
