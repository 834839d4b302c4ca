//! Guards against a new version that gets more than its share, above all over few calls.

use super::*;

fn active_move(share: u16) -> ActiveMove {
    ActiveMove {
        from: "v1".into(),
        to: "v2".into(),
        move_id: "p".into(),
        share,
    }
}

fn count_new(split: &mut VersionSplit, starts: u32) -> u32 {
    let mut new = 0;
    for _ in 0..starts {
        let is_new = split.allows_new();
        split.record_start(is_new);
        new += u32::from(is_new);
    }
    new
}

#[test]
fn allows_new_within_share_plus_one() {
    for share in [1, 100, 500, 2_000, 5_000, 9_999, 10_000] {
        for phase in [0, 1, 4_999, 9_999, 123_456] {
            let mut split = VersionSplit::new(phase);
            split.set(Some(&active_move(share)));
            let mut new = 0;
            for starts in 1..=2_000_u32 {
                new += count_new(&mut split, 1);
                let exact = f64::from(share) * f64::from(starts) / 10_000.0;
                let off = f64::from(new) - exact;
                assert!((-1.0..=1.0).contains(&off), "{new} of {starts} at {share}");
            }
        }
    }
}

#[test]
fn allows_new_without_burst_after_missed_starts() {
    let mut split = VersionSplit::new(0);
    split.set(Some(&active_move(5_000)));
    (0..100).for_each(|_| split.record_start(false));
    assert!(
        count_new(&mut split, 10) <= 6,
        "missed starts were caught up at once"
    );
}

#[test]
fn set_smaller_share_and_stop() {
    let mut split = VersionSplit::new(0);
    split.set(Some(&active_move(5_000)));
    (0..10).for_each(|_| split.record_start(false));
    split.set(Some(&active_move(100)));
    assert!(count_new(&mut split, 100) <= 2);
    split.set(Some(&active_move(0)));
    assert_eq!(count_new(&mut split, 1_000), 0);
    split.set(None);
    assert!(!split.allows_new());
}

#[test]
fn allows_new_always_at_full_share() {
    let mut split = VersionSplit::new(3);
    split.set(Some(&active_move(10_000)));
    assert_eq!(count_new(&mut split, 100), 100);
}
