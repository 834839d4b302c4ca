use model::TargetId;

use super::*;

fn gone(at: u64) -> (u64, EntryChange) {
    (
        at,
        EntryChange::Gone(TargetId::new(&format!("target-{at}"))),
    )
}

fn update(from: u64, next: u64, changes: Vec<(u64, EntryChange)>) -> EntriesUpdate {
    EntriesUpdate {
        age_ms: 0,
        forward_to: vec![],
        era: 2,
        from,
        next,
        end: next,
        changes,
    }
}

#[test]
fn split_covers_all_offsets_in_order() {
    let changes: Vec<_> = (10..500).map(gone).collect();
    let others = vec!["10.1.0.35:65535".parse().unwrap(); 17];
    let parts = update(7, 600, changes.clone()).split(others.len());
    assert!(parts.len() > 1);
    let mut next = 7;
    let mut seen = Vec::new();
    for mut part in parts {
        part.forward_to.clone_from(&others);
        let bytes = part.encode();
        assert!(bytes.len() <= MAX_BYTES);
        let update = EntriesUpdate::decode(&bytes).unwrap();
        assert_eq!(update, part);
        assert_eq!(update.from, next);
        next = update.next;
        assert_eq!(update.end, 600, "a receiver must see that more follows");
        seen.extend(update.changes);
    }
    assert_eq!((next, seen), (600, changes));
}

/// Guards against a receiver that gets only the second of two parts with the same offset, and takes
/// it for all changes at that offset.
#[test]
fn split_keeps_changes_of_one_offset_together() {
    let mut changes: Vec<_> = (10..100).map(gone).collect();
    changes.extend(vec![gone(150); 200]);
    let parts = update(7, 151, changes).split(0);
    let last: Vec<_> = parts
        .iter()
        .map(|u| u.changes.iter().filter(|(o, _)| *o == 150).count())
        .filter(|count| *count > 0)
        .collect();
    assert_eq!(last, [200]);
}

#[test]
fn decode_rejects_foreign_datagrams() {
    let bytes = update(1, 2, vec![gone(1)]).encode();
    assert!(EntriesUpdate::decode(&bytes[1..]).is_none());
    assert!(EntriesUpdate::decode(&bytes[..bytes.len() - 1]).is_none());
    assert!(EntriesUpdate::decode(&update(3, 2, vec![]).encode()).is_none());
}
