//! Short seeded runs of the randomised soak, and the seeds that once failed. Longer ones by hand:
//! `cargo run --release -p testkit --example soak -- --help`.

use std::{path::Path, time::Duration};

use async_std::task;
use testkit::fleet::soak;

/// Length of the faults in one run.
const LENGTH: Duration = Duration::from_secs(5);

fn play(seed: u64) {
    let binary = Path::new(env!("CARGO_BIN_EXE_hibiscusway"));
    let report = task::block_on(soak(binary, seed, LENGTH)).unwrap();
    assert!(report.violations.is_empty(), "seed {seed}: {report:#?}");
    assert!(
        report.served * 2 > report.requests,
        "seed {seed}: {report:#?}"
    );
}

#[test]
fn soak_seed_1() {
    play(1);
}

#[test]
fn soak_seed_2() {
    play(2);
}
