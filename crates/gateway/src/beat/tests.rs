use super::*;

fn beat() -> Beat {
    Beat {
        name: InstanceId::new("a"),
        boot: 7,
        zone: Zone::new("z"),
        front: "10.0.0.1:80".parse().unwrap(),
        presence: 1,
        has_store: true,
        orders_next: 12,
        steady_ms: 900,
        known: vec!["10.0.0.2:7000".parse().unwrap()],
        outcomes: vec![(TargetId::new("t"), 3, 1)],
        used: vec![(
            ServiceName::new("s"),
            BudgetUsage {
                requests: 40,
                extra_attempts: 2,
            },
        )],
        rollouts: vec![],
    }
}

#[test]
fn decode_what_encode_made() {
    let mut sent = beat();
    assert_eq!(Beat::decode(&sent.encode()), Some(sent));
}

#[test]
fn decode_foreign_datagrams() {
    let bytes = beat().encode();
    assert_eq!(Beat::decode(&bytes[..bytes.len() - 1]), None);
    assert_eq!(Beat::decode(&[&bytes[..], &[0]].concat()), None);
    assert_eq!(Beat::decode(&[9, 9, 9]), None);
    assert_eq!(Beat::decode(&[]), None);
}

#[test]
fn encode_fits_datagram() {
    let mut big = beat();
    big.outcomes = (0..1_000)
        .map(|at| (TargetId::new(&format!("target-{at}")), 1, 1))
        .collect();
    let bytes = big.encode();
    assert!(bytes.len() <= MAX_BYTES);
    assert!(Beat::decode(&bytes).is_some());
}
