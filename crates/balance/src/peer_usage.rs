//! What the other instances say of their budgets of second sends.

use std::collections::HashMap;

use model::{InstanceId, ServiceName, Time};

use crate::BudgetUsage;

/// Age from which a report says nothing, in microseconds: two beats of a large system and some delay.
const OLD_US: u64 = 2_500_000;

/// Latest reports of the other instances.
#[derive(Clone, Debug, Default)]
pub struct PeerUsage {
    reports: HashMap<InstanceId, (Time, Vec<(ServiceName, BudgetUsage)>)>,
}

impl PeerUsage {
    /// Takes in what `from` says.
    pub fn record_report(
        &mut self,
        from: InstanceId,
        used: Vec<(ServiceName, BudgetUsage)>,
        now: Time,
    ) {
        self.reports.insert(from, (now, used));
    }

    /// Forgets old reports.
    pub fn sweep(&mut self, now: Time) {
        self.reports
            .retain(|_, (heard, _)| now.since_us(*heard) < OLD_US);
    }

    /// What all of them used of the budget of `service`, and how many reported lately.
    #[must_use]
    pub fn of_service(&self, service: &ServiceName, now: Time) -> (BudgetUsage, usize) {
        let mut sum = BudgetUsage::default();
        let mut count = 0;
        for (heard, used) in self.reports.values() {
            if now.since_us(*heard) >= OLD_US {
                continue;
            }
            count += 1;
            for (_, used) in used.iter().filter(|(name, _)| name == service) {
                sum.add(*used);
            }
        }
        (sum, count)
    }
}

#[cfg(test)]
mod tests;
