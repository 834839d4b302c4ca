//! Monotonic and wall-clock time as plain numbers, passed into decisions as arguments.

use std::fmt;

use serde::{Deserialize, Serialize};

const MS_PER_DAY: u64 = 86_400_000;

/// Microseconds on an instance's monotonic clock. Times of two instances cannot be compared, so
/// they are never sent to another instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time(pub u64);

impl Time {
    /// The largest time; stands for "never".
    pub const MAX: Self = Self(u64::MAX);

    /// Returns the time that is `ms` milliseconds after the clock's zero.
    #[must_use]
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms.saturating_mul(1_000))
    }

    /// Returns this time plus `us` microseconds.
    #[must_use]
    pub const fn plus_us(self, us: u64) -> Self {
        Self(self.0.saturating_add(us))
    }

    /// Returns this time plus `ms` milliseconds.
    #[must_use]
    pub const fn plus_ms(self, ms: u64) -> Self {
        self.plus_us(ms.saturating_mul(1_000))
    }

    /// Returns this time minus `ms` milliseconds.
    #[must_use]
    pub const fn minus_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_sub(ms.saturating_mul(1_000)))
    }

    /// Returns the microseconds from `earlier` to this time, 0 if `earlier` is later.
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
    /// Returns this time plus `ms` milliseconds.
    #[must_use]
    pub const fn plus_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Returns the milliseconds from `earlier` to this time, 0 if `earlier` is later.
    #[must_use]
    pub const fn since_ms(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Writes the time as in configuration documents: `2026-12-05T10:00:00.250Z`.
impl fmt::Display for Wall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (year, month, day) = civil_date(self.0 / MS_PER_DAY);
        let ms = self.0 % MS_PER_DAY;
        let (hour, minute) = (ms / 3_600_000, ms / 60_000 % 60);
        let (second, ms) = (ms / 1_000 % 60, ms % 1_000);
        write!(
            f,
            "{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{ms:03}Z"
        )
    }
}

/// Returns the Gregorian date of a day counted from 1970-01-01. Years start in March, so that the
/// leap day is the last day of a year.
const fn civil_date(days: u64) -> (u64, u64, u64) {
    const DAYS_TO_EPOCH: u64 = 719_468; // from 0000-03-01 to 1970-01-01
    const DAYS_PER_ERA: u64 = 146_097; // 400 years
    let days = days + DAYS_TO_EPOCH;
    let (era, day_of_era) = (days / DAYS_PER_ERA, days % DAYS_PER_ERA);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = (month_from_march + 2) % 12 + 1;
    let year = era * 400 + year_of_era + if month <= 2 { 1 } else { 0 };
    (year, month, day)
}
