use super::*;

fn instances(count: usize) -> Vec<InstanceId> {
    (0..count)
        .map(|at| InstanceId::new(&format!("i{at}")))
        .collect()
}

/// Returns the number of requests that instances send to one cold target in its first second, when
/// each tries every millisecond. `views` holds each instance with the instances that it knows.
fn count_sent(rate: f64, views: &[(InstanceId, Vec<InstanceId>)]) -> usize {
    let target = TargetId::new("t");
    let mut count = 0;
    for (own, view) in views {
        let mut limiter = ColdLimiter::default();
        for ms in 0..1_000 {
            let now = Time::from_ms(10_000 + ms);
            if limiter.allows(now, &target, own, view) {
                limiter.record_request(now, rate, view.len());
                count += 1;
            }
        }
    }
    count
}

#[test]
fn instances_together_stay_below_limit() {
    let all = instances(16);
    let views: Vec<_> = all.iter().map(|own| (own.clone(), all.clone())).collect();
    let count = count_sent(11.0, &views);
    assert!(
        (4..=21).contains(&count),
        "{count} requests in a second to a target that serves 11"
    );
}

#[test]
fn instances_with_split_views_stay_below_limit() {
    let all = instances(16);
    let (left, right) = all.split_at(8);
    let views: Vec<_> = left
        .iter()
        .map(|own| (own.clone(), left.to_vec()))
        .chain(right.iter().map(|own| (own.clone(), right.to_vec())))
        .collect();
    // The limit is 1.5 times the rate plus 5.
    let count = count_sent(11.0, &views);
    assert!(
        count <= 26,
        "{count} requests in a second while the views differ, expected at most 26"
    );
}

#[test]
fn single_instance_uses_rate() {
    let own = InstanceId::new("a");
    let count = count_sent(11.0, &[(own.clone(), vec![own])]);
    assert!((8..=12).contains(&count), "{count} requests in a second");
}
