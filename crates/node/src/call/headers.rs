//! Decides which headers are forwarded.

use std::collections::HashSet;

use http_types::Headers;

/// Headers that apply to one connection only, or that the HTTP library sets for each message.
const HOP_HEADERS: [&str; 10] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-authenticate",
];

/// Headers of upstreams that are meant for the load balancer and not for the caller.
const UPSTREAM_HEADERS: [&str; 4] = ["hw-call", "hw-draining", "hw-cold", "hw-not-run"];

/// Returns the names of a message's headers that are not forwarded: the hop-by-hop headers and those
/// that its `connection` header names.
pub fn hop_headers(headers: &Headers) -> HashSet<String> {
    let named = headers.get("connection").into_iter().flatten();
    let named = named.flat_map(|v| v.as_str().split(','));
    let named = named.map(|name| name.trim().to_ascii_lowercase());
    HOP_HEADERS
        .into_iter()
        .map(str::to_owned)
        .chain(named)
        .collect()
}

/// Returns the names of a response's headers that are not forwarded to the caller.
pub fn response_hop_headers(headers: &Headers) -> HashSet<String> {
    let mut names = hop_headers(headers);
    names.extend(UPSTREAM_HEADERS.map(str::to_owned));
    names
}

/// Returns whether the sender of a message closes the connection after it.
pub fn says_close(headers: &Headers) -> bool {
    let mut values = headers.get("connection").into_iter().flatten();
    values.any(|v| {
        v.as_str()
            .split(',')
            .any(|t| t.trim().eq_ignore_ascii_case("close"))
    })
}
