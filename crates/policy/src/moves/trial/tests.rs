//! Guards against faults that a long good history hides, faults of one route that drown in the
//! others, and false alarms when both versions suffer.

use super::*;

/// Adds 250 ms of counters from one peer and judges. `new` gives (calls, errors, slow).
struct Bench {
    evidence: Evidence,
    trial: Trial,
    sums: BTreeMap<(&'static str, &'static str), RouteCounts>,
    ticks: u64,
}

impl Bench {
    fn new() -> Self {
        Self {
            evidence: Evidence::new(&"v1".into(), &"v2".into(), &"i-0".into(), 1),
            trial: Trial::default(),
            sums: BTreeMap::new(),
            ticks: 0,
        }
    }

    fn tick(&mut self, rows: &[(&'static str, &'static str, [u64; 3])]) -> Opinion {
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
        judge(&mut self.trial, &self.evidence, 100, now).clone()
    }
}

const OLD: (&str, &str, [u64; 3]) = ("v1", "a", [500, 0, 25]);

#[test]
fn judge_good_version() {
    let mut bench = Bench::new();
    let opinions: Vec<_> = (0..40)
        .map(|_| bench.tick(&[OLD, ("v2", "a", [20, 0, 1])]))
        .collect();
    assert_eq!(opinions.last(), Some(&Opinion::Good));
    assert!(!opinions.iter().any(|o| matches!(o, Opinion::Bad { .. })));
}

#[test]
fn judge_late_fault_after_long_history() {
    let mut bench = Bench::new();
    for _ in 0..2_000 {
        bench.tick(&[OLD, ("v2", "a", [20, 0, 1])]);
    }
    let found = (1..=4).find(|_| {
        bench.tick(&[OLD, ("v2", "a", [20, 6, 1])])
            == Opinion::Bad {
                reason: "errors".to_owned(),
            }
    });
    assert!(found.is_some(), "not found within 1 s");
}

#[test]
fn judge_one_slow_route() {
    let mut bench = Bench::new();
    let rows = [
        OLD,
        ("v1", "b", [50, 0, 2]),
        ("v2", "a", [500, 0, 20]),
        ("v2", "b", [10, 0, 6]),
    ];
    let found = (1..=4).find(|_| {
        bench.tick(&rows)
            == Opinion::Bad {
                reason: "slow:b".to_owned(),
            }
    });
    assert!(found.is_some(), "not found within 1 s");
}

#[test]
fn judge_both_versions_suffer() {
    let mut bench = Bench::new();
    for _ in 0..40 {
        bench.tick(&[OLD, ("v2", "a", [20, 0, 1])]);
    }
    for _ in 0..40 {
        let opinion = bench.tick(&[("v1", "a", [500, 100, 200]), ("v2", "a", [20, 4, 8])]);
        assert!(!matches!(opinion, Opinion::Bad { .. }));
    }
}

#[test]
fn judge_stays_bad() {
    let mut bench = Bench::new();
    bench.tick(&[OLD, ("v2", "a", [20, 20, 0])]);
    let opinion = bench.tick(&[OLD, ("v2", "a", [2_000, 0, 0])]);
    assert_eq!(
        opinion,
        Opinion::Bad {
            reason: "errors".to_owned()
        }
    );
}
