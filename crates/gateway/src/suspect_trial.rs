//! Limits a request that may crash targets to one attempt at a time.

use std::rc::Rc;

use balance::Suspicion;

use crate::{crashes::suspicion, state::State};

/// Permission to send a request to a target, until dropped.
pub struct SuspectTrial {
    state: Rc<State>,
    /// Key of the request, if two targets have crashed under it.
    key: Option<u64>,
}

impl SuspectTrial {
    /// Returns `None` if the request crashes targets, or if two have crashed under it and it is in
    /// progress here.
    pub fn begin(state: &Rc<State>, key: u64) -> Option<Self> {
        let state = Rc::clone(state);
        match suspicion(&state, key) {
            Suspicion::Confirmed { .. } => None,
            known if known.allows_retry() => Some(Self { state, key: None }),
            _ => {
                let is_first = state.suspects_running.borrow_mut().insert(key);
                let key = Some(key);
                is_first.then_some(Self { state, key })
            }
        }
    }
}

impl Drop for SuspectTrial {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.state.suspects_running.borrow_mut().remove(&key);
        }
    }
}

#[cfg(test)]
mod tests;
