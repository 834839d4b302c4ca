//! Whether an instance or target takes part.

/// Presence of an entry that is not gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// May receive new work.
    Usable,
    /// Is leaving. Final for the process.
    Leaving,
    /// Gave no sign of life for too long.
    Silent,
}
