use super::*;

const START: Time = Time(9_000_000);

/// Guards against usage that counts an instance twice or still counts one that no longer reports.
#[test]
fn of_service_sums_latest_reports() {
    let service = ServiceName::new("s");
    let used = |requests, extra_attempts| {
        vec![(
            service.clone(),
            BudgetUsage {
                requests,
                extra_attempts,
            },
        )]
    };
    let mut peers = PeerUsage::default();
    peers.record_report(InstanceId::new("a"), used(9, 9), START);
    peers.record_report(InstanceId::new("a"), used(50, 3), START.plus_ms(1_000));
    peers.record_report(InstanceId::new("b"), used(70, 5), START.plus_ms(2_000));
    let sum = |requests, extra_attempts, count| {
        (
            BudgetUsage {
                requests,
                extra_attempts,
            },
            count,
        )
    };
    assert_eq!(
        peers.of_service(&service, START.plus_ms(2_000)),
        sum(120, 8, 2)
    );
    assert_eq!(
        peers.of_service(&service, START.plus_ms(4_000)),
        sum(70, 5, 1)
    );
    let other = ServiceName::new("other");
    assert_eq!(peers.of_service(&other, START.plus_ms(2_000)), sum(0, 0, 2));
}
