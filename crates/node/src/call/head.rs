//! Checks raw heads beyond what the HTTP library checks. Rejects everything that two HTTP
//! implementations may interpret differently.

use http_types::{Headers, Method, Request};
use model::Code;

/// Maximum number of header lines in a request. Requests of known callers have fewer than 30.
const MAX_HEADERS: usize = 100;

/// Checks a raw request head against the request that the HTTP library parsed from it.
pub fn check_request(raw: &[u8], req: &Request) -> Result<(), Code> {
    check_lines(raw)?;
    let lines = raw.split(|b| *b == b'\n').count().saturating_sub(3);
    if lines > MAX_HEADERS {
        return Err(Code::HeadTooLarge);
    }
    if req.method() == Method::Connect || !is_same_target(raw, req) {
        return Err(Code::BadRequest);
    }
    body_length(req.as_ref()).map_err(|()| Code::BadRequest)?;
    Ok(())
}

/// Checks the lines of a head: each ends with CR LF, contains no other CR or NUL, and does not
/// continue the previous line.
pub fn check_lines(raw: &[u8]) -> Result<(), Code> {
    let Some(text) = raw.strip_suffix(b"\r\n\r\n") else {
        return Err(Code::BadRequest);
    };
    for line in text.split(|b| *b == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.first().is_none_or(u8::is_ascii_whitespace) {
            return Err(Code::BadRequest);
        }
        if line.contains(&b'\r') || line.contains(&0) {
            return Err(Code::BadRequest);
        }
    }
    let bare = text.windows(2).any(|w| w[1] == b'\n' && w[0] != b'\r');
    if bare { Err(Code::BadRequest) } else { Ok(()) }
}

/// Returns whether a raw head contains the header `name`. The HTTP library adds headers that were not
/// sent, so the parsed head cannot tell.
pub fn has_header(raw: &[u8], name: &str) -> bool {
    raw.split(|b| *b == b'\n').skip(1).any(|line| {
        let mut parts = line.splitn(2, |b| *b == b':');
        let found = parts.next().unwrap_or_default();
        found.eq_ignore_ascii_case(name.as_bytes()) && parts.next().is_some()
    })
}

/// Length of a message's body as stated by its headers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Length {
    /// Neither header is present.
    Absent,
    /// `content-length`.
    Bytes(u64),
    /// `transfer-encoding: chunked`.
    Chunked,
}

/// Returns the length that the headers state, or an error if they state it more than once or in a form
/// that the HTTP library does not support.
pub fn body_length(headers: &Headers) -> Result<Length, ()> {
    let lengths = headers.get("content-length");
    let encodings = headers.get("transfer-encoding");
    match (lengths, encodings) {
        (None, None) => Ok(Length::Absent),
        (None, Some(values)) if values.iter().count() == 1 && values.as_str() == "chunked" => {
            Ok(Length::Chunked)
        }
        (Some(values), None) if values.iter().count() == 1 => {
            let text = values.as_str();
            if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
                return Err(());
            }
            text.parse().map(Length::Bytes).map_err(|_| ())
        }
        _ => Err(()),
    }
}

/// Returns whether the HTTP library kept the request target as it was sent. It resolves dot segments
/// and encodes some characters, so that an upstream would receive another path than the caller sent.
fn is_same_target(raw: &[u8], req: &Request) -> bool {
    let Some(sent) = raw.split(|b| *b == b' ').nth(1) else {
        return false;
    };
    let url = req.url();
    let path = url.path().as_bytes();
    let Some(rest) = sent.strip_prefix(path) else {
        return sent == url.as_str().as_bytes();
    };
    match url.query() {
        Some(query) => rest.strip_prefix(b"?") == Some(query.as_bytes()),
        None => rest.is_empty(),
    }
}

#[cfg(test)]
mod tests;
