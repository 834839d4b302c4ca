//! What the driver asks its surroundings to do.

use wire::{Fact, Record};

/// Output of [`crate::Driver::tick`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DriverOutput {
    /// Records to append together and in this order.
    pub records: Vec<Record>,
    /// Facts to add to the own ones and to tell all peers at once.
    pub facts: Vec<Fact>,
}
