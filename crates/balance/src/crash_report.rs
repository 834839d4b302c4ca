//! What an instance tells others of a request near crashes of targets.

use model::Time;
use serde::{Deserialize, Serialize};

use crate::Crash;

/// What an instance knows of one request near crashes of targets. The order and the types of the
/// fields are the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Hash of what is the same each time that the request comes.
    pub key: u64,
    /// Time since a target has run the request well, in microseconds.
    pub cleared_us: Option<u64>,
    /// Crashes since then.
    pub crashes: Vec<CrashAge>,
}

/// A crash, with times that mean the same to other instances. The order and the types of the fields
/// are the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashAge {
    /// Fingerprint of the target's process.
    pub process: u64,
    /// Time since the crash, in microseconds.
    pub age_us: u64,
    /// Time from the sending of the request to the crash, in microseconds.
    pub ran_us: u64,
}

impl CrashAge {
    /// Returns how long ago `crash` was.
    #[must_use]
    pub fn of(crash: &Crash, now: Time) -> Self {
        Self {
            process: crash.process,
            age_us: now.since_us(crash.at),
            ran_us: crash.at.since_us(crash.sent),
        }
    }

    /// Returns the crash by the clock of this instance.
    #[must_use]
    pub fn at(self, now: Time) -> Crash {
        let at = Time(now.0.saturating_sub(self.age_us));
        Crash {
            process: self.process,
            sent: Time(at.0.saturating_sub(self.ran_us)),
            at,
        }
    }
}
