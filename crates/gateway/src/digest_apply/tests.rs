//! Guards against instances that do not learn what others have.

use std::cell::Cell;

use super::*;
use crate::example;

/// Guards against an instance that stays at an old configuration because a peer that is ahead has too
/// many records to pass on: it must know that the peer has a newer one.
#[test]
fn check_peer_ahead_notes_newer_config_beside_records() {
    let state = example::state(20.0);
    let calls = Cell::new(0);
    let addr = SocketAddr::from(([10, 0, 0, 1], 7_300));
    let ahead = Position { era: 1, offset: 90 };
    check_peer_ahead(&state, addr, (ahead, Time(0)), 7, &|peer| {
        assert!(peer.has_records);
        calls.set(calls.get() + 1);
    });
    assert_eq!((calls.get(), state.peer_config.get()), (1, 7));
}
