//! Guards against counters that are counted twice or lost when messages repeat, and against memory
//! that grows with the routes that callers invent.

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
    let mut all = evidence();
    for calls in [5, 9, 5, 9, 7] {
        all.merge(
            &"i-1".into(),
            3,
            &[("v2".into(), "a".to_owned(), counts(calls, 1))],
        );
    }
    assert_eq!(all.calls(Side::New), 9);
}

#[test]
fn merge_next_incarnation_adds() {
    let mut all = evidence();
    for incarnation in [3, 4] {
        let routes = [("v2".into(), "a".to_owned(), counts(4, 0))];
        all.merge(&"i-1".into(), incarnation, &routes);
    }
    assert_eq!(all.calls(Side::New), 8);
}

#[test]
fn merge_foreign_version_and_impossible_counts() {
    let mut all = evidence();
    let routes = [
        ("v3".into(), "a".to_owned(), counts(4, 0)),
        ("v2".into(), "a".to_owned(), counts(4, 5)),
    ];
    assert_eq!(all.merge(&"i-1".into(), 1, &routes), 2);
    assert_eq!(all.calls(Side::New), 0);
}

#[test]
fn count_bounds_routes() {
    let mut all = evidence();
    for n in 0..1_000 {
        all.count(Side::New, &format!("r{n}"), false, false);
    }
    let routes = all.totals(Side::New);
    assert_eq!(routes.len(), MAX_ROUTES + 1);
    assert_eq!(routes[OTHER_ROUTE].calls, 1_000 - 64);
}

#[test]
fn take_changes_only_changed() {
    let mut all = evidence();
    all.count(Side::New, "a", true, false);
    all.count(Side::Old, "b", false, false);
    assert_eq!(all.take_changes().len(), 2);
    all.count(Side::New, "a", false, false);
    assert_eq!(
        all.take_changes(),
        [("v2".into(), "a".to_owned(), counts(2, 1))]
    );
    assert_eq!(all.own_counts().len(), 2);
}
