use super::*;

const NOW: Time = Time(10_000_000);

fn load(running: u32, waiting: u32, slowdown_percent: u32) -> Load {
    Load {
        running,
        waiting,
        slots: 3,
        slowdown_percent,
        reported_at: NOW,
    }
}

#[test]
fn estimate_grows_with_slowdown() {
    let usual = load(0, 0, 100).estimate(NOW, 90.0, 0, &MeanLoad::default());
    let slow = load(0, 0, 400).estimate(NOW, 90.0, 0, &MeanLoad::default());
    assert!(slow.latency_ms > 3.5 * usual.latency_ms);
    assert!(usual.slot_free);
}

#[test]
fn estimate_grows_with_queue() {
    let idle = load(1, 0, 100).estimate(NOW, 90.0, 0, &MeanLoad::default());
    let full = load(3, 3, 100).estimate(NOW, 90.0, 0, &MeanLoad::default());
    assert!(!full.slot_free);
    assert!(full.latency_ms > 2.0 * idle.latency_ms);
}

#[test]
fn estimate_unreported_requests_fill_slots() {
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
fn estimate_ignores_stale_slowdown() {
    let later = NOW.plus_ms(400);
    assert!(
        load(0, 0, 400)
            .estimate(later, 90.0, 0, &MeanLoad::default())
            .latency_ms
            < 91.0
    );
}

/// Guards against old reports that make a target look idle while all others of its service are
/// full.
#[test]
fn estimate_of_stale_report_uses_mean() {
    let mean = MeanLoad {
        per_slot: 2.0,
        slowdown_percent: 175.0,
    };
    let later = NOW.plus_ms(300);
    let stale = load(0, 0, 100).estimate(later, 90.0, 0, &mean);
    let fresh = load(4, 0, 100).estimate(NOW, 90.0, 0, &mean);
    assert!(!stale.slot_free && stale.latency_ms > fresh.latency_ms);
}
