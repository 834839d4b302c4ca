use super::*;

fn split(weights: &[u32]) -> Vec<WeightedService> {
    let service = |(at, weight): (usize, &u32)| WeightedService {
        service: ServiceName::new(&format!("s{at}")),
        weight: *weight,
    };
    weights.iter().enumerate().map(service).collect()
}

#[test]
fn choose_service_follows_weights() {
    let split = split(&[90, 10]);
    let first = |random| choose_service(&split, random).unwrap().service.as_str() == "s0";
    assert!(first(0.0) && first(0.899));
    assert!(!first(0.901) && !first(0.999_999));
}

#[test]
fn choose_service_never_chooses_weight_zero() {
    let split = split(&[0, 3, 0]);
    for random in [0.0, 0.5, 1.0] {
        assert_eq!(
            choose_service(&split, random).unwrap().service.as_str(),
            "s1"
        );
    }
    assert!(choose_service(&[], 0.5).is_none());
}
