//! Counts one attempt as begun, unless its target states that it did not run the request.

use std::rc::Rc;

use model::Time;

use crate::{state::State, usage::record_begun};

/// An attempt for usage reports. When it is dropped after the request was written, it counts: a request
/// that is cancelled then may have begun.
pub struct BegunGuard {
    state: Rc<State>,
    workspace: Option<String>,
    /// Number of the pending request, from when it is written.
    pending: Option<u64>,
}

impl BegunGuard {
    /// Returns the guard of an attempt of a request of `workspace`.
    pub fn new(state: &Rc<State>, workspace: Option<&str>) -> Self {
        let counted = workspace.filter(|_| state.usage.is_some());
        Self {
            state: Rc::clone(state),
            workspace: counted.map(str::to_owned),
            pending: None,
        }
    }

    /// Records that the request is written now.
    pub fn record_written(&mut self) {
        let (Some(usage), Some(workspace)) = (&self.state.usage, self.workspace.take()) else {
            return;
        };
        let number = usage.next_pending.get();
        usage.next_pending.set(number + 1);
        let mut pending = usage.pending.borrow_mut();
        pending.insert(number, (self.state.now(), workspace));
        self.pending = Some(number);
    }

    /// Records that the target has not run the request, or that nothing was sent.
    pub fn record_not_run(&mut self) {
        self.take_pending();
    }

    /// Returns the pending request, unless it was counted already.
    fn take_pending(&mut self) -> Option<(Time, String)> {
        let number = self.pending.take()?;
        let usage = self.state.usage.as_ref()?;
        usage.pending.borrow_mut().remove(&number)
    }
}

impl Drop for BegunGuard {
    fn drop(&mut self) {
        if let Some((sent_at, workspace)) = self.take_pending() {
            record_begun(&self.state, Some(&workspace), sent_at);
        }
    }
}

#[cfg(test)]
mod tests;
