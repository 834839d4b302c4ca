//! Probes targets for their load just before one of them is selected.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use async_std::future::timeout;
use balance::Target;
use futures::{StreamExt, stream::FuturesUnordered};
use h1::Response;
use model::{TargetId, Time};
use platform::{cold_ms, headers, load_report};

use crate::{
    exchange::{EncodedRequest, Identity, SendResult, exchange},
    notices::record_notices,
    reach::record_silent,
    scheduling::is_noticed_late,
    state::State,
    target_limits::record_stated_limit,
};

/// Time for the responses, in milliseconds. They arrive within 2 ms across zones; a target that
/// needs longer is a bad choice.
const USUAL_TIMEOUT_MS: u64 = 10;
/// Time for the other responses after a late first response, in milliseconds.
const AFTER_FIRST_MS: u64 = 3;
/// Time for the first response, in milliseconds. If none has arrived, this instance itself is
/// delayed, and a selection without load reports costs more than the wait.
const FIRST_TIMEOUT_MS: u64 = 30;

/// Probes `targets` and records their load reports. Targets that do not respond in time keep their
/// old report.
pub async fn probe(state: &Rc<State>, targets: &[TargetId]) {
    let start = state.now();
    let mut probes: FuturesUnordered<_> = targets.iter().map(|id| probe_one(state, id)).collect();
    let in_time = start.plus_ms(USUAL_TIMEOUT_MS);
    let mut first: Option<Time> = None;
    loop {
        let limit = first.map_or(start.plus_ms(FIRST_TIMEOUT_MS), |at| {
            in_time.max(at.plus_ms(AFTER_FIRST_MS))
        });
        let left = Duration::from_micros(limit.since_us(state.now()));
        // Dropping the pending probes closes their connections.
        match timeout(left, probes.next()).await {
            Ok(Some(has_responded)) if has_responded && first.is_none() => {
                first = Some(state.now());
            }
            Ok(Some(_)) => {}
            Err(_) if first.is_some_and(|at| at < in_time) => {
                return record_unresponsive(state, targets, start);
            }
            Ok(None) => return,
            Err(_) => {
                drop(probes);
                if first.is_none() && !is_noticed_late(limit, state.now()) {
                    record_silent(state, targets.iter());
                }
                return;
            }
        }
    }
}

/// Records a failure for targets that did not respond although others did, so that the delay is not
/// at this instance.
fn record_unresponsive(state: &State, probed: &[TargetId], start: Time) {
    let mut targets = state.targets.borrow_mut();
    let has_responded = |t: &Target| t.load.is_some_and(|load| load.reported_at >= start);
    let (responsive, unresponsive): (Vec<&TargetId>, Vec<&TargetId>) = probed
        .iter()
        .partition(|id| targets.get(id).is_some_and(has_responded));
    if responsive.is_empty() {
        return;
    }
    for id in unresponsive {
        if let Some(target) = targets.get_mut(id) {
            target.health.record(start, 0, 1);
        }
    }
}

/// Probes one target. Returns whether it responded.
async fn probe_one(state: &Rc<State>, id: &TargetId) -> bool {
    let Some((addr, path, born)) = address(state, id) else {
        return false;
    };
    if !state.take_probe_token() {
        state.metrics.count("probes_over_budget", 1);
        return false;
    }
    state.metrics.count("probes", 1);
    let bytes = format!("GET {path} HTTP/1.1\r\nHost: {addr}\r\n\r\n").into_bytes();
    let request = EncodedRequest {
        method: "GET",
        identity: Identity::Health(id.as_str()),
        head: &bytes,
        body: None,
        held: None,
        target: Some(id),
    };
    let now = state.now();
    let result = exchange(
        state,
        addr,
        request,
        now.plus_ms(FIRST_TIMEOUT_MS),
        async || true,
    )
    .await;
    let response = match result {
        SendResult::Response(response) => response,
        SendResult::NotSent(_) => {
            state.record_refused_connection(id);
            return false;
        }
        SendResult::NoResponse(_) | SendResult::NoRoom => return false,
    };
    record_notices(state, id, born, &response, "probe");
    apply_response(state, id, &response);
    true
}

/// Records the load report and the health in a probe response.
fn apply_response(state: &State, id: &TargetId, response: &Response) {
    let mut targets = state.targets.borrow_mut();
    if response
        .headers
        .single_value(headers::TARGET)
        .is_some_and(|other| other != id.as_str())
    {
        // The address belongs to another target now.
        targets.remove(id, state.now());
        return;
    }
    let Some(target) = targets.get_mut(id) else {
        return;
    };
    let now = state.now();
    if let Some(load) = load_report(&response.headers, now) {
        target.record_load(load);
    }
    if let Some(cold_ms) = cold_ms(&response.headers) {
        target.record_cold_ms(now, cold_ms);
    }
    if response.status != 200 {
        target.health.record(now, 0, 1);
    }
    drop(targets);
    // A response without the id may come from another target that has the address now.
    if response.headers.has(headers::TARGET) {
        record_stated_limit(state, id, response, "probe");
    }
}

/// Returns the address of a target, the path of its health check and the start of its process.
fn address(state: &State, id: &TargetId) -> Option<(SocketAddr, Arc<str>, u64)> {
    let targets = state.targets.borrow();
    let entry = &targets.get(id)?.entry;
    let config = state.config()?;
    Some((
        entry.addr,
        config.service(&entry.service)?.health_path.clone(),
        entry.born,
    ))
}

#[cfg(test)]
mod tests;
