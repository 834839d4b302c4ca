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
        from,
        next,
        end: next,
        changes,
    }
}

#[test]
fn datagrams_cover_all_offsets_in_order() {
    let changes: Vec<_> = (10..500).map(gone).collect();
    let datagrams = update(7, 600, changes.clone()).datagrams();
    assert!(datagrams.len() > 1);
    let mut next = 7;
    let mut seen = Vec::new();
    for bytes in datagrams {
        assert!(bytes.len() <= MAX_BYTES);
        let update = EntriesUpdate::decode(&bytes).unwrap();
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
fn datagrams_keep_changes_of_one_offset_together() {
    let mut changes: Vec<_> = (10..100).map(gone).collect();
    changes.extend(vec![gone(150); 200]);
    let datagrams = update(7, 151, changes).datagrams();
    let updates = datagrams.iter().map(|d| EntriesUpdate::decode(d).unwrap());
    let last: Vec<_> = updates
        .map(|u| u.changes.iter().filter(|(o, _)| *o == 150).count())
        .filter(|count| *count > 0)
        .collect();
    assert_eq!(last, [200]);
}

#[test]
fn decode_rejects_foreign_datagrams() {
    let bytes = update(1, 2, vec![gone(1)]).datagrams().remove(0);
    assert!(EntriesUpdate::decode(&bytes[1..]).is_none());
    assert!(EntriesUpdate::decode(&bytes[..bytes.len() - 1]).is_none());
    assert!(EntriesUpdate::decode(&update(3, 2, vec![]).datagrams().remove(0)).is_none());
}
