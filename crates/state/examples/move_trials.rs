//! Measures version moves in virtual time: 16 instances that merge evidence every 250 ms, 8 routes,
//! a minute from the first call to the deadline.
//!
//! `cargo run --release -p state --example move_trials -- 1000 200 4000` runs 1,000 good moves and
//! 200 of each fault at 4,000 calls/s, about what 130,000 calls/s make for each of 33 services.
//! A fourth argument is the first seed.

#[path = "../tests/support/mod.rs"]
mod support;

use std::{env, ops::Range, thread};

use support::{EPOCH_MS, Fault, Fleet, document};
use wire::Verdict;

const DEADLINE_MS: u64 = 60_000;
/// Threads; the machine is shared.
const THREADS: u64 = 4;

/// What one run showed.
#[derive(Clone, Copy, Debug)]
struct Run {
    done: bool,
    decided_ms: u64,
    exposed: f64,
    window: f64,
    late: u64,
    stop_ms: u64,
}

fn main() {
    let mut args = env::args().skip(1);
    let mut number = |default| args.next().and_then(|a| a.parse().ok()).unwrap_or(default);
    let (good, bad, rate, seed) = (number(1_000), number(200), number(4_000), number(0));
    report_good("good moves", &run_all(Fault::None, seed..seed + good, rate));
    let name = "good moves while both versions fail and slow down at times";
    report_good(name, &run_all(Fault::Both, seed..seed + good, rate));
    let faults = [
        ("errors at once", Fault::Errors),
        ("slow at once", Fault::Slow),
        ("errors after 15 s", Fault::Later(15_000)),
        ("slow from 20% on", Fault::Load(2_000)),
        ("1 of 8 routes fails", Fault::Route(100)),
        ("1 of 8 routes fails half of its calls", Fault::Route(50)),
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
    let from = tally.shown.unwrap_or_default();
    let last = tally.last.unwrap_or_default();
    Run {
        done: outcome.verdict == Verdict::Done,
        decided_ms: outcome.at.0 - EPOCH_MS,
        exposed: 100.0 * tally.exposed as f64 / tally.calls.max(1) as f64,
        window: 100.0 * tally.exposed as f64 / tally.window.max(1) as f64,
        late: tally.late,
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
    let late = runs.iter().filter(|r| r.late > 0).count();
    let median = |value: fn(&Run) -> f64| {
        let mut all: Vec<f64> = runs.iter().map(value).collect();
        all.sort_by(f64::total_cmp);
        (all[all.len() / 2], all[all.len() - 1])
    };
    let (exposed, most_exposed) = median(|r| r.exposed);
    let (window, most_window) = median(|r| r.window);
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
