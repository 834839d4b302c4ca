use h1::{Headers, Response};
use model::{Code, TargetId};

use super::{PeerResult, REPLY_HEADER, Reply, RequestFrame, sending::classify};
use crate::{
    example::{put_target, state},
    exchange::{ResponseError, SendResult},
};

fn response(value: &str) -> Response {
    let mut headers = Headers::default();
    headers.push(REPLY_HEADER, value.as_bytes());
    Response {
        status: 200,
        reason: String::from("OK"),
        headers,
        body: Vec::new(),
        keep_alive: true,
    }
}

#[test]
fn frame_survives_encoding() {
    let frame = RequestFrame {
        attempts: 1,
        waited_ms: 70_000,
        config_version: 1 << 40,
    };
    let mut input = frame.encode();
    input.extend_from_slice(b"GET /");
    assert_eq!(RequestFrame::take(&mut input), Ok(Some(frame)));
    assert_eq!(input, b"GET /");
}

#[test]
fn frame_waits_for_its_end() {
    let encoded = RequestFrame::default().encode();
    for len in 0..encoded.len() {
        let mut input = encoded[..len].to_vec();
        assert_eq!(RequestFrame::take(&mut input), Ok(None));
        assert_eq!(input.len(), len);
    }
}

#[test]
fn frame_is_no_request() {
    assert!(RequestFrame::take(&mut b"GET / HTTP/1.1".to_vec()).is_err());
}

#[test]
fn reply_survives_encoding() {
    let replies = [
        Reply::Target {
            id: TargetId::new("i-1 b"),
            born: 1_764_800_000_000,
        },
        Reply::Refused(Code::CutOff),
    ];
    for reply in replies {
        assert_eq!(Reply::of(&response(&reply.encode())), Some(reply));
    }
}

#[test]
fn reply_malformed_is_none() {
    for value in [
        "",
        "code",
        "code x",
        "code 9",
        "target i-1",
        "target x i-1",
        "other 1",
    ] {
        assert_eq!(Reply::of(&response(value)), None, "{value}");
    }
}

/// Guards against requests to a target that has said that it leaves in an answer that came through another
/// instance.
#[test]
fn classify_records_leaving_targets() {
    let state = state(1_000.0);
    put_target(&state, "i-1", "a", 0);
    let id = TargetId::new("i-1");
    let born = state.targets.borrow().get(&id).unwrap().entry.born;
    let mut response = response(&format!("target {born} i-1"));
    response.headers.push("Server-Leaving", b"1");
    let result = classify(&state, SendResult::Response(Box::new(response)));
    assert!(matches!(result, PeerResult::Response(_)));
    assert!(state.targets.borrow().get(&id).unwrap().is_leaving());
}

#[test]
fn classify_keeps_not_run_true() {
    let state = state(1_000.0);
    let of = |value: &str| classify(&state, SendResult::Response(Box::new(response(value))));
    assert!(matches!(of("code 3017"), PeerResult::NotTaken));
    assert!(matches!(of("code 3001"), PeerResult::Ended(r) if r.code == Code::CannotMeet));
    assert!(matches!(of("code 4001"), PeerResult::Ended(r) if r.code == Code::UpstreamClosed));
    // Whatever has answered, the request may have run.
    assert!(matches!(of("?"), PeerResult::Lost(ResponseError::Closed)));
}
