//! Limits on the size of requests, and timeouts of callers' connections.

/// Limits on the connections and requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: u64,
    /// Longest time for a request head to arrive, in milliseconds.
    pub head_ms: u64,
    /// Longest time that a connection may be idle, in milliseconds.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    /// Returns the limits that hold until a configuration is known: the usual values of web
    /// servers.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            head_ms: 5_000,
            idle_ms: 60_000,
        }
    }
}
