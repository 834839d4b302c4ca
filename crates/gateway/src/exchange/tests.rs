//! Guards against responses that are taken for those to other requests, and against incomplete ones
//! that are taken for whole ones.

use std::{
    io::{Read, Write},
    net::{Shutdown, TcpListener},
    thread,
};

use balance::resources::{Listener, ResourceLimits};
use h1::Headers;

use super::*;
use crate::{example::state, resources::Resources};

/// Size of an upload, in bytes. The socket buffers of both sides hold less.
const UPLOAD_BYTES: usize = 32 * 1_024 * 1_024;

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

/// Uploads a request to a target that reads its head, sends `head` and half of the body `halves`, and
/// then does `rest` with the connection. Returns the body of the response.
fn upload(
    head: &'static str,
    rest: impl FnOnce(std::net::TcpStream) + Send + 'static,
) -> Result<Vec<u8>, ResponseError> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let target = thread::spawn(move || {
        let mut stream = listener.accept().unwrap().0;
        stream.read_exact(&mut [0; 1_024]).unwrap();
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(b"half,").unwrap();
        thread::sleep(Duration::from_millis(100));
        rest(stream);
    });
    let bytes = vec![b'x'; UPLOAD_BYTES];
    let result = task::block_on(async {
        let state = state(1_000.0);
        let request = EncodedRequest {
            method: "POST",
            identity: Identity::Request("r-1"),
            head: &bytes,
            body: None,
            held: None,
            target: Some(&TargetId::new("i-1")),
        };
        let deadline = state.now().plus_ms(10_000);
        exchange(&state, addr, request, deadline, async || true).await
    });
    target.join().unwrap();
    match result {
        SendResult::Response(response) => Ok(response.body),
        SendResult::NoResponse(error) => Err(error),
        SendResult::NoRoom => panic!("no room"),
        SendResult::NotSent(error) => panic!("nothing was sent: {error}"),
    }
}

const HEAD_WITHOUT_LENGTH: &str = "HTTP/1.1 200 OK\r\nX-Hibiscusway-Request-Id: r-1\r\n\r\n";
const HEAD_WITH_LENGTH: &str =
    "HTTP/1.1 200 OK\r\nX-Hibiscusway-Request-Id: r-1\r\nContent-Length: 9\r\n\r\n";

fn read_all(stream: &mut std::net::TcpStream) {
    let mut buffer = vec![0; 1_024 * 1_024];
    while stream.read(&mut buffer).is_ok_and(|count| count > 0) {}
}

/// Reads the upload to its end.
fn read_upload(stream: &mut std::net::TcpStream) {
    std::io::copy(
        &mut stream.take(UPLOAD_BYTES as u64 - 1_024),
        &mut std::io::sink(),
    )
    .unwrap();
}

/// Guards against half a response without a length that counts as whole, because the write of the
/// request took the error of the reset.
#[test]
fn exchange_reset_during_upload_is_no_end() {
    let result = upload(HEAD_WITHOUT_LENGTH, drop);
    assert_eq!(result, Err(ResponseError::Closed));
}

/// Guards against half a response without a length that counts as whole: a target that is killed while
/// nothing is left to be read ends the connection first, and resets it when more of the request comes.
#[test]
fn exchange_end_before_reset_is_no_end() {
    let result = upload(HEAD_WITHOUT_LENGTH, |mut stream| {
        stream.shutdown(Shutdown::Write).unwrap();
        thread::sleep(Duration::from_millis(100));
        stream.read_exact(&mut [0; 1_024]).unwrap();
    });
    assert_eq!(result, Err(ResponseError::Closed));
}

/// Guards against whole responses without a length that are dropped, because the target ended its side
/// of the connection before it had read the request.
#[test]
fn exchange_end_before_rest_of_upload_is_whole() {
    let result = upload(HEAD_WITHOUT_LENGTH, |mut stream| {
        stream.write_all(b"half").unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        thread::sleep(Duration::from_millis(200));
        read_all(&mut stream);
    });
    assert_eq!(result.as_deref(), Ok(&b"half,half"[..]));
}

/// Guards against whole responses with a length that are dropped, because the target does not read the
/// rest of the request.
#[test]
fn exchange_framed_response_needs_no_upload() {
    let result = upload(HEAD_WITH_LENGTH, |mut stream| {
        stream.write_all(b"half").unwrap();
    });
    assert_eq!(result.as_deref(), Ok(&b"half,half"[..]));
}

/// Guards against slow targets that count as unreachable because they read nothing for a while.
#[test]
fn exchange_target_that_reads_late_is_awaited() {
    for head in [HEAD_WITHOUT_LENGTH, HEAD_WITH_LENGTH] {
        let result = upload(head, |mut stream| {
            thread::sleep(Duration::from_millis(2_500));
            read_upload(&mut stream);
            stream.write_all(b"half").unwrap();
        });
        assert_eq!(result.as_deref(), Ok(&b"half,half"[..]), "{head}");
    }
}

/// Guards against targets that are taken out of service because callers leave the instance no memory for
/// responses.
#[test]
fn exchange_without_memory_is_no_fault_of_target() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let target = thread::spawn(move || {
        let mut stream = listener.accept().unwrap().0;
        stream.read_exact(&mut [0; 4]).unwrap();
        stream.write_all(HEAD_WITH_LENGTH.as_bytes()).unwrap();
        stream.write_all(b"half,half").unwrap();
    });
    let result = task::block_on(async {
        let state = state(1_000.0);
        let resources = Resources::new(ResourceLimits::new(64, 400));
        let open = resources.open(Listener::Callers, state.now()).unwrap();
        open.set_waiting(None);
        let (held, others) = (Rc::new(open.hold()), open.hold());
        while others.grow(64, state.now()) {}
        let request = EncodedRequest {
            method: "GET",
            identity: Identity::Request("r-1"),
            head: b"head",
            body: None,
            held: Some(&held),
            target: Some(&TargetId::new("i-1")),
        };
        let deadline = state.now().plus_ms(10_000);
        exchange(&state, addr, request, deadline, async || true).await
    });
    target.join().unwrap();
    assert!(
        matches!(&result, SendResult::NoResponse(error) if !error.is_of_target()),
        "{result:?}"
    );
}
