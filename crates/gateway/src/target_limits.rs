//! Records the limits on requests that targets state in their responses, and exchanges them with
//! the other instances.

use h1::Response;
use model::{InstanceId, TargetId, Time};
use platform::rate_limit;
use tracing::{info, warn};

use crate::{limit_report::LimitReport, state::State};

/// Most reports in one heartbeat. At up to 40 bytes each they leave room for the rest of it in a
/// datagram; the next heartbeat takes the remaining ones.
const MAX_REPORTS: usize = 16;

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

/// Returns the news of limits that the other instances are to be told.
pub fn take_limit_reports(state: &State) -> Vec<LimitReport> {
    let now = state.now();
    let mut targets = state.targets.borrow_mut();
    let due = targets.all_mut().filter_map(|target| {
        let (rate, age_us) = target.limit.take_report(now)?;
        Some(LimitReport {
            target: target.entry.id.clone(),
            born: target.entry.born,
            rate,
            age_ms: age_us / 1_000,
        })
    });
    due.take(MAX_REPORTS).collect()
}

/// Applies the limits that the instance `peer` reports.
pub fn apply_limit_reports(state: &State, reports: &[LimitReport], peer: &InstanceId) {
    let now = state.now();
    for report in reports {
        let as_of = now.minus_ms(report.age_ms);
        let is_valid = report
            .rate
            .is_none_or(|rate| rate.is_finite() && rate >= 0.0);
        let is_change = state
            .targets
            .borrow_mut()
            .get_mut(&report.target)
            .filter(|target| is_valid && target.entry.born == report.born)
            .is_some_and(|target| target.limit.record_report(report.rate, as_of, now));
        if is_change {
            log_change(state, &report.target, report.rate, as_of, peer.as_str());
        }
    }
}

fn log_change(state: &State, id: &TargetId, rate: Option<f64>, as_of: Time, source: &str) {
    let age_ms = state.now().since_us(as_of) / 1_000;
    if let Some(limit) = rate {
        info!(event = "target_limit", target_id = %id, limit, age_ms, source);
    } else {
        info!(event = "target_unlimited", target_id = %id, age_ms, source);
    }
}

#[cfg(test)]
mod tests;
