//! Guards against routes that differ by an id or a query and so never gather evidence.

use http_types::Method;

use super::*;

fn route_of(url: &str) -> Arc<str> {
    route(&Request::new(Method::Post, url))
}

#[test]
fn route_ignores_id_and_query() {
    assert_eq!(&*route_of("http://a/confirm/17?x=1"), "POST /confirm");
    assert_eq!(&*route_of("http://a/"), "POST /");
}

#[test]
fn route_long_segment() {
    let url = format!("http://a/{}", "s".repeat(500));
    assert_eq!(route_of(&url).len(), "POST /".len() + MAX_SEGMENT_BYTES);
}
