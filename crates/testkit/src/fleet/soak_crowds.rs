//! Crowds of callers and reloads of settings in the soak, and the replacement of instances of an earlier build.

use std::{
    ops::Range,
    time::{Duration, Instant},
};

use rand::{Rng, rngs::StdRng, seq::SliceRandom};

/// Shortest and longest time between two crowds or reloads, in milliseconds.
const GAP_MS: Range<u64> = 400..2_500;
/// Shortest and longest time for which a crowd stays, in milliseconds.
const CROWD_MS: Range<u64> = 200..1_200;
/// Number of callers in a crowd.
const CALLERS: Range<usize> = 10..40;

/// What happens to an instance.
#[derive(Clone, Copy, Debug)]
pub(super) enum Visit {
    /// A crowd calls the instance with this index.
    Crowd {
        index: usize,
        callers: usize,
        length: Duration,
    },
    /// It checks its settings again.
    Reload { index: usize },
}

/// Plans visits. All choices come from its own random numbers, so that other faults stay the same.
pub(super) struct Visits {
    rng: StdRng,
    next_at: Instant,
}

impl Visits {
    pub(super) fn new(rng: StdRng) -> Self {
        Self {
            rng,
            next_at: Instant::now(),
        }
    }

    /// Returns the visit that is due.
    pub(super) fn due(&mut self, instances: usize) -> Option<Visit> {
        let now = Instant::now();
        if now < self.next_at {
            return None;
        }
        self.next_at = now + Duration::from_millis(self.rng.random_range(GAP_MS));
        let index = self.rng.random_range(0..instances);
        Some(if self.rng.random_bool(0.3) {
            Visit::Reload { index }
        } else {
            Visit::Crowd {
                index,
                callers: self.rng.random_range(CALLERS),
                length: Duration::from_millis(self.rng.random_range(CROWD_MS)),
            }
        })
    }
}

/// Plans the replacement of half of the instances, one after the other. The others stay at the earlier build until
/// something else restarts them.
pub(super) struct Replacement {
    start: Instant,
    interval: Duration,
    /// Instances to come, the next one last.
    left: Vec<usize>,
}

impl Replacement {
    pub(super) fn new(mut rng: StdRng, instances: usize, duration: Duration) -> Self {
        let mut left: Vec<usize> = (0..instances).collect();
        left.shuffle(&mut rng);
        left.truncate(instances.div_ceil(2));
        let steps = u32::try_from(left.len() + 1).unwrap_or(u32::MAX);
        Self {
            start: Instant::now(),
            interval: duration / steps,
            left,
        }
    }

    /// Returns the instance to replace now.
    pub(super) fn due(&mut self) -> Option<usize> {
        if self.start.elapsed() < self.interval {
            return None;
        }
        self.start += self.interval;
        self.left.pop()
    }
}
