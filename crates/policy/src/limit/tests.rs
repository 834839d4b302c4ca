//! Guards against limits that rise on too little evidence, or fall more than once on the same.

use super::*;

fn warm(most: u32) -> Limit {
    let mut limit = Limit::cold(most);
    limit.adopt(most);
    limit
}

#[test]
fn cold_doubles_after_each_window() {
    let mut limit = Limit::cold(6);
    let mut seen = vec![limit.now()];
    for _ in 0..4 {
        (0..WINDOW - 1).for_each(|_| limit.good());
        assert_eq!(limit.now(), *seen.last().unwrap(), "raised within a window");
        limit.good();
        seen.push(limit.now());
    }
    assert_eq!(seen, [1, 2, 4, 6, 6]);
    assert!(!limit.is_cold());
}

#[test]
fn cut_halves_once_per_flight() {
    let mut limit = warm(6);
    limit.cut();
    assert_eq!(limit.now(), 3);
    (0..5).for_each(|_| limit.cut());
    assert_eq!(limit.now(), 3, "calls of the same flight cut again");
    limit.cut();
    assert_eq!(limit.now(), 1);
    (0..9).for_each(|_| limit.cut());
    assert_eq!(limit.now(), 1, "below the smallest limit");
}

#[test]
fn good_raises_by_one_after_a_cut() {
    let mut limit = warm(6);
    limit.cut();
    (0..WINDOW).for_each(|_| limit.good());
    assert_eq!(limit.now(), 4);
}

#[test]
fn adopt_small_limit_stays_cold() {
    let mut limit = Limit::cold(6);
    limit.adopt(2);
    assert!(limit.is_cold());
    limit.adopt(9);
    assert_eq!((limit.now(), limit.is_cold()), (6, false));
}
