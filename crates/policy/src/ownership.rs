//! Ownership of a target, that is, the right to assign its slots to calls or lend them.

use model::{InstanceId, Time};

/// State of the ownership of a target as this instance sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Ownership {
    /// Another instance owns the target.
    Foreign,
    /// This instance owns the target by its instance list, and is asking other instances to release
    /// it.
    Claiming {
        /// Time after which the instance stops waiting for answers.
        until: Time,
    },
    /// This instance owns the target and assigns its slots.
    Active,
    /// Another instance also claims the target and takes precedence.
    Yielded {
        /// Time at which this instance claims the target again.
        until: Time,
        /// The instance that takes precedence.
        to: InstanceId,
    },
}
