//! Guards against responses that are taken for those to other requests.

use h1::Headers;

use super::*;

fn response(lines: &[(&str, &str)]) -> Response {
    let mut headers = Headers::default();
    for (name, value) in lines {
        headers.push(name, value.as_bytes());
    }
    Response {
        headers,
        ..Response::default()
    }
}

#[test]
fn is_of_request_needs_its_id() {
    let identity = Identity::Request("r-1");
    for is_pooled in [true, false] {
        assert!(identity.is_of(&response(&[(headers::REQUEST_ID, "r-1")]), is_pooled));
        assert!(!identity.is_of(&response(&[(headers::REQUEST_ID, "r-0")]), is_pooled));
        let both = [(headers::REQUEST_ID, "r-1"), (headers::REQUEST_ID, "r-0")];
        assert!(!identity.is_of(&response(&both), is_pooled));
    }
}

#[test]
fn is_of_request_without_id_needs_new_connection() {
    let refusal = response(&[(headers::NOT_RUN, "1")]);
    for identity in [Identity::Request("r-1"), Identity::Anonymous] {
        assert!(!identity.is_of(&refusal, true));
        assert!(identity.is_of(&refusal, false));
    }
    let of_other = response(&[(headers::REQUEST_ID, "r-0")]);
    assert!(!Identity::Anonymous.is_of(&of_other, false));
}

#[test]
fn is_of_probe_needs_target() {
    let identity = Identity::Health("i-1");
    assert!(identity.is_of(&response(&[(headers::TARGET, "i-1")]), true));
    assert!(!identity.is_of(&response(&[(headers::TARGET, "i-2")]), true));
    assert!(identity.is_of(&response(&[(headers::TARGET, "i-2")]), false));
    assert!(!identity.is_of(&response(&[(headers::NOT_RUN, "1")]), true));
    let of_request = response(&[(headers::REQUEST_ID, "r"), (headers::TARGET, "i-1")]);
    assert!(!identity.is_of(&of_request, true));
}
