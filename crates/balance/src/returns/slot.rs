//! Time slots, in which room and claims are counted. Short slots follow the load that changes within some
//! 100 ms; longer ones cost fewer bytes in reports.

use model::Time;

/// Length of a slot, in milliseconds.
pub const SLOT_MS: u64 = 100;
/// Number of slots ahead for which claims are kept, the current one included. Covers a third of the time
/// that the longest requests have left (2,400 of 7,200 ms).
pub const HORIZON: usize = 24;

/// Returns the number of the slot that contains `time`.
pub fn slot_of(time: Time) -> u64 {
    time.0 / (SLOT_MS * 1_000)
}

/// Returns the start of a slot.
pub fn start_of(slot: u64) -> Time {
    Time::from_ms(slot.saturating_mul(SLOT_MS))
}
