use std::time::{Duration, Instant};

use balance::{EntryChange, Presence};
use model::{InstanceId, TargetId, Zone};

use super::*;
use crate::example::{settings, state};

fn add_member(state: &State, index: usize, peer_addr: SocketAddr) {
    let member = Member {
        name: InstanceId::new(&format!("edge-{index}")),
        incarnation: 1,
        revision: 0,
        zone: Zone::new(["a", "b", "c"][index % 3]),
        caller_addr: peer_addr,
        peer_addr,
        presence: Presence::Ready,
        has_store: true,
        has_targets: true,
        link_mbps: 1_000,
        last_heard: None,
    };
    let now = state.now();
    state.members.borrow_mut().record_heard(member, now);
}

/// Guards against news of many leaving targets that takes seconds to reach a hundred instances over
/// a link of 10 Mbit/s, so that the last ones send requests to targets that have left. 300 targets
/// leave.
#[test]
fn send_update_of_many_changes_takes_little_time() {
    task::block_on(async {
        let state = state(10.0);
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        for index in 0..102 {
            let port = 20_000 + u16::try_from(index).unwrap();
            add_member(&state, index, SocketAddr::from(([127, 0, 0, 1], port)));
        }
        let leaving = (0..300).map(|i| {
            let id = TargetId::new(&format!("i-{i:010}"));
            (i, EntryChange::Draining(id))
        });
        state.entries.borrow_mut().extend(0, []);
        state.entries.borrow_mut().extend(300, leaving);
        let start = Instant::now();
        send_update(&state, &socket, update_since(&state, 0)).await;
        // A relay needs about as long for one datagram as the sender does.
        let took = start.elapsed();
        assert!(took < Duration::from_millis(400), "{took:?}");
    });
}

/// Guards against instances of a group that a datagram does not reach, and against an age that does
/// not grow while the datagram is held.
#[test]
fn forward_reaches_all_with_age() {
    task::block_on(async {
        let state = State::new(settings());
        let socket = Rc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        let receivers = [
            UdpSocket::bind("127.0.0.1:0").await.unwrap(),
            UdpSocket::bind("127.0.0.1:0").await.unwrap(),
        ];
        let update = EntriesUpdate {
            age_ms: 5,
            forward_to: receivers.iter().map(|r| r.local_addr().unwrap()).collect(),
            ..crate::example::update(1, 2, 2)
        };
        forward(&state, &socket, &update, state.now().minus_ms(40));
        for receiver in receivers {
            let mut buffer = [0; 200];
            let (count, _) = receiver.recv_from(&mut buffer).await.unwrap();
            let received = EntriesUpdate::decode(&buffer[..count]).unwrap();
            assert!(received.age_ms >= 40 && received.forward_to.is_empty());
            assert_eq!((received.from, received.end), (1, 2));
        }
    });
}

/// Guards against instances that miss two datagrams and wait for the store: an update must cover
/// the one before it, unless that makes it large.
#[test]
fn next_update_repeats_few_changes() {
    let state = state(10.0);
    let gone = |i: u64| (i, EntryChange::Gone(TargetId::new(&format!("i-{i}"))));
    state.entries.borrow_mut().extend(0, []);
    state.entries.borrow_mut().extend(30, (0..30).map(gone));
    let before = Some(Sent {
        era: 0,
        from: 10,
        next: 20,
        at: state.now(),
    });
    let covers = |update: &EntriesUpdate| (update.from, update.next, update.changes.len());
    assert_eq!(covers(&next_update(&state, 25, before)), (10, 30, 20));
    assert_eq!(covers(&next_update(&state, 25, None)), (25, 30, 5));
    state.entries.borrow_mut().extend(200, (30..200).map(gone));
    assert_eq!(covers(&next_update(&state, 25, before)), (20, 200, 180));
}
