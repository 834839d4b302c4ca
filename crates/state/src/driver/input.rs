//! What the driver decides from.

use std::collections::{BTreeMap, BTreeSet};

use model::{Time, Wall};
use policy::moves::Assessment;
use wire::Fact;

use crate::{Fold, MembersView};

/// Evidence about one move as this instance merged it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MoveEvidence {
    /// Result of [`policy::moves::assess`].
    pub opinion: Assessment,
    /// Whether this is no time for a step, see [`policy::moves::VersionComparison::defers_step`].
    pub doubtful: bool,
    /// Calls on the new version, over all instances.
    pub calls: u64,
}

/// Input of [`crate::Driver::tick`].
#[derive(Clone, Copy, Debug)]
pub struct DriverInput<'a> {
    /// Monotonic time.
    pub now: Time,
    /// Wall-clock time, compared with deadlines only.
    pub wall: Wall,
    /// Shared state.
    pub fold: &'a Fold,
    /// Membership.
    pub members: &'a MembersView,
    /// Facts that were heard or told.
    pub facts: &'a BTreeSet<Fact>,
    /// Evidence by move id.
    pub evidence: &'a BTreeMap<String, MoveEvidence>,
}
