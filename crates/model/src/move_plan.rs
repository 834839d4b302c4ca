//! A version move as operators state it.

use serde::{Deserialize, Serialize};

use crate::{ServiceName, Version, Wall};

/// A wish to move a service to a version by a deadline.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MovePlan {
    /// Service to move.
    pub service: ServiceName,
    /// Version to move to.
    pub version: Version,
    /// Time by which the move is done or undone.
    pub deadline: Wall,
    /// Permits a version that an earlier move took back.
    pub retry: bool,
}
