use super::*;

const START: Time = Time(5_000_000);

fn id() -> TargetId {
    TargetId::new("i-1")
}

/// Guards against a target that starts anew under its name and is taken for the one that left.
#[test]
fn note_is_about_one_process() {
    let mut notes = TargetNotes::default();
    assert!(notes.record_leaving(&id(), 1, START));
    assert!(!notes.record_leaving(&id(), 1, START));
    notes.record_closed(&id(), 1, START, 2_000);
    assert!(notes.get(&id(), 1).is_leaving);
    assert_eq!(notes.get(&id(), 2), TargetNote::default());
}

/// Guards against a target that gets requests sooner than it wants them, and against one that gets
/// none for days because of an absurd value.
#[test]
fn record_closed_keeps_longest_within_bound() {
    let mut notes = TargetNotes::default();
    notes.record_closed(&id(), 1, START, 2_000);
    notes.record_closed(&id(), 1, START.plus_ms(100), 500);
    assert_eq!(notes.get(&id(), 1).closed_until, START.plus_ms(2_000));
    notes.record_closed(&id(), 1, START, u64::MAX);
    assert_eq!(notes.get(&id(), 1).closed_until, START.plus_ms(300_000));
}

/// Guards against memory that faulty instances fill, and against notes that stay for ever.
#[test]
fn notes_are_bounded() {
    let mut notes = TargetNotes::default();
    for born in 0..20_000 {
        notes.record_leaving(&id(), born, START);
    }
    assert_eq!(notes.leaving().count(), 16_384);
    notes.sweep(START.plus_ms(599_000));
    assert_eq!(notes.leaving().count(), 16_384);
    notes.sweep(START.plus_ms(601_000));
    assert_eq!(notes.leaving().count(), 0);
}
