//! Calls of a real instance: runs the example `overhead`, which keeps the instance in a process of
//! its own, so that client and upstream are not counted.

use std::{env, error::Error, process::Command};

use serde_json::Value;

use crate::report::Report;

/// Traffic threads of the timed runs.
const THREADS: [u32; 3] = [1, 2, 4];
/// Connections of the runs that measure memory. The last column is calls in progress or waiting.
const CONNECTIONS: [u32; 3] = [500, 1_000, 2_000];
/// Figures taken over: part, field, unit.
const CPU: [(&str, &str, &str); 2] = [
    ("cpu", "calls_per_core_s", "calls/s"),
    ("cpu", "calls_per_s", "calls/s"),
];
const MEMORY: [(&str, &str, &str); 3] = [
    ("memory", "bytes_per_connection", "B"),
    ("memory", "bytes_per_call", "B"),
    ("memory", "served", "calls"),
];
/// Service time of the upstreams. Shorter ones vary by more than three times on a busy machine, which
/// dispatchers take for cold targets.
const SERVICE_US: &str = "2000";
/// Timed runs of each size.
const ROUNDS: usize = 3;

pub fn measure(report: Report) -> Result<(), Box<dyn Error>> {
    for threads in THREADS {
        let mut runs = Vec::new();
        for _ in 0..ROUNDS {
            runs.push(run(threads, 0)?);
        }
        print(report, &format!("{threads} threads"), &CPU, &runs);
    }
    for connections in CONNECTIONS {
        let runs = [run(2, connections)?];
        print(
            report,
            &format!("{connections} connections"),
            &MEMORY,
            &runs,
        );
    }
    Ok(())
}

fn print(report: Report, size: &str, fields: &[(&str, &str, &str)], runs: &[Vec<Value>]) {
    for (part, field, unit) in fields {
        let rounds: Vec<f64> = runs.iter().filter_map(|r| find(r, part, field)).collect();
        report.row("calls", field, size, unit, &rounds);
    }
}

fn run(threads: u32, connections: u32) -> Result<Vec<Value>, Box<dyn Error>> {
    let overhead = env::current_exe()?.with_file_name("overhead");
    let output = Command::new(overhead)
        .args(["--json", "--seconds", "1"])
        .args(["--upstreams", "100", "--service-us", SERVICE_US])
        .args(["--threads", &threads.to_string()])
        .args(["--connections", &connections.to_string()])
        .output()?;
    if !output.status.success() {
        return Err(String::from_utf8_lossy(&output.stderr).into());
    }
    let text = String::from_utf8(output.stdout)?;
    text.lines().map(|l| Ok(serde_json::from_str(l)?)).collect()
}

fn find(lines: &[Value], part: &str, field: &str) -> Option<f64> {
    let line = lines.iter().find(|l| l["part"] == part)?;
    line[field].as_f64()
}
