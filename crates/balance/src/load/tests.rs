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
    let quiet = load(0, 0, 100).outlook(NOW, 90.0, 0);
    let noisy = load(0, 0, 400).outlook(NOW, 90.0, 0);
    assert!(noisy.ms > 3.5 * quiet.ms);
    assert!(quiet.is_free);
}

#[test]
fn outlook_queue_adds_turns() {
    let idle = load(1, 0, 100).outlook(NOW, 90.0, 0);
    let full = load(3, 3, 100).outlook(NOW, 90.0, 0);
    assert!(!full.is_free);
    assert!(full.ms > 2.0 * idle.ms);
}

#[test]
fn outlook_unseen_sends_fill_slots() {
    assert!(load(1, 0, 100).outlook(NOW, 90.0, 1).is_free);
    assert!(!load(1, 0, 100).outlook(NOW, 90.0, 2).is_free);
}

#[test]
fn outlook_stale_pace_fades() {
    let later = NOW.plus_ms(400);
    assert!(load(0, 0, 400).outlook(later, 90.0, 0).ms < 91.0);
}
