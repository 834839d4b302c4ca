//! Claims of all instances, as they reported them to a collector.
//!
//! Addresses instances that end after they have told callers to return: their latest claims stay until
//! their slots are over, since the callers use other instances.

use std::collections::{BTreeMap, HashMap};

use model::{InstanceId, ServiceName, Time};

use super::slot::{HORIZON, slot_of};

/// Claims by service, each from the slot of the report on.
type Reported = Vec<(ServiceName, Vec<u32>)>;

/// Latest claims of each instance.
#[derive(Clone, Debug, Default)]
pub struct PeerClaims {
    reports: HashMap<InstanceId, (u64, Reported)>,
}

impl PeerClaims {
    /// Records the claims by service that the instance `from` reported.
    pub fn record_report(&mut self, from: InstanceId, claims: Reported, now: Time) {
        self.reports.insert(from, (slot_of(now), claims));
    }

    /// Returns the sums of the claims by service, from the slot of `now` on, and forgets reports whose
    /// slots are over.
    pub fn total(&mut self, now: Time) -> Vec<(ServiceName, Vec<u32>)> {
        let slot = slot_of(now);
        self.reports.retain(|_, (first, claims)| {
            !claims.is_empty() && slot.saturating_sub(*first) < HORIZON as u64
        });
        let mut sums: BTreeMap<&ServiceName, Vec<u32>> = BTreeMap::new();
        for (first, claims) in self.reports.values() {
            let passed = usize::try_from(slot.saturating_sub(*first)).unwrap_or(HORIZON);
            for (service, counts) in claims {
                let left = counts.get(passed..).unwrap_or_default();
                let sum = sums.entry(service).or_default();
                sum.resize(sum.len().max(left.len().min(HORIZON)), 0);
                for (sum, count) in sum.iter_mut().zip(left) {
                    *sum = sum.saturating_add(*count);
                }
            }
        }
        sums.retain(|_, sum| !sum.is_empty());
        sums.into_iter().map(|(s, sum)| (s.clone(), sum)).collect()
    }
}
