//! A crash of a target while it ran a request.

use model::Time;

/// A crash of a target while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Fingerprint of the target's process.
    pub process: u64,
    /// When the request was sent to it.
    pub sent: Time,
    /// When it crashed.
    pub at: Time,
}
