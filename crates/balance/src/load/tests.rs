use super::*;

const NOW: Time = Time(10_000_000);

fn load(running: u32, waiting: u32, pace: u32) -> Load {
    Load {
        running,
        waiting,
        slots: 3,
        pace,
        at: NOW,
    }
}

#[test]
fn outlook_noisy_neighbour_counts() {
    let quiet = load(0, 0, 100).outlook(NOW, 90.0, 0, &Prior::default());
    let noisy = load(0, 0, 400).outlook(NOW, 90.0, 0, &Prior::default());
    assert!(noisy.ms > 3.5 * quiet.ms);
    assert!(quiet.is_free);
}

#[test]
fn outlook_queue_adds_turns() {
    let idle = load(1, 0, 100).outlook(NOW, 90.0, 0, &Prior::default());
    let full = load(3, 3, 100).outlook(NOW, 90.0, 0, &Prior::default());
    assert!(!full.is_free);
    assert!(full.ms > 2.0 * idle.ms);
}

#[test]
fn outlook_unseen_sends_fill_slots() {
    assert!(
        load(1, 0, 100)
            .outlook(NOW, 90.0, 1, &Prior::default())
            .is_free
    );
    assert!(
        !load(1, 0, 100)
            .outlook(NOW, 90.0, 2, &Prior::default())
            .is_free
    );
}

#[test]
fn outlook_stale_pace_fades() {
    let later = NOW.plus_ms(400);
    assert!(
        load(0, 0, 400)
            .outlook(later, 90.0, 0, &Prior::default())
            .ms
            < 91.0
    );
}

/// Guards against old reports that make a target look idle while all others are full.
#[test]
fn outlook_stale_report_expects_the_mean() {
    let prior = Prior {
        per_slot: 2.0,
        pace: 175.0,
    };
    let later = NOW.plus_ms(300);
    let stale = load(0, 0, 100).outlook(later, 90.0, 0, &prior);
    let fresh = load(4, 0, 100).outlook(NOW, 90.0, 0, &prior);
    assert!(!stale.is_free && stale.ms > fresh.ms);
}
