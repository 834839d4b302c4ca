//! A move of a service to another version, as the tenant's configuration requests it.

use serde::{Deserialize, Serialize};

use crate::{ServiceName, Version, Wall};

/// A requested move of a service to a version by a deadline.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MovePlan {
    /// Service to move.
    pub service: ServiceName,
    /// Version to move to.
    pub version: Version,
    /// Time by which the move must be done or undone.
    pub deadline: Wall,
    /// Allows a version whose earlier move was undone.
    pub retry: bool,
}
