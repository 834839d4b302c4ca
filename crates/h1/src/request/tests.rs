use std::time::{Duration, Instant};

use proptest::prelude::*;

use super::*;

const LIMITS: RequestLimits = RequestLimits {
    head_bytes: 200,
    body_bytes: 20,
};

fn complete(decoded: Decoded) -> Request {
    match decoded {
        Decoded::Complete(request) => *request,
        other => panic!("expected a complete request, got {other:?}"),
    }
}

#[test]
fn decode_pipelined_requests() {
    let mut input =
        b"GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\nPOST /x HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi"
            .to_vec();
    let mut decoder = RequestDecoder::default();
    let first = complete(decoder.decode(&mut input, LIMITS).unwrap());
    assert_eq!((first.path(), first.query("b")), ("/a", Some("c")));
    let second = complete(decoder.decode(&mut input, LIMITS).unwrap());
    assert_eq!(
        (&*second.method, &*second.body.to_vec()),
        ("POST", &b"hi"[..])
    );
    assert!(matches!(
        decoder.decode(&mut input, LIMITS),
        Ok(Decoded::Empty)
    ));
}

#[test]
fn decode_keeps_target_and_case() {
    let mut input = b"GET /A/%2e%2E/b//c HTTP/1.1\r\nX-Odd-CASE:  v \r\n\r\n".to_vec();
    let request = complete(
        RequestDecoder::default()
            .decode(&mut input, LIMITS)
            .unwrap(),
    );
    assert_eq!(request.target, "/A/%2e%2E/b//c");
    assert_eq!(
        request.headers.iter().next(),
        Some(("X-Odd-CASE", &b"v"[..]))
    );
}

#[test]
fn decode_body_in_pieces() {
    let mut decoder = RequestDecoder::default();
    let mut input = b"PUT / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n".to_vec();
    assert!(matches!(
        decoder.decode(&mut input, LIMITS),
        Ok(Decoded::ExpectsContinue)
    ));
    input.extend_from_slice(b"ab");
    assert!(matches!(
        decoder.decode(&mut input, LIMITS),
        Ok(Decoded::Partial)
    ));
    input.extend_from_slice(b"c");
    assert_eq!(
        complete(decoder.decode(&mut input, LIMITS).unwrap())
            .body
            .to_vec(),
        b"abc"
    );
}

#[test]
fn decode_over_limits() {
    let mut head = format!("GET / HTTP/1.1\r\nX: {}\r\n", "a".repeat(300)).into_bytes();
    let decoded = RequestDecoder::default().decode(&mut head, LIMITS);
    assert_eq!(decoded.unwrap_err(), MessageError::HeadTooLarge);
    let mut body = b"PUT / HTTP/1.1\r\nContent-Length: 21\r\n\r\n".to_vec();
    let decoded = RequestDecoder::default().decode(&mut body, LIMITS);
    assert_eq!(decoded.unwrap_err(), MessageError::BodyTooLarge);
    let lines = "A: b\r\n".repeat(101);
    let mut many = format!("GET / HTTP/1.1\r\n{lines}\r\n").into_bytes();
    let decoded = RequestDecoder::default().decode(&mut many, LIMITS);
    assert_eq!(decoded.unwrap_err(), MessageError::HeadTooLarge);
}

#[test]
fn end_to_end_leaves_out_hop_by_hop_headers() {
    let mut input =
        b"GET / HTTP/1.1\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nTE: x\r\nX-End: 2\r\n\r\n"
            .to_vec();
    let request = complete(
        RequestDecoder::default()
            .decode(&mut input, LIMITS)
            .unwrap(),
    );
    assert!(!request.keep_alive);
    let kept: Vec<_> = request.headers.end_to_end().map(|(name, _)| name).collect();
    assert_eq!(kept, ["X-End"]);
}

/// Guards against a limit on the number of fields beside that on their bytes.
#[test]
fn decode_as_many_fields_as_fit() {
    let limits = RequestLimits {
        head_bytes: 16_384,
        body_bytes: 0,
    };
    let mut input = b"GET / HTTP/1.1\r\n".to_vec();
    input.extend_from_slice(&b"a:\r\n".repeat(4_091));
    input.extend_from_slice(b"\r\n");
    let mut larger = input.clone();
    larger.splice(4..5, b"/longer".iter().copied());
    let request = complete(
        RequestDecoder::default()
            .decode(&mut input, limits)
            .unwrap(),
    );
    assert_eq!(request.headers.values("a").count(), 4_091);
    let result = RequestDecoder::default().decode(&mut larger, limits);
    assert!(
        matches!(result, Err(MessageError::HeadTooLarge)),
        "{result:?}"
    );
}

/// Guards against work for each pipelined request that grows with the number of those behind it.
#[test]
fn decode_pipelined_in_linear_time() {
    let mut input = b"GET / HTTP/1.1\r\nA: b\r\n\r\n".repeat(8_000);
    let limits = RequestLimits {
        head_bytes: 16_384,
        body_bytes: 0,
    };
    let (mut decoder, started) = (RequestDecoder::default(), Instant::now());
    while !input.is_empty() {
        complete(decoder.decode(&mut input, limits).unwrap());
    }
    let took = started.elapsed();
    assert!(took < Duration::from_secs(3), "{took:?}");
}

/// Returns the requests of a stream that arrives in pieces of these sizes, in turn, and the error that ends
/// it. Each request is its method, target, headers and body.
fn decode_in_pieces(stream: &[u8], sizes: &[usize]) -> (Vec<String>, Option<MessageError>) {
    let mut decoder = RequestDecoder::default();
    let (mut input, mut requests) = (Vec::new(), Vec::new());
    let mut rest = stream;
    for size in sizes.iter().cycle() {
        let (piece, later) = rest.split_at(rest.len().min(*size));
        input.extend_from_slice(piece);
        rest = later;
        loop {
            match decoder.decode(&mut input, LIMITS) {
                Ok(Decoded::Complete(request)) => requests.push(format!("{request:?}")),
                Ok(Decoded::ExpectsContinue) => {}
                Ok(_) => break,
                Err(error) => return (requests, Some(error)),
            }
        }
        if rest.is_empty() {
            return (requests, None);
        }
    }
    (requests, None)
}

/// Guards against a malformed head that is refused at once or awaited until a timeout, depending on the reads.
#[test]
fn decode_stray_cr_is_error_in_any_reads() {
    let stream = b"GET /j HTTP/1.1\r\n\r\r\n";
    for size in 1..=stream.len() {
        let (requests, error) = decode_in_pieces(stream, &[size]);
        assert!(requests.is_empty() && error.is_some(), "reads of {size}");
    }
}

/// Parts of requests, well-formed and not, that recipients tend to read differently.
const PARTS: &[&str] = &[
    "GET /a HTTP/1.1\r\n\r\n",
    "GET /a HTTP/1.1\n\n",
    "\r\nGET /a HTTP/1.1\r\nHost: h\n\r\n",
    "PUT /b HTTP/1.1\r\nContent-Length: 4\r\n\r\n\r\n\r\n",
    "PUT /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\n\n\r\n\r\n0\r\nT: u\r\n\r\n",
    "PUT /d HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nhi",
    "GET /e HTTP/1.1\r\nA: b\r\n c\r\n\r\n",
    "PUT /f HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
    "PUT /g HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
    "PUT /h HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\nx\r\n",
    "GET /i HTTP/1.1\r\nA: \0\r\n\r\n",
    "GET /j HTTP/1.1\r\n",
    "A: b\r\n",
    "\r\n",
    "\n",
    "\r",
];

proptest! {
    /// Guards against requests that begin or end elsewhere when the same bytes arrive in other reads.
    #[test]
    fn decode_does_not_depend_on_reads(
        parts in prop::collection::vec(prop::sample::select(PARTS), 1..6),
        sizes in prop::collection::vec(1_usize..40, 1..8),
    ) {
        let stream = parts.concat().into_bytes();
        let (requests, error) = decode_in_pieces(&stream, &[stream.len()]);
        let (in_pieces, error_in_pieces) = decode_in_pieces(&stream, &sizes);
        prop_assert_eq!(&in_pieces, &requests);
        prop_assert_eq!(error_in_pieces.is_some(), error.is_some());
        prop_assert_eq!(decode_in_pieces(&stream, &[1]).0, requests);
    }
}
