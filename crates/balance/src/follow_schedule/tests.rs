use super::*;

fn schedule(rank: usize, interval_ms: u64) -> FollowSchedule {
    FollowSchedule { rank, interval_ms }
}

/// Guards against an instance that reads too late for a change that it was not told of, and against
/// hundreds of instances that read at the same time.
#[test]
fn read_age_grows_in_steps_within_apply_time() {
    // 16 instances within 2 s, 100 and 471 within 2.5 s, each with 0.2 s for the read itself.
    for (rank, interval_ms, limit_ms) in [(15, 400, 1_800), (99, 400, 2_300), (470, 471, 2_300)] {
        let age_ms = schedule(rank, interval_ms).read_age_ms();
        assert!(age_ms <= limit_ms, "rank {rank}: {age_ms}");
        assert!(age_ms > schedule(rank / 2, interval_ms).read_age_ms());
    }
}

/// Guards against reads of all instances while those that wait at the store are well: their records
/// are as old as a wait when they send a digest, and an interval older before the next one comes.
#[test]
fn read_age_exceeds_wait_and_interval() {
    for interval_ms in [400, 800] {
        let usual_ms = FollowSchedule::WAIT_MS + interval_ms;
        assert!(schedule(3, interval_ms).read_age_ms() >= usual_ms + 200);
    }
}

/// Guards against an instance that reads the store too late after it can reach it again.
#[test]
fn retry_comes_within_three_seconds() {
    assert!(schedule(102, 400).retry_ms() < 3_000);
    assert!(schedule(0, 400).retry_ms() < schedule(102, 400).retry_ms());
}
