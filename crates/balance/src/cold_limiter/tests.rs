use super::*;

fn instances(count: usize) -> Vec<InstanceId> {
    (0..count)
        .map(|at| InstanceId::new(&format!("i{at}")))
        .collect()
}

/// Requests that `views.len()` instances send in the busiest second, each trying every millisecond.
fn sent(rate: f64, views: &[(InstanceId, Vec<InstanceId>)]) -> usize {
    let target = TargetId::new("t");
    let mut count = 0;
    for (own, view) in views {
        let mut gate = ColdLimiter::default();
        for ms in 0..1_000 {
            let now = Time::from_ms(10_000 + ms);
            if gate.allows(now, &target, own, view) {
                gate.record_request(now, rate, view.len());
                count += 1;
            }
        }
    }
    count
}

#[test]
fn gate_all_instances_stay_below_limit() {
    let all = instances(16);
    let views: Vec<_> = all.iter().map(|own| (own.clone(), all.clone())).collect();
    let count = sent(11.0, &views);
    assert!(
        (4..=21).contains(&count),
        "{count} requests to a target that bears 11/s"
    );
}

#[test]
fn gate_split_views_stay_below_limit() {
    let all = instances(16);
    let (left, right) = all.split_at(8);
    let views: Vec<_> = left
        .iter()
        .map(|own| (own.clone(), left.to_vec()))
        .chain(right.iter().map(|own| (own.clone(), right.to_vec())))
        .collect();
    // 1.5 times the rate plus 5.
    let count = sent(11.0, &views);
    assert!(count <= 26, "{count} requests while the views differ");
}

#[test]
fn gate_lone_instance_uses_rate() {
    let own = InstanceId::new("a");
    let count = sent(11.0, &[(own.clone(), vec![own])]);
    assert!((8..=12).contains(&count), "{count}");
}
