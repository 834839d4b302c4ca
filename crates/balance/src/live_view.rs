//! Which instances of a roster live, in a few bytes.

use serde::{Deserialize, Serialize};

/// Which instances of a roster live, in the order of their addresses. It means something only to an
/// instance that has the same roster.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiveView {
    /// Fingerprint of the roster.
    pub roster: u64,
    /// One bit for each instance.
    pub bits: Vec<u8>,
}

impl LiveView {
    /// Returns the view of the roster with the fingerprint `roster`. `live` states for each of its
    /// instances, in the order of their addresses, whether it lives.
    #[must_use]
    pub fn new(roster: u64, live: impl Iterator<Item = bool>) -> Self {
        let mut view = Self {
            roster,
            bits: Vec::new(),
        };
        for (index, is_live) in live.enumerate() {
            if index % 8 == 0 {
                view.bits.push(0);
            }
            if is_live && let Some(byte) = view.bits.last_mut() {
                *byte |= 1 << (index % 8);
            }
        }
        view
    }

    /// Returns whether the instance at `index` of the roster lives.
    #[must_use]
    pub fn is_live(&self, index: usize) -> bool {
        self.bits
            .get(index / 8)
            .is_some_and(|byte| byte & (1 << (index % 8)) != 0)
    }
}
