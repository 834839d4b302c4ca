//! What traffic may take of the memory and the file descriptors of the machine.

use super::Listener;

/// Memory for everything but traffic, in megabytes: the stated limit for control.
const CONTROL_MB: u64 = 32;
/// File descriptors that are reserved for files.
const FILE_FDS: u64 = 200;
/// Part of the connections that are to targets, in percent.
const TARGET_PERCENT: usize = 20;
/// Part of the connections that forward requests through other instances, in percent.
const PEER_PERCENT: usize = 5;
/// Least number of connections at a listener.
const MIN_CONNECTIONS: usize = 2;
const MIB: u64 = 1_024 * 1_024;

/// What traffic may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceLimits {
    /// Memory for requests and responses, in bytes.
    pub memory_bytes: u64,
    /// Connections of callers, peers and targets.
    connections: usize,
}

impl ResourceLimits {
    /// Returns the limits of a machine with `memory_mb` of memory and `max_fds` file descriptors.
    #[must_use]
    pub fn new(memory_mb: u64, max_fds: u64) -> Self {
        // A quarter is left for memory that the allocator holds and for buffers that grow. 160 MB leave
        // 96 MiB, which is more than the usual largest body of 64 MiB.
        let traffic = memory_mb.saturating_sub(CONTROL_MB).saturating_mul(MIB) / 4 * 3;
        let least = memory_mb.saturating_mul(MIB) / 8;
        Self {
            memory_bytes: traffic.max(least),
            connections: usize::try_from(max_fds.saturating_sub(FILE_FDS)).unwrap_or(usize::MAX),
        }
    }

    /// Returns the number of connections that a listener may have open.
    #[must_use]
    pub fn connections(&self, listener: Listener) -> usize {
        self.share(listener.percent())
    }

    /// Returns the number of connections to targets that may be open.
    #[must_use]
    pub fn target_connections(&self) -> usize {
        self.share(TARGET_PERCENT)
    }

    /// Returns the number of connections to other instances that requests may be forwarded through.
    #[must_use]
    pub fn peer_connections(&self) -> usize {
        self.share(PEER_PERCENT)
    }

    fn share(&self, percent: usize) -> usize {
        (self.connections / 100 * percent + self.connections % 100 * percent / 100)
            .max(MIN_CONNECTIONS)
    }
}
