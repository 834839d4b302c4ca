//! Usage of the budgets of extra attempts by all instances, as a collector last told it.

use std::collections::BTreeMap;

use model::{ServiceName, Time};

use crate::BudgetUsage;

/// Age from which the word of a collector no longer counts, in microseconds. Covers two intervals of a
/// large system and some delay.
const EXPIRY_US: u64 = 2_500_000;
/// Age from which a sum over fewer instances replaces one over more, in microseconds.
const REPLACE_US: u64 = 1_000_000;

/// Usage of the budgets of extra attempts by all instances.
#[derive(Clone, Debug, Default)]
pub struct FleetUsage {
    as_of: Time,
    /// Instances that the sums cover.
    instances: u32,
    sums: BTreeMap<ServiceName, BudgetUsage>,
    /// What this instance last reported, which is part of the sums.
    own: BTreeMap<ServiceName, BudgetUsage>,
}

impl FleetUsage {
    /// Records what this instance reports to the collectors.
    pub fn record_own(&mut self, usage: BTreeMap<ServiceName, BudgetUsage>) {
        self.own = usage;
    }

    /// Records the sums of a collector over `instances` instances.
    pub fn record_sums(
        &mut self,
        sums: BTreeMap<ServiceName, BudgetUsage>,
        instances: u32,
        now: Time,
    ) {
        if instances >= self.instances || now.since_us(self.as_of) >= REPLACE_US {
            (self.as_of, self.instances, self.sums) = (now, instances, sums);
        }
    }

    /// Returns the usage of `service` by the other instances, and the number of instances that it
    /// covers, this one included.
    #[must_use]
    pub fn of_others(&self, service: &ServiceName, now: Time) -> (BudgetUsage, u32) {
        if now.since_us(self.as_of) >= EXPIRY_US {
            return (BudgetUsage::default(), 1);
        }
        let sum = self.sums.get(service).copied().unwrap_or_default();
        let own = self.own.get(service).copied().unwrap_or_default();
        let others = BudgetUsage {
            requests: sum.requests.saturating_sub(own.requests),
            extra_attempts: sum.extra_attempts.saturating_sub(own.extra_attempts),
            unused_hedges_milli: sum
                .unused_hedges_milli
                .saturating_sub(own.unused_hedges_milli),
        };
        (others, self.instances.max(1))
    }
}

#[cfg(test)]
mod tests;
