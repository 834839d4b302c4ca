//! How much of a service's budget of second sends one or more instances have used.

use serde::{Deserialize, Serialize};

/// Requests and second sends in the window of a budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetUse {
    /// Requests of callers.
    pub requests: u32,
    /// Second sends.
    pub extras: u32,
}

impl BudgetUse {
    /// Adds what another instance used.
    pub fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.extras = self.extras.saturating_add(other.extras);
    }
}
