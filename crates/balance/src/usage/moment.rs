//! A point in time on both clocks of an instance.

use model::Time;

/// The present, as passed into decisions on usage reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moment {
    /// Monotonic time that goes on during a suspend. Leases are measured by it.
    pub now: Time,
    /// True time in microseconds since the start of 1970. Windows are numbered by it.
    pub true_us: u64,
}
