use async_std::task;
use balance::EntryChange;
use futures::{
    FutureExt,
    future::{Either, select},
};
use model::TargetId;
use testkit::fleet::FleetStore;

use super::*;
use crate::{
    entries_apply::apply_update,
    entries_sender::update_since,
    entries_update::EntriesUpdate,
    example::{settings, state, update},
    settings::Settings,
};

fn peer() -> std::net::SocketAddr {
    std::net::SocketAddr::from(([10, 1, 0, 36], 7_660))
}

fn register(store: &FleetStore, id: &str, state: &str) {
    let entry = serde_json::json!({
        "service": "orders", "address": "10.1.64.1:8505", "zone": "a", "version": "v1", "slots": 3,
        "state": state, "warmup_left_s": 0, "seq": 1, "born": 1,
    });
    store.put("keyed.servers", id, &entry.to_string());
}

fn ids(update: &EntriesUpdate) -> Vec<&str> {
    let changes = update.changes.iter();
    changes.map(|(_, c)| c.target().as_str()).collect()
}

fn reader_of(fleet: &FleetStore) -> (Rc<State>, Store) {
    let settings = Settings {
        store: fleet.addr,
        ..settings()
    };
    let state = State::new(settings);
    record_era(&state, 1, "test");
    (state, Store::new(fleet.addr))
}

/// Starts a read and returns it once the store has received it. Its answer is held back.
async fn start_held<F: Future + Unpin>(fleet: &FleetStore, reading: F) -> F {
    fleet.set_held(true);
    let before = fleet.request_count();
    let received = Box::pin(async {
        while fleet.request_count() == before {
            task::sleep(std::time::Duration::from_millis(1)).await;
        }
    });
    match select(reading, received).await {
        Either::Left(_) => panic!("the read ended although its answer is held back"),
        Either::Right(((), reading)) => reading,
    }
}

/// Guards against a reader that takes the entries as current after a page, although huge records of
/// another writer keep the draining of a target for the next one.
#[test]
fn read_continues_until_end() {
    task::block_on(async {
        let fleet = FleetStore::start().await.unwrap();
        register(&fleet, "i-1", "ready");
        let (state, mut store) = reader_of(&fleet);
        read(&state, &mut store).await.unwrap();
        for _ in 0..15 {
            fleet.put("keyed.servers", "odd", &" ".repeat(200_000));
        }
        register(&fleet, "i-1", "draining");
        read(&state, &mut store).await.unwrap();
        assert_eq!(state.entries_next(), Some(17));
        assert!(
            state
                .targets
                .borrow()
                .get(&TargetId::new("i-1"))
                .is_some_and(balance::Target::is_leaving)
        );
    });
}

/// Guards against targets that leave and still get requests from some instances: a reader learns of
/// them from the other reader while its own read is pending, and sends an update that covers their
/// records but does not contain them.
#[test]
fn read_while_peer_updates_carries_all_changes() {
    task::block_on(async {
        let fleet = FleetStore::start().await.unwrap();
        register(&fleet, "i-1", "ready");
        let (state, mut store) = reader_of(&fleet);
        read(&state, &mut store).await.unwrap();
        register(&fleet, "i-1", "draining");
        register(&fleet, "i-2", "ready");
        let (peer_state, mut peer_store) = reader_of(&fleet);
        peer_state.entries.borrow_mut().extend(1, []);
        read(&peer_state, &mut peer_store).await.unwrap();
        let from_peer = update_since(&peer_state, 1);
        assert_eq!(ids(&from_peer), ["i-1", "i-2"]);

        register(&fleet, "i-3", "ready");
        let reading = start_held(&fleet, Box::pin(read(&state, &mut store))).await;
        apply_update(&state, peer(), from_peer, peer_state.now());
        fleet.set_held(false);
        reading.await.unwrap();
        let update = update_since(&state, 1);
        assert_eq!((update.from, update.next), (1, 4));
        assert_eq!(ids(&update), ["i-1", "i-2", "i-3"]);
    });
}

/// Guards against targets that are gone and still get requests from some instances: the reader has
/// removed the target before, because another one answered at its address, and does not tell the
/// others that its entry is gone.
#[test]
fn read_gone_is_told_by_reader_without_target() {
    task::block_on(async {
        let fleet = FleetStore::start().await.unwrap();
        register(&fleet, "i-1", "ready");
        let (state, mut store) = reader_of(&fleet);
        read(&state, &mut store).await.unwrap();
        let now = state.now();
        state
            .targets
            .borrow_mut()
            .remove(&TargetId::new("i-1"), now);
        fleet.put("keyed.servers", "i-1", "");
        read(&state, &mut store).await.unwrap();
        assert_eq!(ids(&update_since(&state, 1)), ["i-1"]);
    });
}

/// Guards against entries that go back to older ones: updates arrive while a listing is read that
/// was made before them.
#[test]
fn read_listing_older_than_updates_is_ignored() {
    task::block_on(async {
        let fleet = FleetStore::start().await.unwrap();
        register(&fleet, "i-1", "ready");
        let (state, mut store) = reader_of(&fleet);
        read(&state, &mut store).await.unwrap();
        register(&fleet, "i-2", "ready");
        fleet.discard_records("keyed.servers");
        let listing = start_held(&fleet, Box::pin(read(&state, &mut store))).await;
        let gone = EntryChange::Gone(TargetId::new("i-1"));
        let newer = EntriesUpdate {
            era: 1,
            changes: vec![(2, gone)],
            ..update(1, 3, 3)
        };
        apply_update(&state, peer(), newer, state.now());
        fleet.set_held(false);
        listing.await.unwrap();
        assert_eq!(state.targets.borrow().len(), 0);
        assert_eq!(state.entries_next(), Some(3));
    });
}

/// Guards against a listing whose changes all have one offset, so that an update with them is larger
/// than a datagram can be.
#[test]
fn read_listing_after_dropped_records_keeps_offsets() {
    task::block_on(async {
        let fleet = FleetStore::start().await.unwrap();
        register(&fleet, "i-1", "ready");
        let (state, mut store) = reader_of(&fleet);
        read(&state, &mut store).await.unwrap();
        fleet.put("keyed.servers", "i-1", "");
        register(&fleet, "i-3", "ready");
        register(&fleet, "i-2", "ready");
        fleet.put("keyed.servers", "i-4", "");
        fleet.discard_records("keyed.servers");
        read(&state, &mut store).await.unwrap();
        let update = update_since(&state, 1);
        let offsets: Vec<u64> = update.changes.iter().map(|(offset, _)| *offset).collect();
        assert_eq!((update.from, update.next), (1, 5));
        assert_eq!(ids(&update), ["i-3", "i-2", "i-1"]);
        assert_eq!(
            offsets,
            [2, 3, 4],
            "the removal may have any offset before the end"
        );
    });
}

/// Guards against targets that lapsed in an outage of the store and get no requests after its return,
/// although they live and write their entries again within 2 s.
#[test]
fn read_after_outage_keeps_lapsed_target() {
    const OUTAGE_US: u64 = 1_300_000;
    task::block_on(async {
        let fleet = FleetStore::start().await.unwrap();
        register(&fleet, "i-1", "ready");
        let (state, mut store) = reader_of(&fleet);
        read(&state, &mut store).await.unwrap();
        state.entries_failed.set(true);
        let outage = Time(state.now().0 - OUTAGE_US);
        state.entries_as_of.set(Some(outage));
        fleet.put("keyed.servers", "i-1", "");
        read(&state, &mut store).await.unwrap();
        assert_eq!(state.targets.borrow().len(), 1);
        assert!(state.targets.borrow().has_lapsed());
    });
}

/// Guards against a read that is answered late and makes old entries count as current.
#[test]
fn read_is_as_of_request() {
    task::block_on(async {
        let fleet = FleetStore::start().await.unwrap();
        let (state, mut store) = reader_of(&fleet);
        let reading = start_held(&fleet, Box::pin(read(&state, &mut store))).await;
        let asked = state.now();
        task::sleep(Duration::from_millis(20)).await;
        fleet.set_held(false);
        reading.await.unwrap();
        assert!(state.entries_as_of.get().unwrap() <= asked);
    });
}

/// Returns the time until the instance reads, in milliseconds, `age_ms` after it heard of a gap
/// and of entries of that age.
fn wait_ms(rank: usize, age_ms: u64, has_gap: bool) -> u64 {
    let mut state = state(1_000.0);
    Rc::get_mut(&mut state).unwrap().started = Time(0);
    let now = state.now();
    state.entries_as_of.set(Some(now.minus_ms(age_ms)));
    if has_gap {
        state.entries_gap.set(Some((now.minus_ms(age_ms), 9)));
    }
    let schedule = ReadSchedule { rank, draw: 10 };
    read_wait_us(&state, schedule, Time(0), Time(0)) / 1_000
}

/// Guards against instances that wait for the usual age of the entries although an update is
/// missing, or read at once although the next update may contain it.
#[test]
fn read_wait_is_shorter_with_gap() {
    assert!((500..=600).contains(&wait_ms(50, 0, true)));
    assert_eq!(wait_ms(50, 700, true), 0);
    assert!((700..=800).contains(&wait_ms(50, 700, false)));
}

/// Guards against all instances that read at the same time after a start of the whole system.
#[test]
fn read_wait_starts_with_readers() {
    let wait_ms = |rank: usize, run_ms: u64| {
        let mut state = state(1_000.0);
        let now = state.now();
        Rc::get_mut(&mut state).unwrap().started = now.minus_ms(run_ms);
        state.entries_as_of.set(Some(now.minus_ms(run_ms)));
        let schedule = ReadSchedule { rank, draw: 10 };
        read_wait_us(&state, schedule, Time(0), Time(0)) / 1_000
    };
    assert_eq!((wait_ms(1, 2_600), wait_ms(1, 2_400)), (0, 150));
    assert_eq!((wait_ms(50, 3_100), wait_ms(50, 2_600)), (0, 150));
}

/// Guards against instances that ignore what targets have written since the store came back from an
/// earlier copy, because they know higher offsets from before.
#[test]
fn read_after_restore_follows_new_offsets() {
    task::block_on(async {
        let fleet = FleetStore::start().await.unwrap();
        register(&fleet, "i-1", "ready");
        let (state, mut store) = reader_of(&fleet);
        let copy = fleet.copy();
        register(&fleet, "i-2", "ready");
        register(&fleet, "i-1", "draining");
        read(&state, &mut store).await.unwrap();
        assert_eq!(state.entries_next(), Some(3));
        fleet.restore(copy);
        read(&state, &mut store).await.unwrap();
        assert_eq!(state.entries_next(), Some(1));
        let is_draining = |id| {
            let targets = state.targets.borrow();
            targets.get(&TargetId::new(id)).map(|t| t.entry.draining)
        };
        assert_eq!(is_draining("i-1"), Some(true), "it never serves again");
        assert_eq!(is_draining("i-2"), Some(false), "kept for a while");
        register(&fleet, "i-2", "draining");
        register(&fleet, "i-3", "ready");
        read(&state, &mut store).await.unwrap();
        assert_eq!(is_draining("i-2"), Some(true));
        assert_eq!(is_draining("i-3"), Some(false));
        let update = update_since(&state, 1);
        assert_eq!((update.era, update.from, update.next), (2, 1, 3));
    });
}

/// Guards against an update from before the store came back, and against one of the new era that is
/// taken for a continuation of the old one.
#[test]
fn update_of_other_era_is_not_applied() {
    task::block_on(async {
        let fleet = FleetStore::start().await.unwrap();
        register(&fleet, "i-1", "ready");
        let (state, mut store) = reader_of(&fleet);
        read(&state, &mut store).await.unwrap();
        let gone = |era| EntriesUpdate {
            era,
            changes: vec![(1, EntryChange::Gone(TargetId::new("i-1")))],
            ..update(1, 2, 2)
        };
        apply_update(&state, peer(), gone(2), state.now());
        assert_eq!(state.targets.borrow().len(), 1);
        assert_eq!(state.entries_next(), Some(1));
        assert!(
            state.entries_wanted().now_or_never().is_some(),
            "the store is asked at once"
        );
        fleet.restore(fleet.copy());
        read(&state, &mut store).await.unwrap();
        apply_update(&state, peer(), gone(1), state.now());
        assert_eq!(state.entries_next(), Some(1));
        assert_eq!(state.targets.borrow().len(), 1);
    });
}

/// Guards against a listing of the old era whose response arrives after one of the new era.
#[test]
fn listing_of_earlier_era_is_ignored() {
    task::block_on(async {
        let fleet = FleetStore::start().await.unwrap();
        register(&fleet, "i-1", "ready");
        let (state, mut store) = reader_of(&fleet);
        let listing = start_held(&fleet, Box::pin(read(&state, &mut store))).await;
        record_era(&state, 2, "test");
        fleet.set_held(false);
        listing.await.unwrap();
        assert_eq!(
            (state.entries_next(), state.targets.borrow().len()),
            (None, 0)
        );
    });
}
