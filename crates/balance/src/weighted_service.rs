//! One share of a route's requests.

use model::ServiceName;

/// A service and its weight among the parts of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Service.
    pub service: ServiceName,
    /// Weight relative to the other parts.
    pub weight: u32,
}

/// Draws a part in proportion to the weights. `draw` is uniform in 0..1.
#[must_use]
pub fn choose_service(parts: &[WeightedService], draw: f64) -> Option<&WeightedService> {
    let total: f64 = parts.iter().map(|p| f64::from(p.weight)).sum();
    let mut rest = draw * total;
    for part in parts.iter().filter(|p| p.weight > 0) {
        rest -= f64::from(part.weight);
        if rest < 0.0 {
            return Some(part);
        }
    }
    parts.iter().rfind(|p| p.weight > 0)
}

#[cfg(test)]
mod tests;
