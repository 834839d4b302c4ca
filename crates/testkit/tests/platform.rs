//! Errors of the platform's clients. Guards against a change taken as lost that took effect, and
//! against answers without bounds.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
};

use async_std::task;
use store::{LogClient, StoreError};
use testkit::{LogFaults, LogServer};

/// A server that answers one request with these bytes and closes.
fn raw_server(answer: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4_096]);
        let _ = stream.write_all(&answer);
    });
    addr
}

fn read_from(addr: SocketAddr) -> StoreError {
    task::block_on(LogClient::new(addr, "s").read(1, 10, 0)).unwrap_err()
}

#[test]
fn append_error_tells_unsent() {
    task::block_on(async {
        let server = LogServer::start().await;
        let client = LogClient::new(server.addr(), "s");
        server.set_faults(LogFaults {
            lost_responses: 1,
            ..LogFaults::default()
        });
        let error = client.append(vec!["a".to_owned()]).await.unwrap_err();
        assert!(!error.is_unsent(), "the append took effect");
        assert!(error.to_string().contains("/v1/streams/s/records"));
    });
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr();
    let client = LogClient::new(closed.unwrap(), "s");
    let error = task::block_on(client.append(vec!["a".to_owned()])).unwrap_err();
    assert!(error.is_unsent());
}

#[test]
fn read_short_body() {
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{\"first\":1";
    let error = read_from(raw_server(answer.to_vec()));
    assert!(matches!(error, StoreError::Body { .. }), "{error}");
}

#[test]
fn read_endless_body() {
    let mut answer = b"HTTP/1.1 200 OK\r\ncontent-length: 99999999\r\n\r\n".to_vec();
    answer.resize(25 * 1024 * 1024, b' ');
    let error = read_from(raw_server(answer));
    assert!(matches!(error, StoreError::TooLarge { .. }), "{error}");
}

#[test]
fn read_status_names_request() {
    let answer = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
    let error = read_from(raw_server(answer.to_vec())).to_string();
    let wanted = "status 503 for GET /v1/streams/s/records?from=1&limit=10&wait_ms=0";
    assert!(error.ends_with(wanted), "{error}");
}
