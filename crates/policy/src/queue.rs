//! Queued calls in the order in which they start: first those of callers within their fair share,
//! then by latest start. Calls of tight and of loose classes (by latency target) are counted
//! separately.

use std::collections::{BTreeMap, HashMap};

use model::Time;

use crate::{CallId, waiting_call::WaitingCall};

/// Position in the queue: whether the caller is over its fair share, latest start, call.
pub(crate) type Key = (bool, Time, CallId);

/// The queued calls of a service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    /// Calls in the order in which they start.
    order: BTreeMap<Key, WaitingCall>,
    /// Position of each call in `order`.
    keys: HashMap<CallId, Key>,
    /// Number of calls by caller: of tight classes, and of loose ones.
    callers: [BTreeMap<u64, u32>; 2],
    /// Bytes that queued calls hold in memory.
    bytes: u64,
    /// Number of queued tight calls.
    tight: usize,
}

impl Queue {
    /// Returns the number of queued calls.
    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns the number of queued tight calls.
    pub(crate) fn tight_count(&self) -> usize {
        self.tight
    }

    /// Returns the number of queued loose calls, or of tight ones if `loose` is false.
    pub(crate) fn count(&self, loose: bool) -> usize {
        if loose {
            self.order.len() - self.tight
        } else {
            self.tight
        }
    }

    /// Returns the last call in order.
    pub(crate) fn last(&self) -> Option<CallId> {
        self.order.last_key_value().map(|(key, _)| key.2)
    }

    /// Returns the bytes that queued calls hold in memory.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns a queued call.
    pub(crate) fn get(&self, id: CallId) -> Option<&WaitingCall> {
        self.order.get(self.keys.get(&id)?)
    }

    /// Iterates over the queued calls in order.
    pub(crate) fn iter(&self) -> impl DoubleEndedIterator<Item = &WaitingCall> {
        self.order.values()
    }

    /// Adds a call at its position.
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

    /// Removes a call.
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

    /// Returns the number of calls ahead of `id` that are loose like it, or tight like it.
    pub(crate) fn count_ahead(&self, id: CallId) -> usize {
        let Some(key) = self.keys.get(&id) else {
            return 0;
        };
        let loose = self.order.get(key).is_some_and(|w| w.loose);
        let before = self.order.range(..key);
        before.filter(|(_, w)| w.loose == loose).count()
    }

    /// Returns the number of queued calls of one caller, loose or tight as given.
    pub(crate) fn caller_calls(&self, caller: u64, loose: bool) -> u32 {
        let callers = &self.callers[usize::from(loose)];
        callers.get(&caller).copied().unwrap_or(0)
    }

    /// Returns the caller with the most queued calls, loose or tight as given, and their number.
    pub(crate) fn largest_caller(&self, loose: bool) -> Option<(u64, u32)> {
        let callers = &self.callers[usize::from(loose)];
        let largest = callers.iter().max_by_key(|(_, count)| **count);
        largest.map(|(caller, count)| (*caller, *count))
    }

    /// Returns the number of callers with queued calls, loose or tight as given.
    pub(crate) fn caller_count(&self, loose: bool) -> usize {
        self.callers[usize::from(loose)].len()
    }

    /// Returns the last call of a caller, loose or tight as given, among those that were never
    /// attempted.
    pub(crate) fn last_unstarted(&self, caller: u64, loose: bool) -> Option<CallId> {
        let matches =
            |w: &&WaitingCall| w.call.caller == caller && w.loose == loose && w.tried.is_empty();
        self.order.values().rev().find(matches).map(|w| w.call.id)
    }

    /// Returns the calls whose latest start has passed.
    pub(crate) fn past_latest_start(&self, now: Time) -> Vec<CallId> {
        let late = self.order.values().filter(|w| now > w.latest_start);
        late.map(|w| w.call.id).collect()
    }
}

#[cfg(test)]
mod tests;
