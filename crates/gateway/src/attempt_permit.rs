//! Leave for one more send of a request, taken from the budget before a target is looked for, so that
//! requests that look at the same moment do not take the same leave.

use std::rc::Rc;

use model::ServiceName;

use crate::state::State;

/// A second send that is counted already. It is given back when dropped unless it was used.
pub struct AttemptPermit {
    state: Rc<State>,
    service: ServiceName,
    is_used: bool,
}

impl AttemptPermit {
    /// Takes leave, if `part` of the budget is not used up.
    pub fn take(state: &Rc<State>, service: &ServiceName, part: f64) -> Option<Self> {
        let now = state.now();
        if !state.allows_extra_attempt(service, part) {
            return None;
        }
        state.with_budget(service, |budget| budget.record_extra_attempt(now));
        Some(Self::for_unsent(state, service))
    }

    /// The leave of a send that did not reach its target.
    pub fn for_unsent(state: &Rc<State>, service: &ServiceName) -> Self {
        Self {
            state: Rc::clone(state),
            service: service.clone(),
            is_used: false,
        }
    }

    /// Uses it.
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
