//! Guards against limits that rise after too few good responses, or fall more than once because of
//! the same overload.

use super::*;

fn warm(max: u32) -> Limit {
    let mut limit = Limit::cold(max);
    limit.adopt(max);
    limit
}

#[test]
fn cold_doubles_after_each_window() {
    let mut limit = Limit::cold(6);
    let mut seen = vec![limit.current()];
    for _ in 0..4 {
        (0..RAISE_INTERVAL - 1).for_each(|_| limit.record_success());
        assert_eq!(
            limit.current(),
            *seen.last().unwrap(),
            "raised within a window"
        );
        limit.record_success();
        seen.push(limit.current());
    }
    assert_eq!(seen, [1, 2, 4, 6, 6]);
    assert!(!limit.is_cold());
}

#[test]
fn decrease_once_for_calls_in_flight() {
    let mut limit = warm(6);
    limit.decrease();
    assert_eq!(limit.current(), 3);
    (0..5).for_each(|_| limit.decrease());
    assert_eq!(
        limit.current(),
        3,
        "calls in flight at the decrease lowered the limit again"
    );
    limit.decrease();
    assert_eq!(limit.current(), 1);
    (0..9).for_each(|_| limit.decrease());
    assert_eq!(limit.current(), 1, "below the smallest limit");
}

#[test]
fn record_success_raises_by_one_after_decrease() {
    let mut limit = warm(6);
    limit.decrease();
    (0..RAISE_INTERVAL).for_each(|_| limit.record_success());
    assert_eq!(limit.current(), 4);
}

#[test]
fn adopt_small_limit_stays_cold() {
    let mut limit = Limit::cold(6);
    limit.adopt(2);
    assert!(limit.is_cold());
    limit.adopt(9);
    assert_eq!((limit.current(), limit.is_cold()), (6, false));
}
