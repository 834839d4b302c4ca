use super::*;

fn parts(weights: &[u32]) -> Vec<WeightedService> {
    let part = |(at, weight): (usize, &u32)| WeightedService {
        service: ServiceName::new(&format!("s{at}")),
        weight: *weight,
    };
    weights.iter().enumerate().map(part).collect()
}

#[test]
fn pick_part_follows_weights() {
    let parts = parts(&[90, 10]);
    let first = |draw| choose_service(&parts, draw).unwrap().service.as_str() == "s0";
    assert!(first(0.0) && first(0.899));
    assert!(!first(0.901) && !first(0.999_999));
}

#[test]
fn pick_part_never_takes_weight_zero() {
    let parts = parts(&[0, 3, 0]);
    for draw in [0.0, 0.5, 1.0] {
        assert_eq!(choose_service(&parts, draw).unwrap().service.as_str(), "s1");
    }
    assert!(choose_service(&[], 0.5).is_none());
}
