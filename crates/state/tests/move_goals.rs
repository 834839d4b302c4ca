//! Checks the stated goals of moves on a small sample: a faulty version receives under 2% of the
//! calls before it is detected and none later than 2 s after its fault first shows, and good moves
//! are done by the deadline. The example `move_trials` measures the same over many runs.

mod support;

use support::{EPOCH_MS, Fault, Fleet, document};
use wire::Verdict;

const DEADLINE_MS: u64 = 60_000;
const SEEDS: u64 = 5;
/// Calls per second on one service: 130,000 over 33 services.
const RATE: u64 = 4_000;

fn run(fault: Fault, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(16, seed);
    fleet.verbose = false;
    fleet.fault = fault;
    fleet.rate = RATE;
    fleet.publish_config("p-1", 0, &document(&[]));
    fleet.run_ms(5_000);
    fleet.publish_config("p-2", 1, &document(&[("v2", DEADLINE_MS)]));
    fleet.run_ms(500);
    fleet.run_until_decided(DEADLINE_MS);
    fleet
}

fn check_fault(fault: Fault) {
    for seed in 0..SEEDS {
        let fleet = run(fault, seed);
        let outcome = fleet.outcome().expect("the move is decided");
        assert_eq!(outcome.verdict, Verdict::Undone, "seed {seed}");
        let tally = fleet.tally;
        assert!(
            tally.exposed_calls * 100 < tally.calls * 2,
            "seed {seed}: {tally:?}"
        );
        assert_eq!(tally.late_calls, 0, "seed {seed}: {tally:?}");
    }
}

fn check_good(fault: Fault) {
    for seed in 0..SEEDS {
        let outcome = run(fault, seed).outcome().expect("the move is decided");
        assert_eq!(outcome.verdict, Verdict::Done, "seed {seed}");
        assert!(outcome.at.0 <= EPOCH_MS + DEADLINE_MS, "seed {seed}");
    }
}

#[test]
fn goals_good_move() {
    check_good(Fault::None);
}

/// Guards against undoing a move to a good version while the old version fails as well.
#[test]
fn goals_good_move_in_disturbances() {
    check_good(Fault::BothVersions);
}

#[test]
fn goals_errors_at_once() {
    check_fault(Fault::Errors);
}

#[test]
fn goals_slow_at_once() {
    check_fault(Fault::Slow);
}

#[test]
fn goals_errors_later() {
    check_fault(Fault::ErrorsAfter(15_000));
}

#[test]
fn goals_slow_under_load() {
    check_fault(Fault::SlowFromShare(2_000));
}

#[test]
fn goals_one_route_fails() {
    check_fault(Fault::ErrorsOnRoute(100));
}
