//! Evidence of one version move in this instance.

use std::collections::BTreeMap;

use model::{InstanceId, Time};
use policy::moves::{Evidence, Side, SlowThresholds, VersionComparison, assess};
use state::{MoveEvidence, MoveState};

use crate::control::Sample;

/// Counters, slowness bars and tests of one move.
#[derive(Debug)]
pub struct MoveWatch {
    /// Counters of all instances.
    pub evidence: Evidence,
    bar: SlowThresholds,
    trial: VersionComparison,
}

/// Watches by move id.
pub type MoveWatches = BTreeMap<String, MoveWatch>;

impl MoveWatch {
    /// A watch without evidence.
    pub fn new(shift: &MoveState, me: &InstanceId, incarnation: u64) -> Self {
        Self {
            evidence: Evidence::new(&shift.from, &shift.to, me, incarnation),
            bar: SlowThresholds::default(),
            trial: VersionComparison::default(),
        }
    }

    /// Counts calls of this instance.
    pub fn count(&mut self, samples: &[Sample]) {
        for sample in samples {
            let Some(side) = self.evidence.side(&sample.version) else {
                continue;
            };
            let us = sample.service_us;
            if sample.cut {
                if !sample.cold && self.bar.exceeds(&sample.route, us) {
                    self.evidence.count(side, &sample.route, false, true);
                }
                continue;
            }
            let timed = !sample.error && !sample.cold;
            let slow = timed && self.bar.record(side, &sample.route, us);
            self.evidence.count(side, &sample.route, sample.error, slow);
        }
    }

    /// What the evidence says at `share`.
    pub fn judge(&mut self, share: u16, now: Time) -> MoveEvidence {
        let assessment = assess(&mut self.trial, &self.evidence, share, now).clone();
        MoveEvidence {
            assessment,
            defer_step: self.trial.defers_step(),
            calls: self.evidence.calls(Side::New),
        }
    }
}

#[cfg(test)]
mod tests;
