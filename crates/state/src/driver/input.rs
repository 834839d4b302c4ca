//! Input of the move driver.

use std::collections::{BTreeMap, BTreeSet};

use model::{Time, Wall};
use policy::moves::Assessment;
use wire::Fact;

use crate::{Fold, MembersView};

/// Result of the evidence about one move that this instance has from itself and its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MoveEvidence {
    /// Result of [`policy::moves::assess`].
    pub assessment: Assessment,
    /// Whether the evidence forbids a step by time, see [`policy::moves::VersionComparison::defers_step`].
    pub defer_step: bool,
    /// Number of calls on the new version in all instances.
    pub calls: u64,
}

/// Input of [`crate::Driver::tick`].
#[derive(Clone, Copy, Debug)]
pub struct DriverInput<'a> {
    /// Monotonic time.
    pub now: Time,
    /// Wall-clock time, for deadlines and the times of records only.
    pub wall: Wall,
    /// Shared state from the log.
    pub fold: &'a Fold,
    /// Instances and targets that this instance knows.
    pub members: &'a MembersView,
    /// Facts that peers sent, and those of this instance.
    pub facts: &'a BTreeSet<Fact>,
    /// Evidence by move id.
    pub evidence: &'a BTreeMap<String, MoveEvidence>,
}
