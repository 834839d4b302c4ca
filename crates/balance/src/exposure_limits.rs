//! Limit on the requests that a version may get before it has shown that it is good.

/// Limit on the requests to a bad version, as the operator states it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimits {
    /// Fraction of the service's requests in the time allowed for the rollout.
    pub share: f64,
    /// Requests in addition.
    pub slack: f64,
}

impl ExposureLimits {
    /// Returns the number of requests that a bad version may get if the service gets `requests` in the
    /// time allowed for the rollout.
    #[must_use]
    pub fn allowed(self, requests: f64) -> f64 {
        self.share * requests + self.slack
    }
}
