//! Parses the `hw-*` headers of a call's request head.

use std::net::SocketAddr;

use http_types::Request;
use model::{ClassName, Code, ServiceName, Time};
use policy::Call;

use crate::{context::Context, snapshot::ServiceSnapshot};

/// Maximum number of retries in total along a chain of nested calls.
const MAX_CHAIN_RETRIES: u32 = 2;
/// Longest time limit that a caller may state in `hw-deadline-ms`, in milliseconds.
const MAX_DEADLINE_MS: u64 = model::MAX_TIMEOUT_MS;

/// Longest idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Returns the call that a request head describes. The caller of this function sets the fields that
/// depend on the body after it was read.
pub fn parse_call(
    ctx: &Context,
    req: &Request,
    service: &ServiceSnapshot,
    peer: Option<SocketAddr>,
) -> Result<Call, Code> {
    let name = ClassName::new(header(req, "hw-class").ok_or(Code::BadHeader)?);
    let classes = &service.view.classes;
    let class = classes
        .iter()
        .position(|c| c.name == name)
        .ok_or(Code::UnknownClass)?;
    let limit_ms = match header(req, "hw-deadline-ms") {
        Some(text) => parse_number(text, MAX_DEADLINE_MS)?,
        None => classes[class].timeout_ms,
    };
    let retries = match header(req, "hw-retry-budget") {
        Some(text) => u32::try_from(parse_number(text, u64::from(MAX_CHAIN_RETRIES))?)
            .map_err(|_| Code::BadHeader)?,
        None => MAX_CHAIN_RETRIES,
    };
    if key_of(req).is_some_and(|k| k.is_empty() || k.len() > MAX_KEY_BYTES) {
        return Err(Code::BadHeader);
    }
    let arrived: Time = ctx.clock.now();
    Ok(Call {
        id: ctx.next_call(),
        class,
        caller: caller_hash(req, peer),
        bytes: 0,
        arrived,
        deadline: arrived.plus_ms(limit_ms),
        replayable: false,
        retries,
    })
}

/// Returns the service that a request names.
pub fn service_name(req: &Request) -> Option<ServiceName> {
    header(req, "hw-service").map(ServiceName::new)
}

/// Returns the idempotency key of a request.
pub fn key_of(req: &Request) -> Option<&str> {
    header(req, "idempotency-key")
}

fn header<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.header(name).map(|v| v.last().as_str())
}

fn parse_number(text: &str, max: u64) -> Result<u64, Code> {
    let number = text.parse().map_err(|_| Code::BadHeader)?;
    if number > max {
        Err(Code::BadHeader)
    } else {
        Ok(number)
    }
}

/// Returns a hash of the caller's name, or of its IP address if it states no name.
fn caller_hash(req: &Request, peer: Option<SocketAddr>) -> u64 {
    let name = header(req, "hw-caller").map(str::to_owned);
    let name = name
        .or_else(|| peer.map(|p| p.ip().to_string()))
        .unwrap_or_default();
    model::rendezvous("caller", &name)
}
