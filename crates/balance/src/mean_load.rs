//! Mean load of a service's targets, which stands in for the report of a target that has no recent
//! one.

use model::Time;

use crate::{Load, Target};

/// Age up to which a report counts as recent, in microseconds.
const RECENT_US: u64 = 400_000;

/// Mean load of the targets of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeanLoad {
    /// Running and waiting requests for each slot.
    pub per_slot: f64,
    /// Current processing time of a request, in percent of the usual one.
    pub slowdown_percent: f64,
}

impl Default for MeanLoad {
    /// Returns the load of idle targets, which is assumed while there is no report at all.
    fn default() -> Self {
        Self {
            per_slot: 0.0,
            slowdown_percent: 100.0,
        }
    }
}

impl MeanLoad {
    /// Returns the mean of the recent reports of `targets`.
    pub fn of<'a>(targets: impl Iterator<Item = &'a Target>, now: Time) -> Self {
        let (mut count, mut per_slot, mut slowdown_percent) = (0.0, 0.0, 0.0);
        let recent = |load: &Load| load.is_fresh(now, RECENT_US);
        for load in targets.filter_map(|t| t.load).filter(recent) {
            count += 1.0;
            per_slot += f64::from(load.running + load.waiting) / f64::from(load.slots.max(1));
            slowdown_percent += f64::from(load.slowdown_percent);
        }
        if count < 1.0 {
            return Self::default();
        }
        Self {
            per_slot: per_slot / count,
            slowdown_percent: slowdown_percent / count,
        }
    }
}
