//! Guards against a key that is forgotten while its call may still have run, and against a table
//! that grows without bound.

use super::*;

const START: Time = Time(0);

fn claim_at(table: &mut KeyTable, now: Time, key: &str) -> Option<KeyState> {
    table.claim(now, key.to_owned())
}

#[test]
fn claim_reports_state() {
    let mut table = KeyTable::default();
    assert_eq!(claim_at(&mut table, START, "k"), Some(KeyState::Fresh));
    assert_eq!(claim_at(&mut table, START, "k"), Some(KeyState::Running));
    table.end("k", KeyState::Done);
    assert_eq!(claim_at(&mut table, START, "k"), Some(KeyState::Done));
}

#[test]
fn claim_after_not_run() {
    let mut table = KeyTable::default();
    claim_at(&mut table, START, "k");
    table.end("k", KeyState::Fresh);
    assert_eq!(claim_at(&mut table, START, "k"), Some(KeyState::Fresh));
}

#[test]
fn claim_expires() {
    let mut table = KeyTable::default();
    claim_at(&mut table, START, "k");
    let before = START.plus_ms(KEEP_MS - 1);
    assert_eq!(claim_at(&mut table, before, "k"), Some(KeyState::Running));
    let after = START.plus_ms(KEEP_MS);
    assert_eq!(claim_at(&mut table, after, "k"), Some(KeyState::Fresh));
}

#[test]
fn expire_spares_second_claim() {
    let mut table = KeyTable::default();
    claim_at(&mut table, START, "k");
    table.end("k", KeyState::Fresh);
    let second = START.plus_ms(1_000);
    claim_at(&mut table, second, "k");
    let between = START.plus_ms(KEEP_MS);
    assert_eq!(claim_at(&mut table, between, "k"), Some(KeyState::Running));
}

#[test]
fn claim_in_full_table() {
    let mut table = KeyTable::default();
    for i in 0..MAX_KEYS {
        claim_at(&mut table, START, &i.to_string());
    }
    assert_eq!(claim_at(&mut table, START, "one more"), None);
    assert_eq!(claim_at(&mut table, START, "0"), Some(KeyState::Running));
}

#[test]
fn guard_dropped_is_unknown() {
    task::block_on(async {
        let keys = Keys::start(Clock::start());
        assert_eq!(keys.claim("k".to_owned()).await, Some(KeyState::Fresh));
        drop(KeyGuard {
            keys: keys.clone(),
            key: "k".to_owned(),
            end: KeyState::Unknown,
        });
        let mut state = Some(KeyState::Running);
        for _ in 0..100 {
            state = keys.claim("k".to_owned()).await;
            if state != Some(KeyState::Running) {
                break;
            }
            task::sleep(std::time::Duration::from_millis(1)).await;
        }
        assert_eq!(state, Some(KeyState::Unknown));
    });
}
