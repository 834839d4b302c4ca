//! Encodes responses to callers.

use h1::{Response, write_headers};
use model::{Code, Outcome};
use platform::headers;

/// Time after which a caller may retry while the instance is not ready, knows no target or cannot
/// connect to one, in milliseconds.
const UNKNOWN_RETRY_MS: u32 = 250;
/// Time after which a caller may retry while all targets are busy, in milliseconds. A slot becomes
/// free in about this time.
const BUSY_RETRY_MS: u32 = 40;

/// Returns the status and the reason phrase for a request that ends with `code`.
#[must_use]
pub fn status(code: Code) -> (u16, &'static str) {
    match code {
        Code::UnknownRoute => (404, "Not Found"),
        Code::HeadTooLarge => (431, "Request Header Fields Too Large"),
        Code::BodyTooLarge => (413, "Content Too Large"),
        Code::SlowSender => (408, "Request Timeout"),
        Code::UpstreamTimeout => (504, "Gateway Timeout"),
        code if code.number() / 1_000 == 2 => (400, "Bad Request"),
        code if code.outcome() == Outcome::NotRun => (503, "Service Unavailable"),
        _ => (502, "Bad Gateway"),
    }
}

/// Returns the time after which the caller may retry, in milliseconds.
fn retry_ms(code: Code) -> Option<u32> {
    match code {
        Code::NotReady | Code::NoTarget | Code::ConnectFailed => Some(UNKNOWN_RETRY_MS),
        Code::CannotMeet | Code::UpstreamRefused => Some(BUSY_RETRY_MS),
        _ => None,
    }
}

/// Encodes the response to a refused request with request id `id`.
#[must_use]
pub fn encode_refusal(code: Code, id: Option<&str>, close: bool) -> Vec<u8> {
    let (status, reason) = status(code);
    let body = format!("{{\"error\":\"{}\",\"code\":{}}}", reason, code.number());
    let mut head = format!("HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n");
    if let Some(id) = id {
        let line = format!("{}: {id}\r\n", headers::REQUEST_ID);
        head.push_str(&line);
    }
    if let Some(ms) = retry_ms(code) {
        let line = format!("Retry-After: {}.{:03}\r\n", ms / 1_000, ms % 1_000);
        head.push_str(&line);
    }
    finish(head.into_bytes(), body.as_bytes(), close)
}

/// Encodes a response of the instance's own endpoints.
#[must_use]
pub fn encode_local(
    status: u16,
    reason: &str,
    content_type: &str,
    body: &[u8],
    close: bool,
) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} {reason}\r\nContent-Type: {content_type}\r\n");
    finish(head.into_bytes(), body, close)
}

/// Encodes the response of a target. If it answers a `HEAD` request (`to_head`), it states a length
/// but has no body.
#[must_use]
pub fn encode_forwarded(response: &Response, to_head: bool, close: bool) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(response.body.len() + 512);
    bytes.extend_from_slice(
        format!("HTTP/1.1 {} {}\r\n", response.status, response.reason).as_bytes(),
    );
    write_headers(&mut bytes, response.headers.end_to_end());
    if to_head || matches!(response.status, 204 | 304) {
        if to_head && let Some(len) = response.headers.single_value("content-length") {
            bytes.extend_from_slice(format!("Content-Length: {len}\r\n").as_bytes());
        }
        bytes.extend_from_slice(if close {
            b"Connection: close\r\n\r\n"
        } else {
            b"\r\n"
        });
        return bytes;
    }
    finish(bytes, &response.body, close)
}

fn finish(mut head: Vec<u8>, body: &[u8], close: bool) -> Vec<u8> {
    if close {
        head.extend_from_slice(b"Connection: close\r\n");
    }
    head.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    head.extend_from_slice(body);
    head
}

#[cfg(test)]
mod tests;
