use super::*;

fn read_age_us(rank: usize, is_own: bool) -> u64 {
    ReadSchedule { rank, draw: 10 }.read_age_us(is_own)
}

/// Guards against a hundred instances that all read the store at the same time when both readers
/// end, and against reads that are too late for targets that leave.
#[test]
fn read_age_grows_in_steps_within_two_seconds() {
    let ages = [1, 3, 7, 102].map(|rank| read_age_us(rank, false));
    assert!(ages.windows(2).all(|w| w[0] < w[1]), "{ages:?}");
    let slack_us = 150_000 + 50_000;
    assert!(ages[3] + slack_us <= 2_000_000, "{ages:?}");
}

/// Guards against two readers that read at the same time again and again, each of them at twice the
/// age that it should have.
#[test]
fn read_age_lets_readers_take_turns() {
    assert_eq!(read_age_us(0, true), 2 * read_age_us(1, false));
    let ages = [0, 20].map(|draw| ReadSchedule { rank: 0, draw }.read_age_us(false));
    assert_eq!(ages, [405_000, 495_000]);
}
