//! The randomised soak by hand: many seeds, one after the other, with the release build of the gateway.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use argh::FromArgs;
use async_std::task;
use testkit::{
    built_binary,
    fleet::{RigSpec, SMALL_SOAK, SoakBuilds, soak},
};

/// Plays random faults on gateway processes and checks what callers and targets see. Exit status 1 if a
/// promise was broken.
#[derive(Debug, FromArgs)]
struct Args {
    /// first seed, default 1
    #[argh(option, default = "1")]
    seed: u64,

    /// number of seeds, default 50
    #[argh(option, default = "50")]
    seeds: u64,

    /// length of the faults of one seed in seconds, 1 to 3600, default 8
    #[argh(option, default = "8")]
    seconds: u64,

    /// number of instances, 1 to 200, default 5
    #[argh(option, default = "SMALL_SOAK.instances")]
    instances: usize,

    /// number of targets, 1 to 200, default 8
    #[argh(option, default = "SMALL_SOAK.targets")]
    targets: usize,

    /// binary of the gateway. Default: the one built beside this example
    #[argh(option)]
    binary: Option<PathBuf>,

    /// binary of an earlier release that the instances start with. Each later start is of the other one
    #[argh(option)]
    earlier: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let Some(binary) = args.binary.or_else(built_binary) else {
        eprintln!("the gateway is not built; run cargo build --release -p hibiscusway first");
        return ExitCode::from(2);
    };
    if !(1..=3_600).contains(&args.seconds) {
        eprintln!("--seconds {}: allowed is 1 to 3600", args.seconds);
        return ExitCode::from(2);
    }
    for (name, count) in [("instances", args.instances), ("targets", args.targets)] {
        if !(1..=200).contains(&count) {
            eprintln!("--{name} {count}: allowed is 1 to 200");
            return ExitCode::from(2);
        }
    }
    let spec = RigSpec {
        instances: args.instances,
        targets: args.targets,
        ..SMALL_SOAK
    };
    let mut failed = 0;
    for seed in args.seed..args.seed.saturating_add(args.seeds) {
        let length = Duration::from_secs(args.seconds);
        let builds = SoakBuilds {
            current: &binary,
            earlier: args.earlier.as_deref(),
        };
        match task::block_on(soak(builds, spec, seed, length)) {
            Ok(report) => {
                let (served, requests) = (report.served, report.requests);
                println!(
                    "seed {seed}: {served} of {requests} served, {} faults, {} broken",
                    report.faults.len(),
                    report.violations.len()
                );
                if !report.violations.is_empty() {
                    failed += 1;
                    println!("{:#?}\n{:#?}", report.faults, report.violations);
                }
            }
            Err(error) => {
                failed += 1;
                println!("seed {seed}: {error}");
            }
        }
    }
    println!("{failed} of {} seeds failed", args.seeds);
    if failed > 0 {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}
