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

/// Guards against versions that fail a seventh of their requests under load and go on to get all of them.
#[test]
fn is_bad_seventh_of_requests() {
    assert!(evidence(&[(1, 0, 190, 2), (3, 0, 70, 11)], (900, 9)).is_bad());
    assert!(!evidence(&[(3, 0, 700, 11)], (900, 9)).is_bad());
}

#[test]
fn is_bad_not_while_old_fails_as_often() {
    assert!(!evidence(&[(1, 0, 40, 8)], (400, 80)).is_bad());
}

/// Guards against good versions that are taken back by chance.
#[test]
fn is_bad_good_version_rarely() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut wrong = 0;
    for _ in 0..1_000 {
        let mut evidence = evidence(&[], (500, 5));
        let fails = (0..150).any(|_| {
            let is_good = rng.random::<f64>() > 0.01;
            evidence.record(true, 1, 0, is_good);
            evidence.is_bad()
        });
        wrong += u32::from(fails);
    }
    assert!(wrong <= 10, "{wrong} of 1,000 good versions called bad");
}
