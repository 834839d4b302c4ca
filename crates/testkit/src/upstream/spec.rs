//! Shape of an upstream and its service times.

use std::time::Duration;

use rand::Rng;
use rand_distr::{Distribution, LogNormal, Pareto};

/// Largest multiple of the mean that a heavy-tailed service time reaches, so that one call cannot
/// hold a slot for a whole run.
const MAX_TAIL_FACTOR: f64 = 100.0;

/// Shape of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamSpec {
    /// Calls that run at a time; more are refused without running.
    pub slots: u32,
    /// Mean service time in microseconds.
    pub mean_us: f64,
    /// Standard deviation of the logarithm of the service time.
    pub sigma: f64,
    /// Seed of the service times.
    pub seed: u64,
}

/// Distribution of service times with a given mean.
#[derive(Clone, Copy, Debug)]
pub enum Tail {
    /// Log-normal with this standard deviation of the logarithm.
    LogNormal(f64),
    /// Pareto with this exponent, above 1.
    Pareto(f64),
}

impl Tail {
    /// Draws a service time with mean `mean_us`.
    pub fn sample<R: Rng>(self, mean_us: f64, rng: &mut R) -> Duration {
        let us = match self {
            Self::LogNormal(sigma) => {
                let mu = mean_us.max(f64::MIN_POSITIVE).ln() - sigma * sigma / 2.0;
                LogNormal::new(mu, sigma).map_or(mean_us, |d| d.sample(rng))
            }
            Self::Pareto(exponent) => {
                let scale = mean_us * (exponent - 1.0) / exponent;
                let drawn = Pareto::new(scale, exponent).map_or(mean_us, |d| d.sample(rng));
                drawn.min(mean_us * MAX_TAIL_FACTOR)
            }
        };
        Duration::from_secs_f64(us.max(0.0) / 1e6)
    }
}
