//! The claim of a process to be the one that reports usage.

use model::InstanceId;
use serde::{Deserialize, Serialize};

/// A claim, as recorded under the key `holder`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Instance that holds the claim.
    pub instance: InstanceId,
    /// Number of its process.
    pub incarnation: u64,
    /// Random number that tells two claims of one process apart.
    pub number: u64,
}
