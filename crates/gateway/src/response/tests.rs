use h1::{Headers, ResponseDecoder};

use super::*;

fn decode(bytes: &[u8]) -> Response {
    ResponseDecoder::new("GET", 1_000)
        .feed(&mut bytes.to_vec())
        .unwrap()
        .unwrap()
}

#[test]
fn refusal_not_run_states_retry_after() {
    let response = decode(&encode_refusal(
        Code::CannotMeet.into(),
        Some("id-1"),
        false,
    ));
    assert_eq!(response.status, 503);
    assert_eq!(response.headers.single_value("retry-after"), Some("0.040"));
    assert_eq!(
        response.headers.single_value(headers::REQUEST_ID),
        Some("id-1")
    );
}

#[test]
fn refusal_unknown_outcome_has_no_retry_after() {
    for code in [Code::UpstreamClosed, Code::UpstreamTimeout] {
        let response = decode(&encode_refusal(code.into(), None, true));
        assert!(matches!(response.status, 502 | 504));
        assert!(!response.headers.has("retry-after") && !response.keep_alive);
    }
}

#[test]
fn encode_forwarded_sets_own_framing() {
    let mut headers = Headers::default();
    headers.push("Transfer-Encoding", b"chunked");
    headers.push("Connection", b"close");
    headers.push("X-Kept", b"1");
    headers.push("Server-Limit", b"2.5");
    let response = Response {
        status: 200,
        reason: String::from("OK"),
        headers,
        body: b"abc".to_vec(),
        keep_alive: false,
    };
    let passed = decode(&encode_forwarded(&response, None, false, false));
    assert_eq!(passed.body, b"abc");
    assert!(passed.keep_alive && passed.headers.has("x-kept"));
    assert!(!passed.headers.has("transfer-encoding") && !passed.headers.has("server-limit"));
}
