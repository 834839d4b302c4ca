//! Presence of an instance or target.

/// Whether an instance or target that is not gone may receive new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// May receive new work.
    Usable,
    /// Is leaving and receives no new work. A process that is leaving never becomes usable again.
    Leaving,
    /// Has not responded for too long and receives no new work until it does.
    Silent,
}
