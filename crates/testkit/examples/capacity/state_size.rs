//! Size of the shared state and time to fold it, against records, services and snapshot size.

use std::{error::Error, hint::black_box};

use model::{OperatorName, Wall};
use state::State;

use crate::{
    process::{bytes_each, in_fresh_process},
    report::{Report, time_us},
    world::{document_lines, fold},
};

/// Services of the largest deployment.
const SERVICES: usize = 33;
/// States held at once while memory is measured.
const COPIES: usize = 17;

pub fn measure(report: Report) -> Result<(), Box<dyn Error>> {
    for records in [100, 1_000, 5_000] {
        measure_size(report, records, SERVICES)?;
    }
    for services in [11, 33, 64] {
        measure_size(report, 300, services)?;
    }
    Ok(())
}

fn measure_size(report: Report, records: usize, services: usize) -> Result<(), Box<dyn Error>> {
    let size = format!("{records} records, {services} services");
    let row = |name, unit, rounds: &[f64]| report.row("state", name, &size, unit, rounds);
    let lines = document_lines(records, services, 1)?;
    let bytes: usize = lines.iter().map(String::len).sum();
    row(
        "log bytes per record",
        "B",
        &[bytes as f64 / records as f64],
    );
    let state = fold(&lines)?;
    let author = OperatorName::new("entry-00");
    let snapshot = state.snapshot(&author, Wall(0));
    let copy = || {
        let mut copy = State::default();
        copy.adopt_snapshot(&snapshot);
        copy
    };
    let memory = in_fresh_process("probe-state", records, services)?;
    row("memory of the state", "B", &[memory]);
    row("memory per record", "B", &[memory / records as f64]);
    let folds = time_us(1, || {
        let _ = black_box(fold(&lines));
    });
    let each: Vec<f64> = folds.iter().map(|us| us / records as f64).collect();
    row("time to fold a record", "us", &each);
    let mut total = 0;
    for record in &snapshot {
        total += record.encode()?.len();
    }
    row("snapshot bytes", "B", &[total as f64]);
    row("snapshot parts", "records", &[snapshot.len() as f64]);
    let make = time_us(3, || {
        black_box(state.snapshot(&author, Wall(0)));
    });
    row("time to make a snapshot", "us", &make);
    let adopt = time_us(3, || {
        black_box(copy());
    });
    row("time to adopt a snapshot", "us", &adopt);
    Ok(())
}

/// Bytes of a state.
pub fn probe(records: usize, services: usize) -> Result<f64, Box<dyn Error>> {
    let snapshot = {
        let state = fold(&document_lines(records, services, 1)?)?;
        state.snapshot(&OperatorName::new("entry-00"), Wall(0))
    };
    let copy = || {
        let mut copy = State::default();
        copy.adopt_snapshot(&snapshot);
        copy
    };
    Ok(bytes_each(COPIES, copy)?)
}
