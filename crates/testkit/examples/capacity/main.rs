//! Measures the slopes behind `docs/CAPACITY.md`: what a record, service, target, instance, message,
//! call, connection and key cost, each at several sizes and on the code that ships.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "figures are shown with few digits, and sizes are far below the bounds"
)]

mod calls;
mod control;
mod dispatch;
mod keys;
mod membership;
mod peers;
mod process;
mod report;
mod start;
mod state_size;
mod world;

use std::{error::Error, process::ExitCode};

use argh::FromArgs;
use async_std::task;

use crate::report::Report;

/// Parts in the order of `all`.
const PARTS: [&str; 8] = [
    "state",
    "members",
    "peers",
    "dispatcher",
    "keys",
    "calls",
    "start",
    "control",
];

/// Memory measurements that run in a process of their own.
const PROBES: [&str; 3] = ["probe-state", "probe-members", "probe-views"];

/// Slopes of state, messages, CPU time and memory.
#[derive(Debug, FromArgs)]
struct Args {
    /// state, members, peers, dispatcher, keys, calls, start, control, or all
    #[argh(positional, from_str_fn(parse_part))]
    part: String,

    /// sizes of a probe, with which the parts call this program
    #[argh(positional)]
    sizes: Vec<usize>,

    /// print JSON lines instead of text
    #[argh(switch)]
    json: bool,
}

fn parse_part(text: &str) -> Result<String, String> {
    if text == "all" || PARTS.contains(&text) || PROBES.contains(&text) {
        return Ok(text.to_owned());
    }
    Err(format!(
        "{text:?} is not a part; allowed: {}, all",
        PARTS.join(", ")
    ))
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let report = Report { json: args.json };
    if let [a, b] = args.sizes[..] {
        return probe(&args.part, a, b);
    }
    let parts = PARTS
        .iter()
        .filter(|p| args.part == "all" || args.part == **p);
    for part in parts {
        if let Err(error) = run(part, report) {
            eprintln!("capacity: {part}: {error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

/// Prints the bytes of one copy.
fn probe(kind: &str, a: usize, b: usize) -> ExitCode {
    let bytes = match kind {
        "probe-state" => state_size::probe(a, b),
        "probe-members" => membership::probe_members(a, b),
        _ => membership::probe_views(a, b),
    };
    match bytes {
        Ok(bytes) => {
            println!("{bytes}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("capacity: {kind}: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(part: &str, report: Report) -> Result<(), Box<dyn Error>> {
    match part {
        "state" => state_size::measure(report),
        "members" => membership::measure(report),
        "peers" => peers::measure(report),
        "dispatcher" => {
            dispatch::measure(report);
            Ok(())
        }
        "keys" => task::block_on(keys::measure(report)),
        "calls" => calls::measure(report),
        "start" => task::block_on(start::measure(report)),
        _ => task::block_on(control::measure(report)),
    }
}
