//! Records the limits on requests that targets state in their responses, and exchanges them with
//! the other instances.

use h1::Response;
use model::{TargetId, Time};
use platform::rate_limit;
use tracing::{info, warn};

use crate::state::State;

/// Records the limit that the target `id` states in a response, or that it states none. `source`
/// names the kind of response in the log.
pub fn record_stated_limit(state: &State, id: &TargetId, response: &Response, source: &str) {
    let now = state.now();
    let rate = match rate_limit(&response.headers) {
        Ok(rate) => rate,
        Err(value) => {
            warn!(event = "limit_malformed", target_id = %id, value, source);
            return;
        }
    };
    let is_change = state
        .targets
        .borrow_mut()
        .get_mut(id)
        .is_some_and(|target| target.limit.record(rate, now));
    if is_change {
        log_change(state, id, rate, now, source);
    }
}

fn log_change(state: &State, id: &TargetId, rate: Option<f64>, as_of: Time, source: &str) {
    let age_ms = state.now().since_us(as_of) / 1_000;
    match rate {
        Some(limit) => info!(event = "target_limit", target_id = %id, limit, age_ms, source),
        None => info!(event = "target_unlimited", target_id = %id, age_ms, source),
    }
}
