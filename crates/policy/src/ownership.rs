//! Whether this instance hands out the slots of a target.

use model::{InstanceId, Time};

/// Standing of this instance towards a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Ownership {
    /// Another instance owns the target.
    Foreign,
    /// This instance owns it by its view and asks others to stop handing out
    /// its slots.
    Claiming {
        /// When the claim counts as unanswered.
        until: Time,
    },
    /// This instance hands out its slots.
    Active,
    /// Another instance also claims it and goes first. Claimed again at `until`.
    Yielded {
        /// Time of the next claim.
        until: Time,
        /// The instance that goes first.
        to: InstanceId,
    },
}
