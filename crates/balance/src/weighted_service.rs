//! Weighted split of a route's requests between services.

use model::ServiceName;

/// A service that gets a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// Chooses a service with a probability in proportion to its weight. `random` is a uniform random
/// number in 0..1. Returns `None` if no weight is above 0.
#[must_use]
pub fn choose_service(split: &[WeightedService], random: f64) -> Option<&WeightedService> {
    let total: f64 = split.iter().map(|s| f64::from(s.weight)).sum();
    let mut rest = random * total;
    for service in split.iter().filter(|s| s.weight > 0) {
        rest -= f64::from(service.weight);
        if rest < 0.0 {
            return Some(service);
        }
    }
    split.iter().rfind(|s| s.weight > 0)
}

#[cfg(test)]
mod tests;
