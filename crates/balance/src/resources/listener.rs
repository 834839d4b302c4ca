//! The addresses that an instance accepts connections on.

/// An address that an instance accepts connections on. Each has a share of the connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Listener {
    /// Callers.
    Callers,
    /// The readiness check.
    Ready,
    /// The address query.
    Directory,
    /// Metrics.
    Metrics,
    /// Other instances.
    Peer,
}

impl Listener {
    /// All listeners.
    pub const ALL: [Self; 5] = [
        Self::Callers,
        Self::Ready,
        Self::Directory,
        Self::Metrics,
        Self::Peer,
    ];

    /// Returns the listener's part of all connections, in percent. The rest is for connections to
    /// targets and to other instances.
    #[must_use]
    pub fn percent(self) -> usize {
        match self {
            Self::Callers => 45,
            Self::Ready => 4,
            Self::Directory => 8,
            Self::Metrics => 3,
            // Every instance of the largest deployment (471) may ask a collector at the same time.
            Self::Peer => 15,
        }
    }
}
