//! Phases of an instance between its start and its end.

/// Phase of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The configuration or the targets are not known yet.
    Starting,
    /// The instance serves requests.
    Ready,
    /// The instance was asked to stop and finishes the requests that callers still send.
    Leaving,
}
