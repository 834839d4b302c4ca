//! Algorithms by which a dispatcher selects the target of a call.

/// Algorithm by which a dispatcher selects targets. All but `Owned` are baselines for measurements
/// and not for production: they use only the instance's own counts of calls in progress, enforce no
/// limits and queue nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetSelection {
    /// Free slots of owned targets, then slots borrowed from other owners.
    Owned,
    /// A target chosen at random.
    Random,
    /// The target with the fewest calls in progress from this instance.
    LeastInFlight,
    /// Of two targets chosen at random, the one with fewer calls in progress from this instance.
    TwoChoices,
}
