//! Permits for extra attempts (retries and hedges). A permit is taken from the retry budget before
//! a target is selected, so that concurrent requests do not use the same part of the budget.

use std::rc::Rc;

use model::ServiceName;

use crate::state::State;

/// Permit for one extra attempt, which the retry budget counts already. Dropping the permit without
/// using it refunds the budget.
pub struct AttemptPermit {
    state: Rc<State>,
    service: ServiceName,
    is_used: bool,
}

impl AttemptPermit {
    /// Takes a permit, if `share` of the budget is not used up.
    pub fn take(state: &Rc<State>, service: &ServiceName, share: f64) -> Option<Self> {
        let now = state.now();
        if !state.allows_extra_attempt(service, share) {
            return None;
        }
        state.with_budget(service, |budget| budget.record_extra_attempt(now));
        Some(Self::for_unsent(state, service))
    }

    /// Returns the permit of an attempt that ended before anything was sent. The budget still
    /// counts that attempt.
    pub fn for_unsent(state: &Rc<State>, service: &ServiceName) -> Self {
        Self {
            state: Rc::clone(state),
            service: service.clone(),
            is_used: false,
        }
    }

    /// Uses the permit: the budget keeps counting the attempt.
    pub fn consume(mut self) {
        self.is_used = true;
    }
}

impl Drop for AttemptPermit {
    fn drop(&mut self) {
        if !self.is_used {
            self.state
                .with_budget(&self.service, balance::RetryBudget::refund_extra_attempt);
        }
    }
}

#[cfg(test)]
mod tests;
