//! A place in a partition of the platform's store.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Offset of a record, with the era of the store in which it was given out. After the store has come
/// back from an earlier copy, it gives offsets out again in a later era.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Era of the store; 0 if the store names none.
    pub era: u64,
    /// Offset in the partition.
    pub offset: u64,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.offset)
    }
}
