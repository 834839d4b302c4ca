use futures::FutureExt;
use testkit::fleet::FleetStore;

use super::*;
use crate::{
    example::{settings, state},
    settings::Settings,
};

fn peer() -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 36], 7_660))
}

fn update(from: u64, next: u64, end: u64) -> EntriesUpdate {
    EntriesUpdate {
        from,
        next,
        end,
        changes: vec![],
    }
}

/// Guards against instances that lose the second datagram of an update, consider their entries
/// current all the same, and send requests to targets that have left.
#[test]
fn take_part_first_half_is_not_current() {
    let state = state(1_000.0);
    state.entries.borrow_mut().extend(10, []);
    apply_update(&state, peer(), update(4, 10, 20));
    assert_eq!(state.targets_read.get(), None);
    assert!(state.entries_gap.get().is_some(), "the rest is awaited");
    apply_update(&state, peer(), update(10, 15, 20));
    assert_eq!(state.entries_next(), Some(15));
    assert_eq!(state.targets_read.get(), None);
    apply_update(&state, peer(), update(15, 20, 20));
    assert!(state.targets_read.get().is_some());
    assert_eq!(state.entries_gap.get(), None);
}

#[test]
fn apply_update_old_or_ahead() {
    let state = state(1_000.0);
    state.entries.borrow_mut().extend(10, []);
    apply_update(&state, peer(), update(2, 8, 8));
    assert_eq!(
        (state.entries_gap.get(), state.targets_read.get()),
        (None, None)
    );
    apply_update(&state, peer(), update(12, 14, 14));
    assert_eq!(state.entries_next(), Some(10));
    assert!(state.entries_gap.get().is_some());
}

/// Guards against a hundred instances that all read the store at the same time when both readers
/// end.
#[test]
fn takeover_age_grows_in_steps_within_two_seconds() {
    let limits: Vec<u64> = [0, 1, 3, 7, 102].map(takeover_age_us).to_vec();
    assert!(limits.windows(2).all(|w| w[0] < w[1]), "{limits:?}");
    let slack_us = u64::try_from(CHECK_INTERVAL.as_micros()).unwrap() + 50_000;
    assert!(limits[4] + slack_us <= 2_000_000, "{limits:?}");
}

fn register(store: &FleetStore, id: &str, state: &str) {
    let entry = serde_json::json!({
        "service": "orders", "address": "10.1.64.1:8505", "zone": "a", "version": "v1", "slots": 3,
        "state": state, "warmup_left_s": 0, "seq": 1, "born": 1,
    });
    store.put("keyed.servers", id, &entry.to_string());
}

fn ids<'a>(update: &'a EntriesUpdate) -> Vec<&'a str> {
    let id = |change: &'a EntryChange| match change {
        EntryChange::Put(entry) => entry.id.as_str(),
        EntryChange::Gone(id) => id.as_str(),
    };
    let changes: Vec<&EntryChange> = update.changes.iter().map(|(_, c)| c).collect();
    changes.into_iter().map(id).collect()
}

fn reader_of(fleet: &FleetStore) -> (Rc<State>, Store) {
    let settings = Settings {
        store: fleet.addr,
        ..settings()
    };
    (State::new(settings), Store::new(fleet.addr))
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
        let from_peer = read(&peer_state, &mut peer_store).await.unwrap().unwrap();
        assert_eq!(ids(&from_peer), ["i-1", "i-2"]);

        register(&fleet, "i-3", "ready");
        let mut reading = Box::pin(read(&state, &mut store));
        assert!(reading.as_mut().now_or_never().is_none(), "pending");
        apply_update(&state, peer(), from_peer);
        let update = reading.await.unwrap().unwrap();
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
        state.targets.borrow_mut().remove(&TargetId::new("i-1"));
        fleet.put("keyed.servers", "i-1", "");
        let update = read(&state, &mut store).await.unwrap().unwrap();
        assert_eq!(ids(&update), ["i-1"]);
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
        let mut listing = Box::pin(list(&state, &mut store, Some(1)));
        assert!(listing.as_mut().now_or_never().is_none(), "pending");
        let gone = (1, EntryChange::Gone(TargetId::new("i-1")));
        let gone = EntriesUpdate {
            changes: vec![gone],
            ..update(1, 2, 2)
        };
        apply_update(&state, peer(), gone);
        assert_eq!(listing.await.unwrap(), None);
        assert_eq!(state.targets.borrow().len(), 0);
        assert_eq!(state.entries_next(), Some(2));
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
        let update = read(&state, &mut store).await.unwrap().unwrap();
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
    task::block_on(async {
        let fleet = FleetStore::start().await.unwrap();
        register(&fleet, "i-1", "ready");
        let (state, mut store) = reader_of(&fleet);
        read(&state, &mut store).await.unwrap();
        state.entries_failed.set(true);
        let outage = Time(state.now().0 - OUTAGE_US - 1);
        state.targets_read.set(Some(outage));
        fleet.put("keyed.servers", "i-1", "");
        read(&state, &mut store).await.unwrap();
        assert_eq!(state.targets.borrow().len(), 1);
        assert!(state.targets.borrow().has_lapsed());
    });
}
