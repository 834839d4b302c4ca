//! Figures as a table for people and as JSON lines for comparison.

use serde_json::{Value, json};

use super::Figures;

/// Prints a table of figures with times in milliseconds.
pub fn print_table(rows: &[Figures]) {
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

/// Figures as one JSON object, after the fields that describe the run.
#[must_use]
pub fn json_line(run: &Value, row: &Figures) -> Value {
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
        "repeats": row.repeats,
    });
    if let (Some(line), Some(run)) = (line.as_object_mut(), run.as_object()) {
        line.extend(run.clone());
    }
    line
}

fn ms(us: u64) -> f64 {
    us as f64 / 1_000.0
}
