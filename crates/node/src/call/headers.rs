//! Headers that are passed on.

use std::collections::HashSet;

use http_types::Headers;

/// Headers that belong to one connection, or that the library sets for each message.
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

/// Headers that upstreams address to the load balancer.
const UPSTREAM_HEADERS: [&str; 4] = ["hw-call", "hw-draining", "hw-cold", "hw-not-run"];

/// Names of the headers of a message that are not passed on: the usual ones and those that its
/// `connection` header names.
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

/// Names of the headers of an answer that are not passed on.
pub fn answer_hop_headers(headers: &Headers) -> HashSet<String> {
    let mut names = hop_headers(headers);
    names.extend(UPSTREAM_HEADERS.map(str::to_owned));
    names
}

/// Whether a message's sender closes the connection after it.
pub fn says_close(headers: &Headers) -> bool {
    let mut values = headers.get("connection").into_iter().flatten();
    values.any(|v| {
        v.as_str()
            .split(',')
            .any(|t| t.trim().eq_ignore_ascii_case("close"))
    })
}
