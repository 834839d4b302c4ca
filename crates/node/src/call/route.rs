//! Routes, by which evidence about versions is kept apart.

use std::sync::Arc;

use http_types::Request;

/// Longest part of a path's first segment that names a route, in bytes.
const MAX_SEGMENT_BYTES: usize = 64;

/// Method and first segment of the path. Later segments often hold ids, which would make every call
/// a route of its own.
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
