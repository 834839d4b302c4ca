use super::*;

#[test]
fn pause_grows_to_limit_until_reset() {
    let mut backoff = Backoff::default();
    let first = backoff.pause();
    for _ in 0..100 {
        assert!(backoff.pause() <= Duration::from_millis(MAX_PAUSE_MS));
    }
    assert!(backoff.pause() > first);
    backoff.reset();
    assert!(backoff.pause() <= Duration::from_millis(MIN_PAUSE_MS));
}
