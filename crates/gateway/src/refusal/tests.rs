use super::*;

/// Guards against callers that return long before or after the targets take another request, and
/// against a division by nought.
#[test]
fn at_rate_follows_limits() {
    let retry_ms = |rate| Refusal::at_rate(Code::LimitReached, rate).retry_ms;
    assert_eq!(retry_ms(4.0), Some(250));
    assert_eq!(retry_ms(1_000.0), Some(BUSY_RETRY_MS));
    assert_eq!(retry_ms(0.0), Some(2_000));
}
