//! Answers to the question which addresses a caller is to use.

use std::collections::HashMap;

use http_types::{Request, Response, StatusCode};
use model::{Code, ServiceName, Zone};
use rand::Rng;
use serde::Serialize;

use crate::{
    call::refusal,
    context::Context,
    snapshot::{EntryAddr, Snapshot},
};

/// Path of the question.
pub const ADDRESSES_PATH: &str = "/v1/addresses";
/// Time for which an answer may be kept, in milliseconds.
const MAX_AGE_MS: u64 = 2_000;
/// Largest deviation from [`MAX_AGE_MS`] in either direction, so that callers do not ask in step.
const JITTER_MS: u64 = 400;
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
    if !snapshot.ready {
        return refusal(Code::NotReady, 1_000);
    }
    let Some(service) = query.get("service") else {
        return refusal(Code::BadRequest, 0);
    };
    let zone = query.get("zone").map(|z| Zone::new(z));
    let addresses = choose(&snapshot, &ServiceName::new(service), zone.as_ref());
    let Some(addresses) = addresses else {
        return refusal(Code::UnknownService, 0);
    };
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

/// Addresses for a service, those of the caller's availability zone first. `None` for an unknown
/// service.
fn choose(snapshot: &Snapshot, service: &ServiceName, zone: Option<&Zone>) -> Option<Vec<String>> {
    let service = snapshot.services.get(service)?;
    let near = |e: &&EntryAddr| Some(&e.zone) == zone;
    let local = service.entries.iter().filter(near);
    let others = service.entries.iter().filter(|e| !near(e));
    let all = local.chain(others).take(MAX_ADDRESSES);
    Some(all.map(|e| e.addr.to_string()).collect())
}
