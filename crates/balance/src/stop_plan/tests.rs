use super::*;

/// Guards against addresses that callers still have when the instance has ended.
#[test]
fn address_ttl_fits_stop() {
    for total_ms in [4_000, 6_000, 20_000] {
        let ttl_ms = StopPlan::address_ttl_ms(total_ms * 1_000);
        assert!(
            1_000 + ttl_ms * 3 <= total_ms * 9 / 10,
            "{total_ms}: {ttl_ms}"
        );
    }
    assert_eq!(StopPlan::address_ttl_ms(600_000_000), 3_000);
    assert_eq!(StopPlan::address_ttl_ms(0), 500);
}
