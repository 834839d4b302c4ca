//! Guards against sending records with a gap, and against unbounded memory.

use super::*;

fn entry(offset: u64, len: usize) -> LogEntry {
    LogEntry {
        offset,
        data: "x".repeat(len),
    }
}

#[test]
fn from_after_gap() {
    let mut recent = RecentRecords::default();
    recent.push(&entry(1, 1));
    recent.push(&entry(2, 1));
    recent.push(&entry(5, 1));
    assert_eq!(recent.from(2), None);
    assert_eq!(recent.from(5).unwrap(), [entry(5, 1)]);
}

#[test]
fn from_bounds_chunk() {
    let mut recent = RecentRecords::default();
    for offset in 1..=10 {
        recent.push(&entry(offset, 60_000));
    }
    let chunk = recent.from(1).unwrap();
    assert_eq!(chunk.len(), 3);
    assert_eq!(recent.from(4).unwrap()[0].offset, 4);
}

#[test]
fn push_bounds_bytes() {
    let mut recent = RecentRecords::default();
    for offset in 1..=100 {
        recent.push(&entry(offset, 60_000));
    }
    assert!(recent.bytes <= MAX_BYTES);
    assert_eq!(recent.from(1), None);
}
