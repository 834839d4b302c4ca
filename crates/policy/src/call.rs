//! Data of a call on which the dispatcher bases its decisions.

use model::Time;

/// Number of a call, unique within one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A call that arrived at this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Number of the call.
    pub id: CallId,
    /// Index of the class in [`crate::ServiceView::classes`].
    pub class: usize,
    /// Hash of the caller's name or address, by which slots are shared fairly among callers.
    pub caller: u64,
    /// Bytes of memory that the call uses while it waits.
    pub bytes: u64,
    /// Time at which the call arrived at this instance.
    pub arrived: Time,
    /// Time by which the call must have ended.
    pub deadline: Time,
    /// Whether the call can be sent again, because its whole body is in memory.
    pub replayable: bool,
    /// Number of retries left to the chain of calls that this call belongs to.
    pub retries: u32,
}
