//! Prints figures: the median of several rounds with the smallest and the largest.

use std::time::Instant;

use serde_json::json;

/// Rounds of each timed figure.
const ROUNDS: usize = 3;

/// Where figures go.
#[derive(Clone, Copy)]
pub struct Report {
    /// JSON lines instead of text.
    pub json: bool,
}

impl Report {
    /// Prints one figure of several rounds.
    pub fn row(self, part: &str, name: &str, size: &str, unit: &str, rounds: &[f64]) {
        let mut sorted = rounds.to_vec();
        sorted.sort_by(f64::total_cmp);
        let (Some(low), Some(high)) = (sorted.first(), sorted.last()) else {
            return;
        };
        let median = sorted[sorted.len() / 2];
        if self.json {
            let line = json!({"bench": "capacity", "part": part, "name": name, "size": size,
                "unit": unit, "median": median, "low": low, "high": high, "rounds": rounds.len()});
            println!("{line}");
        } else {
            println!(
                "{part:<10} {name:<34} {size:<28} {median:>12.2} {unit} ({low:.2} to {high:.2})"
            );
        }
    }
}

/// Microseconds of one of `count` repeats of `work`, for each round.
pub fn time_us(count: u32, mut work: impl FnMut()) -> Vec<f64> {
    let mut round = || {
        let began = Instant::now();
        for _ in 0..count {
            work();
        }
        began.elapsed().as_secs_f64() * 1e6 / f64::from(count)
    };
    (0..ROUNDS).map(|_| round()).collect()
}
