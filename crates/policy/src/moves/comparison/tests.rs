//! Guards against faults that a long good history hides, faults of one route that the calls of other
//! routes hide, and false alarms when both versions are disturbed.

use super::*;

/// Comparison that is fed with the counters of one peer.
struct Bench {
    evidence: Evidence,
    comparison: VersionComparison,
    sums: BTreeMap<(&'static str, &'static str), RouteCounts>,
    ticks: u64,
}

impl Bench {
    fn new() -> Self {
        Self {
            evidence: Evidence::new(&"v1".into(), &"v2".into(), &"i-0".into(), 1),
            comparison: VersionComparison::default(),
            sums: BTreeMap::new(),
            ticks: 0,
        }
    }

    /// Adds the counts of 250 ms, in rows of version, route and [calls, errors, slow calls], and
    /// returns the assessment.
    fn tick(&mut self, rows: &[(&'static str, &'static str, [u64; 3])]) -> Assessment {
        for (version, route, [calls, errors, slow]) in rows {
            let sum = self.sums.entry((version, route)).or_default();
            let more = RouteCounts {
                calls: *calls,
                errors: *errors,
                slow: *slow,
            };
            add(sum, &more);
            let row = ((*version).into(), (*route).to_owned(), sum.clone());
            self.evidence.merge(&"i-1".into(), 1, &[row]);
        }
        self.ticks += 1;
        let now = Time::from_ms(250 * self.ticks);
        assess(&mut self.comparison, &self.evidence, 100, now).clone()
    }
}

const OLD: (&str, &str, [u64; 3]) = ("v1", "a", [500, 0, 25]);

#[test]
fn assess_good_version() {
    let mut bench = Bench::new();
    let assessments: Vec<_> = (0..40)
        .map(|_| bench.tick(&[OLD, ("v2", "a", [20, 0, 1])]))
        .collect();
    assert_eq!(assessments.last(), Some(&Assessment::Good));
    assert!(
        !assessments
            .iter()
            .any(|a| matches!(a, Assessment::Bad { .. }))
    );
}

#[test]
fn assess_late_fault_after_long_history() {
    let mut bench = Bench::new();
    for _ in 0..2_000 {
        bench.tick(&[OLD, ("v2", "a", [20, 0, 1])]);
    }
    let found = (1..=4).find(|_| {
        bench.tick(&[OLD, ("v2", "a", [20, 6, 1])])
            == Assessment::Bad {
                reason: "errors".to_owned(),
            }
    });
    assert!(found.is_some(), "not found within 1 s");
}

#[test]
fn assess_one_slow_route() {
    let mut bench = Bench::new();
    let rows = [
        OLD,
        ("v1", "b", [50, 0, 2]),
        ("v2", "a", [500, 0, 20]),
        ("v2", "b", [10, 0, 6]),
    ];
    let found = (1..=4).find(|_| {
        bench.tick(&rows)
            == Assessment::Bad {
                reason: "slow:b".to_owned(),
            }
    });
    assert!(found.is_some(), "not found within 1 s");
}

#[test]
fn assess_both_versions_disturbed() {
    let mut bench = Bench::new();
    for _ in 0..40 {
        bench.tick(&[OLD, ("v2", "a", [20, 0, 1])]);
    }
    for _ in 0..40 {
        let assessment = bench.tick(&[("v1", "a", [500, 100, 200]), ("v2", "a", [20, 4, 8])]);
        assert!(!matches!(assessment, Assessment::Bad { .. }));
    }
}

/// After a step to full share in a disturbance, only the old version's earlier rates would be left to
/// compare with.
#[test]
fn defers_step_in_disturbance_only() {
    let mut bench = Bench::new();
    for _ in 0..40 {
        bench.tick(&[OLD, ("v2", "a", [20, 0, 1])]);
    }
    assert!(!bench.comparison.defers_step());
    let assessment = bench.tick(&[("v1", "a", [500, 100, 25]), ("v2", "a", [20, 4, 1])]);
    assert!(bench.comparison.defers_step());
    assert_eq!(assessment, Assessment::Inconclusive);
    // An old version that is bad all the time is not disturbed: a move away from it goes on.
    for _ in 0..100 {
        bench.tick(&[("v1", "a", [500, 100, 25]), ("v2", "a", [20, 0, 1])]);
    }
    assert!(!bench.comparison.defers_step());
    assert_eq!(bench.comparison.assessment(), &Assessment::Good);
}

#[test]
fn assess_disturbance_that_outlasts_the_old_version() {
    let mut bench = Bench::new();
    for _ in 0..40 {
        bench.tick(&[OLD, ("v2", "a", [20, 0, 1])]);
    }
    bench.tick(&[("v1", "a", [250, 50, 100]), ("v2", "a", [250, 50, 100])]);
    for _ in 0..20 {
        let assessment = bench.tick(&[("v2", "a", [500, 100, 200])]);
        assert!(!matches!(assessment, Assessment::Bad { .. }));
    }
    assert!(
        !bench.comparison.defers_step(),
        "the old version receives no calls, so it cannot be disturbed now"
    );
}

/// A route with few calls does not show a disturbance, so that of the whole service applies to it.
#[test]
fn assess_disturbance_on_quiet_routes() {
    let mut bench = Bench::new();
    let quiet = ("v1", "b", [4, 0, 0]);
    for _ in 0..40 {
        bench.tick(&[OLD, quiet, ("v2", "a", [20, 0, 1]), ("v2", "b", [1, 0, 0])]);
    }
    for _ in 0..8 {
        let rows = [
            ("v1", "a", [500, 250, 25]),
            ("v1", "b", [4, 2, 0]),
            ("v2", "a", [20, 10, 1]),
            ("v2", "b", [4, 2, 0]),
        ];
        assert!(!matches!(bench.tick(&rows), Assessment::Bad { .. }));
    }
}

#[test]
fn assess_stays_bad() {
    let mut bench = Bench::new();
    bench.tick(&[OLD, ("v2", "a", [20, 20, 0])]);
    let assessment = bench.tick(&[OLD, ("v2", "a", [2_000, 0, 0])]);
    assert_eq!(
        assessment,
        Assessment::Bad {
            reason: "errors".to_owned()
        }
    );
}

/// A crash of one target fails the few calls that it runs at that moment.
#[test]
fn assess_two_errors_as_no_fault() {
    let mut bench = Bench::new();
    bench.tick(&[OLD]);
    bench.tick(&[OLD, ("v2", "a", [2, 2, 0])]);
    assert!(!matches!(
        bench.comparison.assessment(),
        Assessment::Bad { .. }
    ));
    let assessment = bench.tick(&[OLD, ("v2", "a", [1, 1, 0])]);
    assert!(matches!(assessment, Assessment::Bad { .. }));
}
