//! Table `[hedging]` of the settings.

use balance::HedgePolicy;
use serde::Deserialize;

/// Limits on hedges. The names of the fields are the keys of the table.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HedgingSettings {
    /// Hedges of all instances, as a share of the idempotent requests of a service.
    pub share: f64,
    /// Quantile of a route's latencies after which a hedge is due.
    #[serde(default = "default_quantile")]
    pub quantile: f64,
    /// Mean busy share of the slots of a service's targets above which no hedges are sent.
    #[serde(default = "default_max_load")]
    pub max_load: f64,
}

/// Default quantile: one request in twenty then reaches the moment of the hedge.
fn default_quantile() -> f64 {
    0.95
}

/// Default load, below the 0.8 from which requests of a target slow each other down.
fn default_max_load() -> f64 {
    0.7
}

impl HedgingSettings {
    /// Returns the first value that is not allowed, as key, value and description of what is allowed.
    pub fn fault(&self) -> Option<(&'static str, f64, &'static str)> {
        let is_part = |value: f64| (0.0..=1.0).contains(&value);
        if !is_part(self.share) {
            return Some(("hedging.share", self.share, "a number of 0 to 1"));
        }
        if !(0.5..=0.999).contains(&self.quantile) {
            return Some((
                "hedging.quantile",
                self.quantile,
                "a number of 0.5 to 0.999",
            ));
        }
        if !is_part(self.max_load) {
            return Some(("hedging.max_load", self.max_load, "a number of 0 to 1"));
        }
        None
    }

    /// Returns the policy with these limits.
    pub fn policy(&self) -> HedgePolicy {
        HedgePolicy {
            share: self.share,
            quantile: self.quantile,
            max_load: self.max_load,
        }
    }
}
