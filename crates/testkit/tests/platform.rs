//! Errors of the log client. The tests guard against an append that is reported as not sent
//! although it took effect, and against responses of unbounded size.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
};

use async_std::task;
use store::{LogClient, StoreError};
use testkit::{LogFaults, LogServer};

/// Starts a server that answers one request with `response` and closes the connection.
fn raw_server(response: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4_096]);
        let _ = stream.write_all(&response);
    });
    addr
}

/// Reads from the log at `addr` and returns the error.
fn read_error(addr: SocketAddr) -> StoreError {
    task::block_on(LogClient::new(addr, "s").read(1, 10, 0)).unwrap_err()
}

#[test]
fn append_is_unsent_only_without_connection() {
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
fn read_truncated_body() {
    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{\"first\":1";
    let error = read_error(raw_server(response.to_vec()));
    assert!(matches!(error, StoreError::Body { .. }), "{error}");
}

#[test]
fn read_oversized_body() {
    let mut response = b"HTTP/1.1 200 OK\r\ncontent-length: 99999999\r\n\r\n".to_vec();
    response.resize(25 * 1024 * 1024, b' ');
    let error = read_error(raw_server(response));
    assert!(matches!(error, StoreError::TooLarge { .. }), "{error}");
}

#[test]
fn read_status_names_request() {
    let response = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
    let error = read_error(raw_server(response.to_vec())).to_string();
    let expected = "status 503 for GET /v1/streams/s/records?from=1&limit=10&wait_ms=0";
    assert!(error.ends_with(expected), "{error}");
}
