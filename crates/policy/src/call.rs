//! A call as admission sees it.

use model::Time;

/// Number of a call within one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// What a decision needs to know of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Number.
    pub id: CallId,
    /// Index of the class in [`crate::ServiceView::classes`].
    pub class: usize,
    /// Hash of the caller's name or address, for fairness.
    pub caller: u64,
    /// Bytes that the call holds while it waits.
    pub bytes: u64,
    /// Arrival at the instance.
    pub arrived: Time,
    /// End of the time that the call may take.
    pub deadline: Time,
    /// Whether the call can be sent again from memory, because its whole body is held.
    pub replayable: bool,
    /// Retries that the chain of calls may still make.
    pub retries: u32,
}
