//! Routes of calls. Evidence about versions is counted separately for each route.

use std::sync::Arc;

use http_types::Request;

/// Length at which the path segment in a route is truncated, in bytes.
const MAX_SEGMENT_BYTES: usize = 64;

/// Returns the route of a request: its method and the first segment of its path. Later segments often
/// contain ids, which would give almost every call its own route.
pub fn route(req: &Request) -> Arc<str> {
    let path = req.url().path().trim_start_matches('/');
    let segment = path.split('/').next().unwrap_or_default();
    let mut end = segment.len().min(MAX_SEGMENT_BYTES);
    while !segment.is_char_boundary(end) {
        end -= 1;
    }
    format!("{} /{}", req.method(), &segment[..end]).into()
}

#[cfg(test)]
mod tests;
