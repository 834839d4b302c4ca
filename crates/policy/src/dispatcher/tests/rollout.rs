//! Split of calls between the two versions of a move.

use super::bed::*;
use crate::{AttemptEnd, TargetState};

fn bed(share_bp: u16) -> TestBed {
    let mut targets: Vec<_> = (0..4).map(|n| target(n, "me")).collect();
    targets[3].version = "v2".into();
    let mut view = view(targets);
    view.active_move = Some(share(share_bp));
    TestBed::warm_with(view)
}

/// Guards against more starts on the new version than its share allows, also among the first few
/// calls.
#[test]
fn share_of_starts_on_new_version() {
    for share_bp in [100, 500, 2_000, 5_000] {
        let mut bed = bed(share_bp);
        for n in 1..=300_u64 {
            let started = bed.start(URGENT);
            bed.finish(&started, AttemptEnd::Good);
            let new = bed.dispatcher.stats().new_starts;
            let most = n * u64::from(share_bp) / 10_000 + 1;
            assert!(new <= most, "{new} of {n} at {share_bp}");
        }
        let least = 300 * u64::from(share_bp) / 10_000;
        assert!(bed.dispatcher.stats().new_starts + 1 >= least);
    }
}

/// Guards against starts on a version that was stopped.
#[test]
fn share_zero_and_barred() {
    let mut bed = bed(5_000);
    bed.set_view(|v| v.active_move = Some(share(0)));
    let used: Vec<_> = (0..9).map(|_| bed.start(URGENT).1).collect();
    assert!(used.iter().all(|t| t.as_str() != "t-3"));
    assert!(starts(&bed.arrive(URGENT)).is_empty());
    let mut bed = self::bed(10_000);
    bed.set_target(3, |t| t.state = TargetState::Barred);
    assert!(
        starts(&bed.arrive(URGENT))
            .iter()
            .all(|s| s.1.as_str() != "t-3")
    );
}

/// Guards against starts on the old version at a share of 100% while the new version has targets.
#[test]
fn share_whole() {
    let mut bed = bed(10_000);
    let used: Vec<_> = (0..3).map(|_| bed.start(URGENT).1).collect();
    assert!(used.iter().all(|t| t.as_str() == "t-3"));
    assert!(starts(&bed.arrive(URGENT)).is_empty());
}

/// Guards against a move that stops all calls because the new version has no target left.
#[test]
fn share_without_new_targets() {
    let mut bed = bed(5_000);
    bed.set_target(3, |t| t.state = TargetState::Silent);
    let started = (0..9).flat_map(|_| starts(&bed.arrive(URGENT))).count();
    assert_eq!(started, 9);
}
