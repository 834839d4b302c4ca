//! Records of the usage topic.

use std::sync::Arc;

use crate::usage::Claim;

/// Number of keys for decided windows. Window `k` has the key of number `k % SLOTS`, so that the
/// newest records are those of the latest windows.
pub const SLOTS: u64 = 8;

/// One record of the usage topic. Each states the era of the store for which it was written. One that
/// is listed in a later era is from an earlier copy of the store, or was appended late, and decides
/// nothing there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UsageRecord {
    /// Who holds the claim.
    Holder {
        /// Era for which the record was written.
        era: u64,
        /// The claim; `None` if the last holder has given it up.
        claim: Option<Claim>,
    },
    /// The decided report of a window.
    Window {
        /// Era for which the record was written.
        era: u64,
        /// Number of the window.
        window: u64,
        /// Body of the report, which is sent byte for byte.
        body: Arc<str>,
    },
}

impl UsageRecord {
    /// Returns the era for which the record was written.
    #[must_use]
    pub fn era(&self) -> u64 {
        match self {
            Self::Holder { era, .. } | Self::Window { era, .. } => *era,
        }
    }
}
