//! Output of statistics as a table and as JSON lines.

use serde_json::{Value, json};

use super::ClassSummary;

/// Prints a table of statistics with times in milliseconds.
pub fn print_table(rows: &[ClassSummary]) {
    println!(
        "{:<28} {:>7} {:>8} {:>8} {:>8} {:>8} {:>9}  refused / errors / unknown / unsent / wrong",
        "service/class", "calls", "p50 ms", "p99 ms", "p99.9 ms", "max ms", "in target"
    );
    for row in rows {
        println!(
            "{:<28} {:>7} {:>8.1} {:>8.1} {:>8.1} {:>8.1} {:>8.2}%  {:?} / {:?} / {} / {} / {}",
            row.name,
            row.calls,
            ms(row.p50_us),
            ms(row.p99_us),
            ms(row.p999_us),
            ms(row.max_us),
            row.in_target * 100.0,
            row.refused,
            row.errors,
            row.unknown,
            row.unsent,
            row.wrong,
        );
    }
}

/// Returns the statistics as a JSON object that also has the fields of `run`.
#[must_use]
pub fn json_line(run: &Value, row: &ClassSummary) -> Value {
    let mut line = json!({
        "name": row.name,
        "calls": row.calls,
        "served": row.served,
        "p50_us": row.p50_us,
        "p99_us": row.p99_us,
        "p999_us": row.p999_us,
        "max_us": row.max_us,
        "in_target": row.in_target,
        "refused": row.refused,
        "errors": row.errors,
        "unknown": row.unknown,
        "unsent": row.unsent,
        "wrong": row.wrong,
        "repeats": row.retries,
    });
    if let (Some(line), Some(run)) = (line.as_object_mut(), run.as_object()) {
        line.extend(run.clone());
    }
    line
}

fn ms(us: u64) -> f64 {
    us as f64 / 1_000.0
}
