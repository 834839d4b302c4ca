//! Usage of a service's budget of extra attempts, as instances report it to each other.

use serde::{Deserialize, Serialize};

/// Requests and extra attempts in the window of a budget, of one or more instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetUsage {
    /// Requests of callers.
    pub requests: u32,
    /// Attempts beyond the first one of a request: retries and hedges.
    pub extra_attempts: u32,
    /// Allowance for hedges that was given up unused, in thousandths of a hedge; see
    /// [`crate::HedgeLimiter`].
    pub unused_hedges_milli: u32,
}

impl BudgetUsage {
    /// Adds the usage of another instance.
    pub fn add(&mut self, other: Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.extra_attempts = self.extra_attempts.saturating_add(other.extra_attempts);
        self.unused_hedges_milli = self
            .unused_hedges_milli
            .saturating_add(other.unused_hedges_milli);
    }
}
