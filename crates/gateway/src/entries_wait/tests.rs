use std::{rc::Rc, time::Instant};

use async_std::{channel::bounded, net::UdpSocket};
use model::Time;
use testkit::fleet::{FleetStore, StoreFault};

use super::*;
use crate::{
    entries::follow_entries,
    example::{settings, state},
    settings::Settings,
};

/// Makes the entries of an instance that has run for some time `age_ms` old.
fn set_age(state: &State, age_ms: u64) {
    state.entries.borrow_mut().extend(0, []);
    let as_of = state.now().minus_ms(age_ms);
    state.entries_as_of.set(Some(as_of));
}

/// Returns how long a request waits, in milliseconds, at an instance whose entries are `age_ms` old.
fn waited_ms(state: &State, age_ms: u64) -> u128 {
    set_age(state, age_ms);
    let start = Instant::now();
    task::block_on(await_recent_entries(state));
    start.elapsed().as_millis()
}

fn running_state() -> Rc<State> {
    let mut state = state(1_000.0);
    let started = Rc::get_mut(&mut state).unwrap();
    started.started = Time(0);
    state
}

/// Guards against requests to targets that have left, sent by an instance that nobody has told and
/// that has not read the store in time.
#[test]
fn await_recent_entries_reads_first() {
    task::block_on(async {
        let fleet = FleetStore::start().await.unwrap();
        let settings = Settings {
            store: fleet.addr,
            ..settings()
        };
        let mut state = State::new(settings);
        Rc::get_mut(&mut state).unwrap().started = Time(0);
        let socket = Rc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        let (updates, _wanted) = bounded(1);
        let follower = task::spawn_local(follow_entries(Rc::clone(&state), socket, updates));
        while state.entries_as_of.get().is_none() {
            task::sleep(CHECK_INTERVAL).await;
        }
        let start = Instant::now();
        set_age(&state, 1_900);
        await_recent_entries(&state).await;
        assert!(state.entries_age_us().unwrap() < 250_000);
        assert!(start.elapsed() < Duration::from_millis(200));
        follower.cancel().await;
    });
}

#[test]
fn await_recent_entries_not_old() {
    assert!(waited_ms(&running_state(), 1_500) < 100);
}

/// Guards against requests that wait in an outage of the store, when nothing newer can be read.
#[test]
fn await_recent_entries_without_store() {
    let state = running_state();
    state.entries_failed.set(true);
    assert!(waited_ms(&state, 5_000) < 100);
    state.entries_failed.set(false);
    state.entries_asked.set(Some(state.now().minus_ms(300)));
    assert!(waited_ms(&state, 5_000) < 100, "the store does not answer");
}

/// Guards against requests that wait for a silent store for longer than its answer takes at most.
#[test]
fn await_recent_entries_silent_store() {
    task::block_on(async {
        let fleet = FleetStore::start().await.unwrap();
        fleet.set_fault(StoreFault::Silent);
        let settings = Settings {
            store: fleet.addr,
            ..settings()
        };
        let mut state = State::new(settings);
        Rc::get_mut(&mut state).unwrap().started = Time(0);
        let socket = Rc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        let (updates, _wanted) = bounded(1);
        set_age(&state, 1_900);
        let follower = task::spawn_local(follow_entries(Rc::clone(&state), socket, updates));
        let start = Instant::now();
        await_recent_entries(&state).await;
        assert!(start.elapsed() < Duration::from_millis(400));
        follower.cancel().await;
    });
}
