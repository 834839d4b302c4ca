use std::time::Instant;

use super::*;
use crate::example::{settings, state};

/// Returns the time until an instance that is no seed gives up waiting for others.
fn time_to_give_up(seeds: &[&str]) -> Duration {
    task::block_on(async {
        let mut settings = settings();
        settings.seeds = seeds.iter().map(|s| s.parse().unwrap()).collect();
        let state = State::new(settings);
        let start = Instant::now();
        task::spawn_local(join(Rc::clone(&state)));
        state.join_ended().await;
        assert_eq!(state.joined_at.get(), None);
        start.elapsed()
    })
}

/// Guards against an instance that never starts because its seeds are down.
#[test]
fn join_without_answer_ends() {
    let took = time_to_give_up(&["127.0.0.1:1"]);
    assert!(took >= Duration::from_millis(WAIT_MS.start), "{took:?}");
    assert!(took < Duration::from_secs(1), "{took:?}");
}

/// Guards against a system whose first instance waits for others that are not there.
#[test]
fn join_of_only_seed_ends_at_once() {
    let own = state(20.0).settings.peer;
    let took = time_to_give_up(&[&own.to_string()]);
    assert!(took < Duration::from_millis(200), "{took:?}");
}

/// Guards against instances that all ask the seeds although others have what they need.
#[test]
fn hints_name_ready_instances() {
    let state = state(20.0);
    let mut ready = state.members.borrow().own().clone();
    ready.peer_addr = SocketAddr::from(([10, 1, 0, 40], 7_660));
    ready.presence = Presence::Ready;
    assert!(decode_hints(&encode_hints(&state)).is_empty());
    let now = state.now();
    state.members.borrow_mut().record_heard(ready.clone(), now);
    assert_eq!(decode_hints(&encode_hints(&state)), [ready.peer_addr]);
    assert!(decode_hints(&[255, 255, 3]).is_empty());
}
