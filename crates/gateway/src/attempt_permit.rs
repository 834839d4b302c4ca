//! Permits for extra attempts (retries and hedges). A permit is taken from the retry budget before
//! a target is selected, so that concurrent requests do not use the same part of the budget.

use std::rc::Rc;

use balance::HoldReason;
use model::ServiceName;

use crate::{hedging::take_allowance, state::State};

/// Permit for one extra attempt, which the retry budget counts already. Dropping the permit without
/// using it refunds the budget.
pub struct AttemptPermit {
    state: Rc<State>,
    service: ServiceName,
    is_used: bool,
    /// Whether the permit also counts against the limit on hedges.
    is_hedge: bool,
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

    /// Takes a permit for a hedge within the operator's limit, if `share` of this instance's own part of
    /// the retry budget is not used up. What the others leave of it is kept for retries after failures.
    pub fn take_for_hedge(
        state: &Rc<State>,
        service: &ServiceName,
        share: f64,
    ) -> Result<Self, HoldReason> {
        let now = state.now();
        let instances = state.members.borrow().live().count() + 1;
        let is_allowed = state.with_budget(service, |b| b.allows_fraction(now, instances, share));
        if !is_allowed {
            return Err(HoldReason::RetryBudget);
        }
        if !take_allowance(state, service) {
            return Err(HoldReason::Share);
        }
        state.with_budget(service, |budget| budget.record_extra_attempt(now));
        let mut permit = Self::for_unsent(state, service);
        permit.is_hedge = true;
        Ok(permit)
    }

    /// Returns the permit of an attempt that ended before anything was sent. The budget still
    /// counts that attempt.
    pub fn for_unsent(state: &Rc<State>, service: &ServiceName) -> Self {
        Self {
            state: Rc::clone(state),
            service: service.clone(),
            is_used: false,
            is_hedge: false,
        }
    }

    /// Takes an extra attempt of a hedge that was not sent out of the retry budget and of the limit on
    /// hedges.
    pub fn refund_hedge(state: &Rc<State>, service: &ServiceName) {
        let mut permit = Self::for_unsent(state, service);
        permit.is_hedge = true;
    }

    /// Uses the permit: the budget keeps counting the attempt.
    pub fn consume(mut self) {
        self.is_used = true;
    }
}

impl Drop for AttemptPermit {
    fn drop(&mut self) {
        if self.is_used {
            return;
        }
        self.state
            .with_budget(&self.service, balance::RetryBudget::refund_extra_attempt);
        if self.is_hedge {
            let now = self.state.now();
            let hedging = &self.state.hedging;
            hedging.with_limiter(&self.service, now, balance::HedgeLimiter::refund);
        }
    }
}

#[cfg(test)]
mod tests;
