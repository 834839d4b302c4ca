//! How much of a service's budget of second sends one or more instances have used.

use serde::{Deserialize, Serialize};

/// Requests and second sends in the window of a budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetUsage {
    /// Requests of callers.
    pub requests: u32,
    /// Second sends.
    pub extra_attempts: u32,
}

impl BudgetUsage {
    /// Adds what another instance used.
    pub fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.extra_attempts = self.extra_attempts.saturating_add(other.extra_attempts);
    }
}
