//! What the phases of the demo measured.

use std::{collections::HashMap, process::ExitStatus, time::Duration};

use testkit::{UpstreamCounts, load::Sample};

/// A published change.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    /// Time until all instances answered with its offset.
    pub offset_after: Option<Duration>,
    /// Instances that then knew the class that the change added.
    pub known: usize,
    /// Instances asked.
    pub instances: usize,
}

/// New work at upstreams that must receive none.
#[derive(Clone, Copy, Debug)]
pub struct Leaving {
    /// Calls offered before, in the same time.
    pub before: u64,
    /// Calls offered after the allowed time.
    pub after: u64,
}

/// A bad version.
#[derive(Clone, Copy, Debug)]
pub struct BadRun {
    /// Calls that it ran.
    pub ran: u64,
    /// Calls that the service ran meanwhile, both versions.
    pub all: u64,
    /// Time from its first call to the record that stops it, or takes it back.
    pub stopped_after: Option<Duration>,
    /// Time from that record to the last call that it ran; zero if none came after.
    pub last_after: Duration,
}

/// A planned stop of an instance in a process of its own.
#[derive(Clone, Copy, Debug)]
pub struct Stop {
    /// Calls that were running at it or were sent to it while it stopped.
    pub calls: usize,
    /// Of those, the ones whose connection broke before the answer.
    pub cut: usize,
    /// How the process ended; `None` if it did not in time.
    pub status: Option<ExitStatus>,
}

/// All that was measured.
#[derive(Debug, Default)]
pub struct Seen {
    /// Calls of the load.
    pub samples: Vec<Sample>,
    /// How often each call id was run.
    pub runs: HashMap<String, u64>,
    /// All upstreams.
    pub counts: UpstreamCounts,
    /// Upstreams that joined cold.
    pub cold: UpstreamCounts,
    /// The published change.
    pub change: Option<Change>,
    /// Times that an instance answered with a smaller offset than before.
    pub offset_back: u64,
    /// Upstream that drained.
    pub draining: Option<Leaving>,
    /// Availability zone that was taken out.
    pub zone: Option<Leaving>,
    /// The bad version.
    pub bad: Option<BadRun>,
    /// Violations that running instances counted themselves.
    pub violations: u64,
    /// The planned stop.
    pub stop: Option<Stop>,
}
