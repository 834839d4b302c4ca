use super::*;
use crate::example::state;

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
    state.entries_next.set(Some(10));
    apply_update(&state, peer(), update(4, 10, 20));
    assert_eq!(state.targets_read.get(), None);
    assert!(state.entries_gap.get().is_some(), "the rest is awaited");
    apply_update(&state, peer(), update(10, 15, 20));
    assert_eq!(state.entries_next.get(), Some(15));
    assert_eq!(state.targets_read.get(), None);
    apply_update(&state, peer(), update(15, 20, 20));
    assert!(state.targets_read.get().is_some());
    assert_eq!(state.entries_gap.get(), None);
}

#[test]
fn apply_update_old_or_ahead() {
    let state = state(1_000.0);
    state.entries_next.set(Some(10));
    apply_update(&state, peer(), update(2, 8, 8));
    assert_eq!(
        (state.entries_gap.get(), state.targets_read.get()),
        (None, None)
    );
    apply_update(&state, peer(), update(12, 14, 14));
    assert_eq!(state.entries_next.get(), Some(10));
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
