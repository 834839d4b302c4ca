//! Responses to callers, as bytes.

use h1::{Response, write_headers};
use platform::headers;

/// Body and header that tell a caller why a request got no response of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The configuration has no route for it.
    NoRoute,
    /// No configuration is known yet.
    NoConfig,
    /// No target may get it.
    NoTarget,
    /// It cannot be served in time.
    TooBusy,
    /// Targets refused it.
    Shed,
    /// It may have run, and no proper response came.
    Unknown,
    /// It may have run, and time is over.
    Late,
    /// Time was over before it was sent.
    Expired,
    /// The request is malformed.
    Malformed,
    /// Its head is too large.
    HeadTooLarge,
    /// Its body is too large.
    BodyTooLarge,
    /// It arrived too slowly.
    TooSlow,
}

impl Refusal {
    /// Status and reason phrase.
    #[must_use]
    pub fn status(self) -> (u16, &'static str) {
        match self {
            Self::NoRoute => (404, "Not Found"),
            Self::NoConfig | Self::NoTarget | Self::TooBusy | Self::Shed | Self::Expired => {
                (503, "Service Unavailable")
            }
            Self::Unknown => (502, "Bad Gateway"),
            Self::Late => (504, "Gateway Timeout"),
            Self::Malformed => (400, "Bad Request"),
            Self::HeadTooLarge => (431, "Request Header Fields Too Large"),
            Self::BodyTooLarge => (413, "Content Too Large"),
            Self::TooSlow => (408, "Request Timeout"),
        }
    }

    /// Number of the result code, as listed in `docs/codes.md`.
    #[must_use]
    pub fn code(self) -> u16 {
        match self {
            Self::NoRoute => 7001,
            Self::NoConfig => 7002,
            Self::NoTarget => 7003,
            Self::TooBusy => 7004,
            Self::Shed => 7005,
            Self::Unknown => 7006,
            Self::Late => 7007,
            Self::Expired => 7008,
            Self::Malformed => 7009,
            Self::HeadTooLarge => 7010,
            Self::BodyTooLarge => 7011,
            Self::TooSlow => 7012,
        }
    }

    /// When the caller may come back, in milliseconds.
    fn retry_ms(self) -> Option<u32> {
        match self {
            Self::NoConfig | Self::NoTarget => Some(250),
            // About the time in which a slot becomes free.
            Self::TooBusy | Self::Shed => Some(40),
            _ => None,
        }
    }
}

/// The bytes of a refusal.
#[must_use]
pub fn refusal(refusal: Refusal, id: Option<&str>, close: bool) -> Vec<u8> {
    let (status, reason) = refusal.status();
    let body = format!("{{\"error\":\"{}\",\"code\":{}}}", reason, refusal.code());
    let mut head = format!("HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n");
    if let Some(id) = id {
        let line = format!("{}: {id}\r\n", headers::REQUEST_ID);
        head.push_str(&line);
    }
    if let Some(ms) = refusal.retry_ms() {
        let line = format!("Retry-After: {}.{:03}\r\n", ms / 1_000, ms % 1_000);
        head.push_str(&line);
    }
    finish(head.into_bytes(), body.as_bytes(), close)
}

/// The bytes of a small response of the instance's own.
#[must_use]
pub fn plain(status: u16, reason: &str, kind: &str, body: &[u8], close: bool) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} {reason}\r\nContent-Type: {kind}\r\n");
    finish(head.into_bytes(), body, close)
}

/// The bytes of a target's response. `to_head`: it has no body although a length is stated.
#[must_use]
pub fn pass_on(response: &Response, to_head: bool, close: bool) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(response.body.len() + 512);
    bytes.extend_from_slice(
        format!("HTTP/1.1 {} {}\r\n", response.status, response.reason).as_bytes(),
    );
    write_headers(&mut bytes, response.headers.end_to_end());
    if to_head || matches!(response.status, 204 | 304) {
        if to_head && let Some(len) = response.headers.only("content-length") {
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
