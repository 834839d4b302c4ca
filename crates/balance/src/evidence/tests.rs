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
