//! Measures version moves in virtual time, with 16 instances that exchange evidence every 250 ms, 8
//! routes, and a deadline one minute after the start of the run.
//!
//! `cargo run --release -p state --example move_trials -- 1000 200 4000` runs 1,000 good moves, 1,000
//! good moves with disturbances of both versions, and 200 moves with each fault, at 4,000 calls/s.
//! That is about the share of each of 33 services in 130,000 calls/s. A fourth argument is the first
//! seed.

#[path = "../tests/support/mod.rs"]
mod support;

use std::{env, ops::Range, thread};

use support::{EPOCH_MS, Fault, Fleet, document};
use wire::Verdict;

const DEADLINE_MS: u64 = 60_000;
/// Number of threads. It is low because the machine is shared.
const THREADS: u64 = 4;

/// Result of one run.
#[derive(Clone, Copy, Debug)]
struct Run {
    done: bool,
    decided_ms: u64,
    /// Calls on the faulty version, in percent of all calls from the start of the move to the last
    /// of them.
    exposed_percent: f64,
    /// Calls on the faulty version, in percent of all calls from the first that showed the fault to
    /// the last of them.
    window_percent: f64,
    /// Calls on the faulty version more than 2 s after the fault.
    late_calls: u64,
    /// Time from the fault to the last call on the faulty version.
    stop_ms: u64,
}

fn main() {
    let mut args = env::args().skip(1);
    let mut number = |default| args.next().and_then(|a| a.parse().ok()).unwrap_or(default);
    let (good, bad, rate, seed) = (number(1_000), number(200), number(4_000), number(0));
    report_good("good moves", &run_all(Fault::None, seed..seed + good, rate));
    let name = "good moves while both versions fail and slow down at times";
    report_good(name, &run_all(Fault::BothVersions, seed..seed + good, rate));
    let faults = [
        ("errors at once", Fault::Errors),
        ("slow at once", Fault::Slow),
        ("errors after 15 s", Fault::ErrorsAfter(15_000)),
        ("slow from 20% on", Fault::SlowFromShare(2_000)),
        ("1 of 8 routes fails", Fault::ErrorsOnRoute(100)),
        (
            "1 of 8 routes fails half of its calls",
            Fault::ErrorsOnRoute(50),
        ),
    ];
    for (name, fault) in faults {
        report_bad(name, &run_all(fault, seed..seed + bad, rate));
    }
}

fn run_all(fault: Fault, seeds: Range<u64>, rate: u64) -> Vec<Run> {
    let worker = |n| {
        let seeds = (seeds.start + n..seeds.end).step_by(usize::try_from(THREADS).unwrap_or(1));
        thread::spawn(move || seeds.map(|seed| run(fault, seed, rate)).collect::<Vec<_>>())
    };
    let workers: Vec<_> = (0..THREADS).map(worker).collect();
    let join = |w: thread::JoinHandle<Vec<Run>>| w.join().expect("a run failed");
    workers.into_iter().flat_map(join).collect()
}

#[allow(clippy::cast_precision_loss)]
fn run(fault: Fault, seed: u64, rate: u64) -> Run {
    let mut fleet = Fleet::new(16, seed);
    fleet.verbose = false;
    fleet.fault = fault;
    fleet.rate = rate;
    fleet.publish_config("p-1", 0, &document(&[]));
    fleet.run_ms(5_000);
    fleet.publish_config("p-2", 1, &document(&[("v2", DEADLINE_MS)]));
    fleet.run_ms(500);
    fleet.run_until_decided(DEADLINE_MS);
    let outcome = fleet.outcome().expect("every move is decided");
    let tally = fleet.tally;
    let from = tally.fault_shown.unwrap_or_default();
    let last = tally.last_exposed.unwrap_or_default();
    Run {
        done: outcome.verdict == Verdict::Done,
        decided_ms: outcome.at.0 - EPOCH_MS,
        exposed_percent: 100.0 * tally.exposed_calls as f64 / tally.calls.max(1) as f64,
        window_percent: 100.0 * tally.exposed_calls as f64 / tally.window_calls.max(1) as f64,
        late_calls: tally.late_calls,
        stop_ms: last.since_us(from) / 1_000,
    }
}

fn report_good(name: &str, runs: &[Run]) {
    let wrong = runs.iter().filter(|r| !r.done).count();
    let late = runs.iter().filter(|r| r.decided_ms > DEADLINE_MS).count();
    let slowest = runs.iter().map(|r| r.decided_ms).max().unwrap_or(0);
    println!(
        "{name}: {}, not done: {wrong}, decided after the deadline: {late}, \
         slowest decided at {slowest} ms of {DEADLINE_MS} ms",
        runs.len()
    );
}

fn report_bad(name: &str, runs: &[Run]) {
    if runs.is_empty() {
        return;
    }
    let missed = runs.iter().filter(|r| r.done).count();
    let late = runs.iter().filter(|r| r.late_calls > 0).count();
    let median_and_max = |value: fn(&Run) -> f64| {
        let mut all: Vec<f64> = runs.iter().map(value).collect();
        all.sort_by(f64::total_cmp);
        (all[all.len() / 2], all[all.len() - 1])
    };
    let (exposed, most_exposed) = median_and_max(|r| r.exposed_percent);
    let (window, most_window) = median_and_max(|r| r.window_percent);
    let mut stops: Vec<u64> = runs.iter().map(|r| r.stop_ms).collect();
    stops.sort_unstable();
    println!(
        "{name}: {} runs, missed: {missed}; calls on the faulty version, of all calls since the \
         start of the move: median {exposed:.3}%, most {most_exposed:.3}%; of the calls from fault \
         to stop: median {window:.1}%, most {most_window:.1}%; fault to stop: median {} ms, most \
         {} ms; runs with calls on it more than 2 s after the fault: {late}",
        runs.len(),
        stops[stops.len() / 2],
        stops[stops.len() - 1]
    );
}
