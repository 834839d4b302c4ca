//! The table of claimed keys, limited in size and in the age of its entries.

use std::collections::{HashMap, VecDeque};

use model::Time;
use wire::{KeyHash, KeyState};

/// Time for which a key is kept after its claim, in milliseconds.
pub(super) const KEEP_MS: u64 = 10 * 60 * 1_000;
/// Maximum number of keys. An entry takes about 80 bytes in map and queue, so a full table takes about
/// 10 MB of the 32 MB of memory for control data.
pub(super) const MAX_KEYS: usize = 128 * 1024;

/// Claimed keys with their states and the times of their claims.
#[derive(Debug, Default)]
pub(super) struct KeyTable {
    states: HashMap<KeyHash, (Time, KeyState)>,
    by_age: VecDeque<(Time, KeyHash)>,
}

impl KeyTable {
    /// Claims a key and returns its state before the claim. Returns `None` if the table is full: removing
    /// a key before its time to make room could let its call run twice.
    pub(super) fn claim(&mut self, now: Time, key: KeyHash) -> Option<KeyState> {
        self.expire(now);
        if let Some((_, state)) = self.states.get(&key) {
            return Some(*state);
        }
        if self.by_age.len() >= MAX_KEYS {
            return None;
        }
        self.states.insert(key, (now, KeyState::Running));
        self.by_age.push_back((now, key));
        Some(KeyState::Fresh)
    }

    /// Records the outcome of the call with a claimed key. [`KeyState::Fresh`] frees the key.
    pub(super) fn end(&mut self, key: &KeyHash, state: KeyState) {
        if state == KeyState::Fresh {
            self.states.remove(key);
        } else if let Some((_, current)) = self.states.get_mut(key) {
            *current = state;
        }
    }

    /// Removes the keys that were claimed at least [`KEEP_MS`] ago.
    fn expire(&mut self, now: Time) {
        while let Some((since, key)) = self.by_age.front() {
            if now < since.plus_ms(KEEP_MS) {
                return;
            }
            // Keeps a key that was freed and then claimed again later.
            if self
                .states
                .get(key)
                .is_some_and(|(claimed_at, _)| claimed_at == since)
            {
                self.states.remove(key);
            }
            self.by_age.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
