//! Waiting calls in the order in which they start: callers within their fair share first, then by
//! latest start.

use std::collections::{BTreeMap, HashMap};

use model::Time;

use crate::{CallId, waiting_call::WaitingCall};

/// Place in the queue.
pub(crate) type Key = (bool, Time, CallId);

/// Waiting calls.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    order: BTreeMap<Key, WaitingCall>,
    keys: HashMap<CallId, Key>,
    callers: [BTreeMap<u64, u32>; 2],
    bytes: u64,
    tight: usize,
}

impl Queue {
    /// Calls that wait.
    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    /// Calls that wait and may use reserved slots.
    pub(crate) fn tight_count(&self) -> usize {
        self.tight
    }

    /// Tight or loose calls that wait.
    pub(crate) fn count(&self, loose: bool) -> usize {
        if loose {
            self.order.len() - self.tight
        } else {
            self.tight
        }
    }

    /// The call that would start last.
    pub(crate) fn last(&self) -> Option<CallId> {
        self.order.last_key_value().map(|(key, _)| key.2)
    }

    /// Bytes that waiting calls hold.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// A waiting call.
    pub(crate) fn get(&self, id: CallId) -> Option<&WaitingCall> {
        self.order.get(self.keys.get(&id)?)
    }

    /// Calls in order.
    pub(crate) fn iter(&self) -> impl DoubleEndedIterator<Item = &WaitingCall> {
        self.order.values()
    }

    /// Adds a call.
    pub(crate) fn push(&mut self, waiting: WaitingCall) {
        let key = (waiting.over_share, waiting.latest_start, waiting.call.id);
        self.bytes += waiting.call.bytes;
        self.tight += usize::from(!waiting.loose);
        *self.callers[usize::from(waiting.loose)]
            .entry(waiting.call.caller)
            .or_default() += 1;
        self.keys.insert(waiting.call.id, key);
        self.order.insert(key, waiting);
    }

    /// Takes a call out.
    pub(crate) fn remove(&mut self, id: CallId) -> Option<WaitingCall> {
        let key = self.keys.remove(&id)?;
        let waiting = self.order.remove(&key)?;
        self.bytes -= waiting.call.bytes;
        self.tight -= usize::from(!waiting.loose);
        let callers = &mut self.callers[usize::from(waiting.loose)];
        if let Some(count) = callers.get_mut(&waiting.call.caller) {
            *count -= 1;
            if *count == 0 {
                callers.remove(&waiting.call.caller);
            }
        }
        Some(waiting)
    }

    /// Calls of the same kind, tight or loose, ahead of `id`.
    pub(crate) fn count_ahead(&self, id: CallId) -> usize {
        let Some(key) = self.keys.get(&id) else {
            return 0;
        };
        let loose = self.order.get(key).is_some_and(|w| w.loose);
        let before = self.order.range(..key);
        before.filter(|(_, w)| w.loose == loose).count()
    }

    /// Tight or loose calls of one caller that wait.
    pub(crate) fn caller_calls(&self, caller: u64, loose: bool) -> u32 {
        let callers = &self.callers[usize::from(loose)];
        callers.get(&caller).copied().unwrap_or(0)
    }

    /// The caller with the most tight or loose calls waiting, and their number.
    pub(crate) fn largest_caller(&self, loose: bool) -> Option<(u64, u32)> {
        let callers = &self.callers[usize::from(loose)];
        let largest = callers.iter().max_by_key(|(_, count)| **count);
        largest.map(|(caller, count)| (*caller, *count))
    }

    /// Callers with tight or loose calls waiting.
    pub(crate) fn caller_count(&self, loose: bool) -> usize {
        self.callers[usize::from(loose)].len()
    }

    /// The last call of a caller that was never started, tight or loose as asked.
    pub(crate) fn last_unstarted(&self, caller: u64, loose: bool) -> Option<CallId> {
        let fits =
            |w: &&WaitingCall| w.call.caller == caller && w.loose == loose && w.tried.is_empty();
        self.order.values().rev().find(fits).map(|w| w.call.id)
    }

    /// Calls whose latest start has passed.
    pub(crate) fn past_latest_start(&self, now: Time) -> Vec<CallId> {
        let late = self.order.values().filter(|w| now > w.latest_start);
        late.map(|w| w.call.id).collect()
    }
}

#[cfg(test)]
mod tests;
