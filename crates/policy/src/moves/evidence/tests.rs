//! Guards against counts that are doubled or lost when messages are repeated or reordered, and against
//! memory that grows with the number of different routes that callers use.

use super::*;

fn counts(calls: u64, errors: u64) -> RouteCounts {
    RouteCounts {
        calls,
        errors,
        slow: 0,
    }
}

fn evidence() -> Evidence {
    Evidence::new(&"v1".into(), &"v2".into(), &"i-0".into(), 1)
}

#[test]
fn merge_repeated_and_reordered() {
    let mut evidence = evidence();
    for calls in [5, 9, 5, 9, 7] {
        evidence.merge(
            &"i-1".into(),
            3,
            &[("v2".into(), "a".to_owned(), counts(calls, 1))],
        );
    }
    assert_eq!(evidence.calls(Side::New), 9);
}

#[test]
fn merge_next_incarnation_adds() {
    let mut evidence = evidence();
    for incarnation in [3, 4] {
        let routes = [("v2".into(), "a".to_owned(), counts(4, 0))];
        evidence.merge(&"i-1".into(), incarnation, &routes);
    }
    assert_eq!(evidence.calls(Side::New), 8);
}

#[test]
fn merge_version_outside_move_and_impossible_counts() {
    let mut evidence = evidence();
    let routes = [
        ("v3".into(), "a".to_owned(), counts(4, 0)),
        ("v2".into(), "a".to_owned(), counts(4, 5)),
    ];
    assert_eq!(evidence.merge(&"i-1".into(), 1, &routes), 2);
    assert_eq!(evidence.calls(Side::New), 0);
}

#[test]
fn count_bounds_routes() {
    let mut evidence = evidence();
    for n in 0..1_000 {
        evidence.count(Side::New, &format!("r{n}"), false, false);
    }
    let routes = evidence.totals(Side::New);
    assert_eq!(routes.len(), MAX_ROUTES + 1);
    assert_eq!(routes[OTHER_ROUTE].calls, 1_000 - 64);
}

#[test]
fn take_changes_only_changed() {
    let mut evidence = evidence();
    evidence.count(Side::New, "a", true, false);
    evidence.count(Side::Old, "b", false, false);
    assert_eq!(evidence.take_changes().len(), 2);
    evidence.count(Side::New, "a", false, false);
    assert_eq!(
        evidence.take_changes(),
        [("v2".into(), "a".to_owned(), counts(2, 1))]
    );
    assert_eq!(evidence.own_counts().len(), 2);
}
