//! What is expected of a target without a recent report: the mean of the recent reports of its service.

use model::Time;

use crate::{Load, Target};

/// Age up to which a report counts as recent, in microseconds.
const RECENT_US: u64 = 400_000;

/// Mean load of the targets of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeanLoad {
    /// Requests running and waiting for each slot.
    pub per_slot: f64,
    /// Pace, in percent.
    pub slowdown_percent: f64,
}

impl Default for MeanLoad {
    /// Without any report, targets are taken as idle.
    fn default() -> Self {
        Self {
            per_slot: 0.0,
            slowdown_percent: 100.0,
        }
    }
}

impl MeanLoad {
    /// The mean over `targets`.
    pub fn of<'a>(targets: impl Iterator<Item = &'a Target>, now: Time) -> Self {
        let (mut count, mut per_slot, mut pace) = (0.0, 0.0, 0.0);
        let recent = |load: &Load| load.is_fresh(now, RECENT_US);
        for load in targets.filter_map(|t| t.load).filter(recent) {
            count += 1.0;
            per_slot += f64::from(load.running + load.waiting) / f64::from(load.slots.max(1));
            pace += f64::from(load.slowdown_percent);
        }
        if count < 1.0 {
            return Self::default();
        }
        Self {
            per_slot: per_slot / count,
            slowdown_percent: pace / count,
        }
    }
}
