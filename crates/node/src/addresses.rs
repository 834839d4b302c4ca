//! Answers address queries: which instances a caller should connect to for a service.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use http_types::{Request, Response, StatusCode};
use model::{Code, ServiceName, Zone};
use rand::Rng;
use serde::Serialize;

use crate::{call::refusal, context::Context, snapshot::EntryAddr};

/// Path of address queries.
pub const ADDRESSES_PATH: &str = "/v1/addresses";
/// Mean time for which a caller may cache an answer, in milliseconds.
const MAX_AGE_MS: u64 = 2_000;
/// Largest deviation from [`MAX_AGE_MS`] in either direction, so that callers do not query all at once.
const JITTER_MS: u64 = 400;
/// Longest time for which any instance lets callers cache an answer.
pub const MAX_ANSWER_AGE: Duration = Duration::from_millis(MAX_AGE_MS + JITTER_MS);
/// Maximum number of addresses in an answer.
const MAX_ADDRESSES: usize = 4;

#[derive(Debug, Serialize)]
struct Answer {
    addresses: Vec<String>,
    max_age_ms: u64,
}

/// Answers `GET /v1/addresses?service=S&zone=Z&class=C`.
pub fn answer_addresses(ctx: &Context, req: &Request) -> Response {
    let query: HashMap<String, String> = req.query().unwrap_or_default();
    let snapshot = ctx.snapshot.load();
    if !snapshot.can_serve() {
        return refusal(Code::NotReady, 1_000);
    }
    let Some(service) = query.get("service") else {
        return refusal(Code::BadRequest, 0);
    };
    let zone = query.get("zone").map(|z| Zone::new(z));
    let Some(service) = snapshot.services.get(&ServiceName::new(service)) else {
        return refusal(Code::UnknownService, 0);
    };
    // The instance list shows this instance as leaving only after a delay.
    let own = ctx.settings.listen;
    let excluded = ctx.progress.is_leaving().then_some(own);
    let addresses = choose(&service.entries, zone.as_ref(), excluded);
    let jitter = rand::rng().random_range(0..=2 * JITTER_MS);
    let answer = Answer {
        addresses,
        max_age_ms: MAX_AGE_MS - JITTER_MS + jitter,
    };
    let Ok(body) = serde_json::to_vec(&answer) else {
        return refusal(Code::NotReady, 1_000);
    };
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(body);
    response.insert_header("hw-offset", snapshot.offset.to_string());
    response.insert_header("content-type", "application/json");
    response.insert_header(
        "cache-control",
        format!("max-age={}", answer.max_age_ms / 1_000),
    );
    response
}

/// Returns up to [`MAX_ADDRESSES`] of `entries` without `excluded`: those of the caller's availability zone
/// first, otherwise in the given order.
fn choose(entries: &[EntryAddr], zone: Option<&Zone>, excluded: Option<SocketAddr>) -> Vec<String> {
    let near = |e: &&EntryAddr| Some(&e.zone) == zone;
    let usable = || entries.iter().filter(|e| Some(e.addr) != excluded);
    let local = usable().filter(near);
    let others = usable().filter(|e| !near(e));
    let all = local.chain(others).take(MAX_ADDRESSES);
    all.map(|e| e.addr.to_string()).collect()
}

#[cfg(test)]
mod tests;
