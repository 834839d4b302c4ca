//! Series of disturbances in the soak: instances are cut off from targets, stopped and killed one after the
//! other, while other faults go on.

use std::time::{Duration, Instant};

use rand::{Rng, rngs::StdRng, seq::SliceRandom};

use super::{OutageKind, Partition};

/// Longest time between two series, in milliseconds.
const MAX_GAP_MS: u64 = 2_500;
/// Longest time between two steps of a series, in milliseconds.
const MAX_STEP_MS: u64 = 350;
/// Shortest and longest time for which an instance is cut off, in milliseconds.
const CUT_MS: std::ops::Range<u64> = 300..3_000;

/// A step of a series.
#[derive(Clone, Copy, Debug)]
pub(super) enum Step {
    /// The instance with this index is cut off from its first `count` targets.
    Cut {
        index: usize,
        count: usize,
        kind: OutageKind,
        length: Duration,
    },
    /// The instance gets this signal.
    Stop { index: usize, signal: &'static str },
}

/// Plans series. All choices come from its own random numbers, so that other faults stay the same.
pub(super) struct Series {
    rng: StdRng,
    next_at: Instant,
    /// Steps to come, the next one last.
    steps: Vec<(Instant, Step)>,
}

impl Series {
    pub(super) fn new(rng: StdRng) -> Self {
        Self {
            rng,
            next_at: Instant::now(),
            steps: Vec::new(),
        }
    }

    /// Returns the steps that are due, and plans the next series if it is time.
    pub(super) fn due(&mut self, instances: usize, partitions: &[Partition]) -> Vec<Step> {
        let now = Instant::now();
        if now >= self.next_at {
            self.plan(now, instances, partitions);
            let gap_ms = self.rng.random_range(200..MAX_GAP_MS);
            self.next_at = now + Duration::from_millis(gap_ms);
        }
        let (due, later) = self.steps.iter().partition(|(at, _)| *at <= now);
        self.steps = later;
        let due: Vec<(Instant, Step)> = due;
        due.into_iter().map(|(_, step)| step).collect()
    }

    fn plan(&mut self, now: Instant, instances: usize, partitions: &[Partition]) {
        let rng = &mut self.rng;
        let is_cut = rng.random_bool(0.7);
        let of = if is_cut { partitions.len() } else { instances };
        let mut indices: Vec<usize> = (0..of).collect();
        indices.shuffle(rng);
        // Up to all instances are cut off, but no more than a third of them stops in a series.
        let most = if is_cut { of } else { of.div_ceil(3) };
        indices.truncate(rng.random_range(1..=most.max(1)));
        let kind = if rng.random_bool(0.5) {
            OutageKind::Hang
        } else {
            OutageKind::Refuse
        };
        let length = Duration::from_millis(rng.random_range(CUT_MS));
        let signal = if rng.random_bool(0.7) { "TERM" } else { "KILL" };
        let is_whole = rng.random_bool(0.7);
        let pause = Duration::from_millis(rng.random_range(0..MAX_STEP_MS));
        let mut at = now;
        for index in indices {
            let step = if is_cut {
                let targets = partitions[index].len();
                let count = if is_whole { targets } else { targets - 1 };
                Step::Cut {
                    index,
                    count,
                    kind,
                    length,
                }
            } else {
                Step::Stop { index, signal }
            };
            self.steps.push((at, step));
            at += pause;
        }
    }
}
