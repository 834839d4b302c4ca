use super::*;

/// Sends datagrams of 2.5 ms each; every pause takes `late_us` longer. Returns how long it takes.
fn send(count: usize, late_us: u64) -> u64 {
    let mut pace = SendPace::default();
    let start = Time(1_000_000);
    let mut now = start;
    for _ in 0..count {
        let wait_us = pace.add_datagram(now, 2_500);
        if wait_us > 0 {
            now = now.plus_us(wait_us + late_us);
        }
    }
    now.since_us(start)
}

/// Guards against bursts that a slow link drops.
#[test]
fn add_datagram_keeps_to_rate() {
    let took_us = send(100, 0);
    let allowed_us = 100 * 2_500 - MAX_AHEAD_US - MAX_BEHIND_US;
    assert!(took_us >= allowed_us - 2_500, "{took_us} us");
}

/// Guards against a busy machine, on which every pause is late, that needs several times as long for
/// its datagrams and holds up news of leaving targets.
#[test]
fn add_datagram_makes_up_for_late_pauses() {
    let took_us = send(100, 30_000);
    assert!(took_us < 2 * 250_000, "{took_us} us");
}
