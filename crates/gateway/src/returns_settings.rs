//! Settings of the return order of refused requests.

use std::ops::RangeInclusive;

use serde::Deserialize;

/// Allowed values of `min_objective_ms`. Above a minute, no route would be concerned.
pub const MIN_OBJECTIVE_RANGE_MS: RangeInclusive<u64> = 1..=60_000;

/// Table `[returns]` of the settings. Without it, all refused callers are told the same pause.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReturnsSettings {
    /// Objective up to which the callers of a route are told the same pause, in milliseconds.
    #[serde(default = "default_min_objective_ms")]
    pub min_objective_ms: u64,
}

/// Default of the objective, in milliseconds. Callers with less time cannot wait for a slot of 100 ms.
fn default_min_objective_ms() -> u64 {
    400
}
