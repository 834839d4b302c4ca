//! Parameters of an upstream and distributions of service times.

use std::time::Duration;

use rand::Rng;
use rand_distr::{Distribution, LogNormal, Pareto};

/// Limit of a heavy-tailed service time as a multiple of the mean, so that a single call cannot use
/// a slot for a whole run.
const MAX_MEAN_FACTOR: f64 = 100.0;

/// Parameters of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamSpec {
    /// Number of calls that may run at the same time; further calls are refused.
    pub slots: u32,
    /// Mean service time in microseconds.
    pub mean_us: f64,
    /// Standard deviation of the logarithm of the service time. Not used by
    /// [`super::Upstream::start_with`].
    pub sigma: f64,
    /// Seed of the random service times and refusals.
    pub seed: u64,
}

/// Distribution of service times.
#[derive(Clone, Copy, Debug)]
pub enum ServiceTimes {
    /// Log-normal distribution with this standard deviation of the logarithm.
    LogNormal(f64),
    /// Pareto distribution with this exponent, which is above 1.
    Pareto(f64),
}

impl ServiceTimes {
    /// Draws a service time from the distribution with the mean `mean_us`, in microseconds.
    pub fn sample<R: Rng>(self, mean_us: f64, rng: &mut R) -> Duration {
        let us = match self {
            Self::LogNormal(sigma) => {
                let mu = mean_us.max(f64::MIN_POSITIVE).ln() - sigma * sigma / 2.0;
                LogNormal::new(mu, sigma).map_or(mean_us, |d| d.sample(rng))
            }
            Self::Pareto(exponent) => {
                let scale = mean_us * (exponent - 1.0) / exponent;
                let drawn = Pareto::new(scale, exponent).map_or(mean_us, |d| d.sample(rng));
                drawn.min(mean_us * MAX_MEAN_FACTOR)
            }
        };
        Duration::from_secs_f64(us.max(0.0) / 1e6)
    }
}
