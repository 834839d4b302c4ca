use super::*;

const START: Time = Time(9_000_000);

/// Guards against budgets that count instances twice or go on counting lost ones.
#[test]
fn of_sums_latest_fresh_reports() {
    let service = ServiceName::new("s");
    let used = |requests, extras| {
        vec![(
            service.clone(),
            BudgetUsage {
                requests,
                extra_attempts: extras,
            },
        )]
    };
    let mut fleet = PeerUsage::default();
    fleet.record_report(InstanceId::new("a"), used(9, 9), START);
    fleet.record_report(InstanceId::new("a"), used(50, 3), START.plus_ms(1_000));
    fleet.record_report(InstanceId::new("b"), used(70, 5), START.plus_ms(2_000));
    let sum = |requests, extras, count| {
        (
            BudgetUsage {
                requests,
                extra_attempts: extras,
            },
            count,
        )
    };
    assert_eq!(
        fleet.of_service(&service, START.plus_ms(2_000)),
        sum(120, 8, 2)
    );
    assert_eq!(
        fleet.of_service(&service, START.plus_ms(4_000)),
        sum(70, 5, 1)
    );
    let other = ServiceName::new("other");
    assert_eq!(fleet.of_service(&other, START.plus_ms(2_000)), sum(0, 0, 2));
}
