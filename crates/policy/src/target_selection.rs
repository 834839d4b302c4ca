//! Ways to choose a target.

/// How a dispatcher chooses targets. All but `Owned` are baselines for measurements: they use only the
/// instance's own counts, keep no limits and queue nothing. Not for production.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetSelection {
    /// Owned and lent slots.
    Owned,
    /// A random target.
    Random,
    /// The target with the fewest calls of this instance.
    LeastInFlight,
    /// The better of two random targets by calls of this instance.
    TwoChoices,
}
