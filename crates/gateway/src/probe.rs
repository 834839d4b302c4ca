//! Asks targets for their load just before a choice.

use std::{rc::Rc, time::Duration};

use async_std::future::timeout;
use balance::Target;
use futures::future::join_all;
use model::{TargetId, Time};
use platform::{cold_ms, headers, load_report};

use crate::{
    exchange::{Message, Sent, exchange},
    state::State,
};

/// Time for the answers, in milliseconds. They come within 2 ms across zones; a target that takes
/// longer is no good choice.
const ANSWER_MS: u64 = 10;

/// Asks `targets` and notes their answers. Targets that do not answer in time keep their old report.
pub async fn probe(state: &Rc<State>, targets: &[TargetId]) {
    let start = state.now();
    let asked = targets.iter().map(|id| probe_one(state, id));
    // Late answers are dropped with their connections.
    if timeout(Duration::from_millis(ANSWER_MS), join_all(asked))
        .await
        .is_err()
    {
        note_silent(state, targets, start);
    }
}

/// Notes targets that did not answer although others did, so that the delay is not this instance's.
fn note_silent(state: &State, asked: &[TargetId], start: Time) {
    let mut targets = state.targets.borrow_mut();
    let has_answered = |t: &Target| t.load.is_some_and(|load| load.at >= start);
    let (answered, silent): (Vec<&TargetId>, Vec<&TargetId>) = asked
        .iter()
        .partition(|id| targets.get(id).is_some_and(has_answered));
    if answered.is_empty() {
        return;
    }
    for id in silent {
        if let Some(target) = targets.get_mut(id) {
            target.health.note(start, 0, 1);
        }
    }
}

async fn probe_one(state: &Rc<State>, id: &TargetId) {
    let Some((addr, path)) = address(state, id) else {
        return;
    };
    if !state.may_probe() {
        state.metrics.count("probes_over_budget", 1);
        return;
    }
    state.metrics.count("probes", 1);
    let bytes = format!("GET {path} HTTP/1.1\r\nHost: {addr}\r\n\r\n").into_bytes();
    let message = Message {
        method: "GET",
        id: None,
        bytes: &bytes,
    };
    let now = state.now();
    let sent = exchange(state, addr, message, now.plus_ms(ANSWER_MS * 2), || true).await;
    let response = match sent {
        Sent::Response(response) => response,
        Sent::Unsent(_) => return state.note_down(id),
        Sent::Lost(_) => return,
    };
    let mut targets = state.targets.borrow_mut();
    if response
        .headers
        .only(headers::TARGET)
        .is_some_and(|other| other != id.as_str())
    {
        // The address belongs to another target now.
        targets.remove(id);
        return;
    }
    let Some(target) = targets.get_mut(id) else {
        return;
    };
    let now = state.now();
    if let Some(load) = load_report(&response.headers, now) {
        target.note_load(load);
    }
    if let Some(cold_ms) = cold_ms(&response.headers) {
        target.note_cold(now, cold_ms);
    }
    if response.status != 200 {
        target.health.note(now, 0, 1);
    }
}

fn address(state: &State, id: &TargetId) -> Option<(std::net::SocketAddr, std::sync::Arc<str>)> {
    let targets = state.targets.borrow();
    let entry = &targets.get(id)?.entry;
    let manifest = state.manifest()?;
    Some((entry.addr, manifest.service(&entry.service)?.health.clone()))
}
