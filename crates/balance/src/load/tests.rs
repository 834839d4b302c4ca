use super::*;

const NOW: Time = Time(10_000_000);

fn load(running: u32, waiting: u32, pace: u32) -> Load {
    Load {
        running,
        waiting,
        slots: 3,
        slowdown_percent: pace,
        reported_at: NOW,
    }
}

#[test]
fn outlook_noisy_neighbour_counts() {
    let quiet = load(0, 0, 100).estimate(NOW, 90.0, 0, &MeanLoad::default());
    let noisy = load(0, 0, 400).estimate(NOW, 90.0, 0, &MeanLoad::default());
    assert!(noisy.latency_ms > 3.5 * quiet.latency_ms);
    assert!(quiet.slot_free);
}

#[test]
fn outlook_queue_adds_turns() {
    let idle = load(1, 0, 100).estimate(NOW, 90.0, 0, &MeanLoad::default());
    let full = load(3, 3, 100).estimate(NOW, 90.0, 0, &MeanLoad::default());
    assert!(!full.slot_free);
    assert!(full.latency_ms > 2.0 * idle.latency_ms);
}

#[test]
fn outlook_unseen_sends_fill_slots() {
    assert!(
        load(1, 0, 100)
            .estimate(NOW, 90.0, 1, &MeanLoad::default())
            .slot_free
    );
    assert!(
        !load(1, 0, 100)
            .estimate(NOW, 90.0, 2, &MeanLoad::default())
            .slot_free
    );
}

#[test]
fn outlook_stale_pace_fades() {
    let later = NOW.plus_ms(400);
    assert!(
        load(0, 0, 400)
            .estimate(later, 90.0, 0, &MeanLoad::default())
            .latency_ms
            < 91.0
    );
}

/// Guards against old reports that make a target look idle while all others are full.
#[test]
fn outlook_stale_report_expects_the_mean() {
    let prior = MeanLoad {
        per_slot: 2.0,
        slowdown_percent: 175.0,
    };
    let later = NOW.plus_ms(300);
    let stale = load(0, 0, 100).estimate(later, 90.0, 0, &prior);
    let fresh = load(4, 0, 100).estimate(NOW, 90.0, 0, &prior);
    assert!(!stale.slot_free && stale.latency_ms > fresh.latency_ms);
}
