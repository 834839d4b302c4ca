//! Output of the move driver.

use wire::{Fact, Record};

/// Records and facts that the caller of [`crate::Driver::tick`] has to append and to send.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DriverOutput {
    /// Records to append together, in this order.
    pub records: Vec<Record>,
    /// Facts to add to this instance's facts and to send to all peers at once.
    pub facts: Vec<Fact>,
}
