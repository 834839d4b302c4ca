use rand::{Rng, SeedableRng, rngs::StdRng};

use super::*;

fn evidence(new: &[(u8, u64, u32, u32)], old: (u32, u32)) -> Evidence {
    let tallies = new.iter().map(|(stage, route, good, bad)| {
        let tally = Tally {
            good: *good,
            bad: *bad,
        };
        ((*stage, *route), tally)
    });
    Evidence {
        new: tallies.collect(),
        old: Tally {
            good: old.0,
            bad: old.1,
        },
        old_failing: BTreeMap::new(),
        pending: BTreeMap::new(),
    }
}

#[test]
fn is_bad_half_of_requests() {
    assert!(evidence(&[(1, 0, 4, 4)], (200, 2)).is_bad());
    assert!(!evidence(&[(1, 0, 40, 1)], (200, 2)).is_bad());
}

#[test]
fn is_bad_on_one_route_only() {
    assert!(evidence(&[(1, 0, 90, 0), (1, 1, 4, 5)], (900, 9)).is_bad());
}

#[test]
fn is_bad_under_load_after_good_start() {
    assert!(evidence(&[(1, 0, 200, 1), (2, 0, 6, 6)], (900, 9)).is_bad());
}

/// Guards against rollouts that complete although the new version fails a seventh of its requests
/// under load.
#[test]
fn is_bad_seventh_of_requests() {
    assert!(evidence(&[(1, 0, 190, 2), (3, 0, 70, 11)], (900, 9)).is_bad());
    assert!(!evidence(&[(3, 0, 700, 11)], (900, 9)).is_bad());
}

#[test]
fn is_bad_not_while_old_fails_as_often() {
    assert!(!evidence(&[(1, 0, 40, 8)], (400, 80)).is_bad());
}

/// Guards against good versions that are rolled back because of a few random failures.
#[test]
fn is_bad_good_version_rarely() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut false_alarms = 0;
    for _ in 0..1_000 {
        let mut evidence = evidence(&[], (500, 5));
        let fails = (0..150).any(|_| {
            let is_good = rng.random::<f64>() > 0.01;
            evidence.record(true, 1, 0, is_good);
            evidence.is_bad()
        });
        false_alarms += u32::from(fails);
    }
    assert!(
        false_alarms <= 10,
        "{false_alarms} of 1,000 good versions found bad, expected at most 10"
    );
}

/// Returns how many of 1,000 versions are found to be bad within 2 s. They fail this part of 600
/// requests a second, after 10 ms; the other responses take 120 ms.
fn found_bad(failing: f64) -> (u32, u32) {
    let mut rng = StdRng::seed_from_u64(11);
    let (mut found, mut slowest_ms) = (0, 0);
    for _ in 0..1_000 {
        let mut evidence = evidence(&[], (500, 5));
        let mut ends: Vec<(u32, bool)> = Vec::new();
        let is_found_at = |evidence: &mut Evidence, ends: &mut Vec<(u32, bool)>, ms: u32| {
            ends.retain(|(end, is_good)| {
                if *end > ms {
                    return true;
                }
                evidence.end_pending(0);
                evidence.record(true, 4, 0, *is_good);
                false
            });
            evidence.is_bad()
        };
        for ms in 0..2_000 {
            if rng.random::<f64>() < 0.6 {
                let is_good = rng.random::<f64>() >= failing;
                evidence.begin_pending(0);
                ends.push((ms + if is_good { 120 } else { 10 }, is_good));
            }
            if is_found_at(&mut evidence, &mut ends, ms) {
                found += 1;
                slowest_ms = slowest_ms.max(ms);
                break;
            }
        }
    }
    (found, slowest_ms)
}

/// Guards against good versions that are rolled back at the start of a stage, because failures are
/// answered sooner than successes, and against bad versions that are found late for the same reason.
#[test]
fn is_bad_counts_pending_requests() {
    let (found, _) = found_bad(0.02);
    assert!(found <= 10, "{found} of 1,000 good versions found bad");
    let (found, slowest_ms) = found_bad(0.5);
    assert!(
        found == 1_000 && slowest_ms < 500,
        "{found}, {slowest_ms} ms"
    );
}

/// Guards against good versions that are rolled back because of a route whose requests fail at the old
/// version as well, such as ones that always last longer than the route's time limit.
#[test]
fn is_bad_not_on_route_that_fails_at_old_version() {
    let record_failures = |evidence: &mut Evidence, is_new: bool, count: u32| {
        for _ in 0..count {
            evidence.record(is_new, 4, 1, false);
        }
    };
    let mut both = evidence(&[(4, 0, 90, 0)], (600, 2));
    record_failures(&mut both, false, 3);
    record_failures(&mut both, true, 20);
    assert!(!both.is_bad());
    let mut new_only = evidence(&[(4, 0, 90, 0)], (600, 2));
    record_failures(&mut new_only, true, 5);
    assert!(new_only.is_bad());
    let mut other = evidence(&[], (0, 0));
    record_failures(&mut other, false, 3);
    new_only.merge(&other);
    assert!(!new_only.is_bad(), "another instance has seen it");
    for _ in 0..30 {
        both.record(true, 4, 0, false);
    }
    assert!(both.is_bad(), "it fails on another route");
}
