//! Evidence that this instance has about one version move.

use std::collections::BTreeMap;

use model::{InstanceId, Time};
use policy::moves::{Evidence, Side, SlowThresholds, VersionComparison, assess};
use state::{MoveEvidence, MoveState};

use crate::control::Sample;

/// Counters, slowness thresholds and the comparison of the two versions of one move.
#[derive(Debug)]
pub struct MoveWatch {
    /// Counters of this and all other instances.
    pub evidence: Evidence,
    slow_thresholds: SlowThresholds,
    comparison: VersionComparison,
}

/// Watches by move id.
pub type MoveWatches = BTreeMap<String, MoveWatch>;

impl MoveWatch {
    /// Creates a watch without evidence.
    pub fn new(version_move: &MoveState, me: &InstanceId, incarnation: u64) -> Self {
        Self {
            evidence: Evidence::new(&version_move.from, &version_move.to, me, incarnation),
            slow_thresholds: SlowThresholds::default(),
            comparison: VersionComparison::default(),
        }
    }

    /// Adds attempts of this instance to the evidence.
    pub fn count(&mut self, samples: &[Sample]) {
        for sample in samples {
            let Some(side) = self.evidence.side(&sample.version) else {
                continue;
            };
            let us = sample.service_us;
            if sample.cancelled {
                if !sample.cold && self.slow_thresholds.exceeds(&sample.route, us) {
                    self.evidence.count(side, &sample.route, false, true);
                }
                continue;
            }
            let timed = !sample.error && !sample.cold;
            let slow = timed && self.slow_thresholds.record(side, &sample.route, us);
            self.evidence.count(side, &sample.route, sample.error, slow);
        }
    }

    /// Assesses the move by its evidence, with `share` as the share of the new version.
    pub fn assess_at(&mut self, share: u16, now: Time) -> MoveEvidence {
        let assessment = assess(&mut self.comparison, &self.evidence, share, now).clone();
        MoveEvidence {
            assessment,
            defer_step: self.comparison.defers_step(),
            calls: self.evidence.calls(Side::New),
        }
    }
}

#[cfg(test)]
mod tests;
