//! Monotonic and wall-clock time as plain numbers, passed into decisions as arguments.

use serde::{Deserialize, Serialize};

/// Microseconds on an instance's monotonic clock. Never sent to another instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// The largest time, used for "never".
    pub const MAX: Self = Self(u64::MAX);

    /// A time of whole milliseconds.
    #[must_use]
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms.saturating_mul(1_000))
    }

    /// This time plus `us` microseconds.
    #[must_use]
    pub const fn plus_us(self, us: u64) -> Self {
        Self(self.0.saturating_add(us))
    }

    /// This time plus `ms` milliseconds.
    #[must_use]
    pub const fn plus_ms(self, ms: u64) -> Self {
        self.plus_us(ms.saturating_mul(1_000))
    }

    /// Microseconds from `earlier` to this time, 0 if `earlier` is later.
    #[must_use]
    pub const fn since_us(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Milliseconds since the Unix epoch. Only deadlines of moves and audit entries use it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Wall(pub u64);

impl Wall {
    /// This time plus `ms` milliseconds.
    #[must_use]
    pub const fn plus_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Milliseconds from `earlier` to this time, 0 if `earlier` is later.
    #[must_use]
    pub const fn since_ms(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}
