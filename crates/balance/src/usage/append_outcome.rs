//! Result of an append to the usage topic.

/// What an instance knows of an append after the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The store has the record, and is in this era.
    Done {
        /// Era that the response states.
        era: u64,
    },
    /// The partition ends elsewhere; this call has changed nothing. An earlier call with the same
    /// bytes may have.
    EndMismatch,
    /// No usable answer. The append may have been done, or may be done later.
    Unknown,
}
