use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
};

use bincode::{config::standard, serde::encode_to_vec};

use super::*;
use crate::{example, settings::Settings};

const NEXT: Position = Position { era: 0, offset: 8 };

/// Serves one request with `body`.
fn serve(body: Vec<u8>) -> SocketAddr {
    serve_each(vec![("200 OK", body)])
}

/// Serves one request on each connection with a status and a body, then closes it.
fn serve_each(responses: Vec<(&'static str, Vec<u8>)>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for (status, body) in responses {
            let (mut stream, _) = listener.accept().unwrap();
            let _ = stream.read(&mut [0; 4_096]).unwrap();
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let response = [head.as_bytes(), &body].concat();
            stream.write_all(&response).unwrap();
        }
    });
    addr
}

/// Asks the store at `store` and a ready peer that knows nothing more and whose records are `age_ms` old. Returns
/// what is found within 600 ms.
fn ask_beside_peer(store: SocketAddr, age_ms: u64, has_store: bool) -> Option<Found> {
    let state = State::new(Settings {
        store,
        ..example::settings()
    });
    state.has_store.set(has_store);
    let known = PeerRecords {
        next: NEXT,
        age_ms,
        is_listing: false,
        records: Vec::new(),
        config: None,
    };
    let mut peer = state.members.borrow().own().clone();
    peer.peer_addr = serve(encode_to_vec(known, standard()).unwrap());
    peer.presence = Presence::Ready;
    let now = state.now();
    state.members.borrow_mut().record_heard(peer, now);
    task::block_on(async {
        let current_since = state.now().minus_ms(1_000);
        let asking = ask_all(&state, NEXT, current_since);
        timeout(Duration::from_millis(600), asking).await.ok()?.ok()
    })
}

/// Guards against an instance that asks again and again because peers are as much out of date as it is.
#[test]
fn ask_all_waits_for_store_if_peers_are_outdated() {
    // Connections are accepted by the system and never answered.
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let store = silent.local_addr().unwrap();
    assert!(ask_beside_peer(store, 100, true).is_some());
    assert!(ask_beside_peer(store, 5_000, true).is_none());
}

/// Guards against an instance that counts as without the store for ever, because others answer before it.
#[test]
fn ask_all_notices_that_store_answers_again() {
    let page = [8_u64.to_be_bytes(), 0_u64.to_be_bytes()].concat();
    let found = ask_beside_peer(serve(page), 100, false).unwrap();
    assert_eq!((found.peer, found.next), (None, NEXT));
}

/// Guards against an instance that learns nothing from those of release 8d2dfa1, which do not know the request.
#[test]
fn ask_peer_asks_relay_of_earlier_release() {
    let record = [0, 0, 0, 3, 1, b'k', b'v'];
    let page = [&9_u64.to_be_bytes()[..], &0_u64.to_be_bytes(), &record[..]].concat();
    let state = example::state(20.0);
    let addr = serve_each(vec![("404 Not Found", Vec::new()), ("200 OK", page)]);
    let ahead = PeerAhead {
        addr,
        has_records: true,
        next: Position { era: 0, offset: 9 },
        as_of: state.now(),
        config_version: 0,
    };
    let found = task::block_on(ask_peer(&state, addr, NEXT, Some(ahead))).unwrap();
    assert_eq!((found.next, found.as_of), (ahead.next, ahead.as_of));
    assert_eq!(found.records[0].key, "k");
    assert!(!found.is_listing);
}
