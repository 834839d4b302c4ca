//! Records what a target says of itself in a response: that it leaves, and that it wants no requests
//! from this instance for some time.

use balance::Targets;
use h1::Response;
use model::TargetId;
use platform::{closed_ms, headers, says_leaving};
use serde::{Deserialize, Serialize};
use tracing::{info, warn};

use crate::{state::State, target_limits::record_stated_limit};

/// Report that a process of a target has said that it leaves. The order and the types of the fields
/// are the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingReport {
    /// Target that leaves.
    pub target: TargetId,
    /// Start of its process, as in its entry. A later process of the same name has not left.
    pub born: u64,
}

/// Records what the process of the target `id` that started at `born` says in a response to a request
/// or a probe of this instance. `source` names the kind of response in the log.
pub fn record_notices(state: &State, id: &TargetId, born: u64, response: &Response, source: &str) {
    // A response to a request for another target says nothing of this one.
    let other = response.headers.single_value(headers::TARGET);
    if response.status == 421 || other.is_some_and(|other| other != id.as_str()) {
        return;
    }
    let is_refusal = response.headers.has(headers::NOT_RUN);
    if source == "response" && (is_refusal || response.headers.has(headers::SIGNATURE)) {
        record_stated_limit(state, id, response, source);
    }
    match says_leaving(&response.headers) {
        Ok(true) => record_leaving(state, id, born, source),
        Ok(false) => {}
        Err(value) => warn!(event = "leaving_malformed", target_id = %id, value, source),
    }
    if response.status == 503 {
        record_closed(state, id, born, response, source);
    }
}

fn record_leaving(state: &State, id: &TargetId, born: u64, source: &str) {
    let now = state.now();
    let mut targets = state.targets.borrow_mut();
    if !targets.record_leaving(id, born, now) {
        return;
    }
    let addr = targets.get(id).map(|t| t.entry.addr);
    drop(targets);
    info!(event = "target_leaving", target_id = %id, born, source);
    state.metrics.count("targets_leaving", 1);
    if let Some(addr) = addr {
        state.pool.close_all(addr);
    }
    let report = LeavingReport {
        target: id.clone(),
        born,
    };
    state.leaving_news.borrow_mut().push(report);
}

fn record_closed(state: &State, id: &TargetId, born: u64, response: &Response, source: &str) {
    match closed_ms(&response.headers) {
        Ok(Some(for_ms)) => {
            let now = state.now();
            let mut targets = state.targets.borrow_mut();
            targets.record_closed(id, born, now, for_ms);
            info!(event = "target_closed", target_id = %id, born, for_ms, source);
            state.metrics.count("targets_closed", 1);
        }
        Ok(None) => {}
        Err(value) => warn!(event = "closed_malformed", target_id = %id, value, source),
    }
}

/// Applies what the instance `peer` reports of targets that leave.
pub fn apply_leaving(state: &State, reports: &[LeavingReport], peer: &str) {
    let now = state.now();
    for LeavingReport { target, born } in reports {
        let is_news = state
            .targets
            .borrow_mut()
            .record_leaving(target, *born, now);
        if is_news {
            info!(event = "target_leaving", target_id = %target, born, source = peer);
        }
    }
}

/// Returns reports on all processes that have said that they leave.
pub fn leaving_reports(targets: &Targets) -> Vec<LeavingReport> {
    let leaving = targets.leaving();
    let reports = leaving.map(|(target, born)| LeavingReport {
        target: target.clone(),
        born,
    });
    reports.collect()
}

#[cfg(test)]
mod tests;
