//! Guards against a key that is removed while its call may still have run, and against a table
//! that grows without bound.

use super::*;

const START: Time = Time(0);

const K: KeyHash = [7; 16];

#[test]
fn claim_reports_state() {
    let mut table = KeyTable::default();
    assert_eq!(table.claim(START, K), Some(KeyState::Fresh));
    assert_eq!(table.claim(START, K), Some(KeyState::Running));
    table.end(&K, KeyState::Done);
    assert_eq!(table.claim(START, K), Some(KeyState::Done));
}

#[test]
fn claim_after_not_run() {
    let mut table = KeyTable::default();
    table.claim(START, K);
    table.end(&K, KeyState::Fresh);
    assert_eq!(table.claim(START, K), Some(KeyState::Fresh));
}

#[test]
fn claim_expires() {
    let mut table = KeyTable::default();
    table.claim(START, K);
    let before = START.plus_ms(KEEP_MS - 1);
    assert_eq!(table.claim(before, K), Some(KeyState::Running));
    let after = START.plus_ms(KEEP_MS);
    assert_eq!(table.claim(after, K), Some(KeyState::Fresh));
}

#[test]
fn expire_spares_second_claim() {
    let mut table = KeyTable::default();
    table.claim(START, K);
    table.end(&K, KeyState::Fresh);
    let second = START.plus_ms(1_000);
    table.claim(second, K);
    let between = START.plus_ms(KEEP_MS);
    assert_eq!(table.claim(between, K), Some(KeyState::Running));
}

#[test]
fn claim_in_full_table() {
    let mut table = KeyTable::default();
    for i in 0..MAX_KEYS as u128 {
        table.claim(START, i.to_be_bytes());
    }
    assert_eq!(table.claim(START, u128::MAX.to_be_bytes()), None);
    assert_eq!(table.claim(START, [0; 16]), Some(KeyState::Running));
}
