use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
};

use bincode::{config::standard, serde::encode_to_vec};

use super::*;
use crate::{example, settings::Settings};

/// Serves one request with what an instance knows whose records are `age_ms` old and end at `next`.
fn serve_peer(next: Position, age_ms: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 4_096]).unwrap();
        let known = PeerRecords {
            next,
            age_ms,
            is_listing: false,
            records: Vec::new(),
            config: None,
        };
        let body = encode_to_vec(known, standard()).unwrap();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream
            .write_all(&[head.as_bytes(), &body].concat())
            .unwrap();
    });
    addr
}

/// Returns whether a ready peer whose records are `age_ms` old makes the wait for a silent store needless.
fn is_answered(age_ms: u64) -> bool {
    // Connections are accepted by the system and never answered.
    let store = TcpListener::bind("127.0.0.1:0").unwrap();
    let state = State::new(Settings {
        store: store.local_addr().unwrap(),
        ..example::settings()
    });
    let next = Position { era: 1, offset: 8 };
    let mut peer = state.members.borrow().own().clone();
    peer.peer_addr = serve_peer(next, age_ms);
    peer.presence = Presence::Ready;
    let now = state.now();
    state.members.borrow_mut().record_heard(peer, now);
    task::block_on(async {
        let current_since = state.now().minus_ms(1_000);
        let asking = ask_all(&state, next, current_since);
        let found = timeout(Duration::from_millis(600), asking).await;
        found.is_ok_and(|found| found.is_ok())
    })
}

/// Guards against an instance that asks again and again because peers are as much out of date as it is.
#[test]
fn ask_all_waits_for_store_if_peers_are_outdated() {
    assert!(is_answered(100));
    assert!(!is_answered(5_000));
}
