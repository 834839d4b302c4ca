//! Answers to the question which addresses a caller is to use.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use http_types::{Request, Response, StatusCode};
use model::{Code, ServiceName, Zone};
use rand::Rng;
use serde::Serialize;

use crate::{call::refusal, context::Context, snapshot::EntryAddr};

/// Path of the question.
pub const ADDRESSES_PATH: &str = "/v1/addresses";
/// Time for which an answer may be kept, in milliseconds.
const MAX_AGE_MS: u64 = 2_000;
/// Largest deviation from [`MAX_AGE_MS`] in either direction, so that callers do not ask in step.
const JITTER_MS: u64 = 400;
/// Largest time for which any instance lets callers keep an answer.
pub const MAX_ANSWER_AGE: Duration = Duration::from_millis(MAX_AGE_MS + JITTER_MS);
/// Most addresses in an answer.
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
    // The list shows this instance as leaving only after its lag.
    let own = ctx.settings.listen;
    let left_out = ctx.progress.is_leaving().then_some(own);
    let addresses = choose(&service.entries, zone.as_ref(), left_out);
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

/// Up to [`MAX_ADDRESSES`] of `entries` without `left_out`: those of the caller's availability zone
/// first, otherwise in the given order.
fn choose(entries: &[EntryAddr], zone: Option<&Zone>, left_out: Option<SocketAddr>) -> Vec<String> {
    let near = |e: &&EntryAddr| Some(&e.zone) == zone;
    let usable = || entries.iter().filter(|e| Some(e.addr) != left_out);
    let local = usable().filter(near);
    let others = usable().filter(|e| !near(e));
    let all = local.chain(others).take(MAX_ADDRESSES);
    all.map(|e| e.addr.to_string()).collect()
}

#[cfg(test)]
mod tests;
