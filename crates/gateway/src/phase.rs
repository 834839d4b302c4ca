//! Where an instance stands between its start and its end.

/// Phase of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It does not know the configuration or the targets yet.
    Starting,
    /// It takes calls.
    Ready,
    /// It was asked to stop and finishes what callers still send.
    Leaving,
}
