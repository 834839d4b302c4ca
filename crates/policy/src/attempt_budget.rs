//! Allowance that grows with calls: retries and hedges may use a fixed share of them.

/// A share of calls that may be spent on extra attempts.
#[derive(Clone, Debug)]
pub(crate) struct AttemptBudget {
    share: f64,
    most: f64,
    left: f64,
}

impl AttemptBudget {
    /// Earns `share` of an attempt per call and saves `most` attempts.
    pub(crate) fn new(share: f64, most: f64) -> Self {
        Self {
            share,
            most,
            left: 1.0,
        }
    }

    /// Counts a call.
    pub(crate) fn record_call(&mut self) {
        self.left = (self.left + self.share).min(self.most);
    }

    /// Whether an extra attempt may be made.
    pub(crate) fn allows(&self) -> bool {
        self.left >= 1.0
    }

    /// Takes one attempt if there is one.
    pub(crate) fn spend(&mut self) -> bool {
        let has = self.allows();
        if has {
            self.left -= 1.0;
        }
        has
    }
}
