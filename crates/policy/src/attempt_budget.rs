//! Budget for extra attempts (retries or hedges), which grows with the number of calls.

/// Budget that allows a fixed share of calls an extra attempt.
#[derive(Clone, Debug)]
pub(crate) struct AttemptBudget {
    /// Attempts earned by each call.
    share: f64,
    /// Highest balance.
    max: f64,
    /// Attempts that may be made now.
    balance: f64,
}

impl AttemptBudget {
    /// Creates a budget that earns `share` of an attempt for each call and accumulates at most
    /// `max` attempts.
    pub(crate) fn new(share: f64, max: f64) -> Self {
        Self {
            share,
            max,
            balance: 1.0,
        }
    }

    /// Records a call, which earns a share of an attempt.
    pub(crate) fn record_call(&mut self) {
        self.balance = (self.balance + self.share).min(self.max);
    }

    /// Returns whether an extra attempt may be made now.
    pub(crate) fn allows(&self) -> bool {
        self.balance >= 1.0
    }

    /// Takes one attempt from the budget and returns true, or returns false if none is left.
    pub(crate) fn try_spend(&mut self) -> bool {
        let allowed = self.allows();
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }
}
