//! Usage of the budgets of extra attempts, as the other instances reported it to a collector.

use std::collections::{BTreeMap, HashMap};

use model::{InstanceId, ServiceName, Time};

use crate::BudgetUsage;

/// Age from which a report no longer counts, in microseconds. Covers two heartbeat intervals of a
/// large system and some delay.
const EXPIRY_US: u64 = 2_500_000;

/// Latest budget usage reported by each of the other instances.
#[derive(Clone, Debug, Default)]
pub struct PeerUsage {
    reports: HashMap<InstanceId, (Time, Vec<(ServiceName, BudgetUsage)>)>,
}

impl PeerUsage {
    /// Records the usage by service that the instance `from` reported.
    pub fn record_report(
        &mut self,
        from: InstanceId,
        usage: Vec<(ServiceName, BudgetUsage)>,
        now: Time,
    ) {
        self.reports.insert(from, (now, usage));
    }

    /// Removes expired reports.
    pub fn sweep(&mut self, now: Time) {
        self.reports
            .retain(|_, (received, _)| now.since_us(*received) < EXPIRY_US);
    }

    /// Returns the usage by service over all reports that have not expired, and the number of those
    /// reports.
    #[must_use]
    pub fn total(&self, now: Time) -> (BTreeMap<ServiceName, BudgetUsage>, u32) {
        let mut sums: BTreeMap<ServiceName, BudgetUsage> = BTreeMap::new();
        let mut count = 0;
        for (received, usage) in self.reports.values() {
            if now.since_us(*received) >= EXPIRY_US {
                continue;
            }
            count += 1;
            for (service, usage) in usage {
                sums.entry(service.clone()).or_default().add(*usage);
            }
        }
        (sums, count)
    }
}

#[cfg(test)]
mod tests;
