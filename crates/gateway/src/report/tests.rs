use balance::{CrashAge, Presence};
use model::{InstanceId, TargetId, Zone};

use super::*;

fn report() -> Report {
    Report {
        member: Member {
            name: InstanceId::new("a"),
            incarnation: 7,
            revision: 2,
            zone: Zone::new("z"),
            caller_addr: "10.0.0.1:80".parse().unwrap(),
            peer_addr: "10.0.0.1:7000".parse().unwrap(),
            presence: Presence::Ready,
            has_store: true,
            has_targets: true,
            link_mbps: 200,
            last_heard: None,
        },
        operator_next: Position { era: 1, offset: 12 },
        operator_age_ms: 310,
        config_version: 5,
        entries_era: 1,
        fresh_ms: 900,
        outcomes: ReportedOutcomes {
            reporter: 9,
            number: 3,
            outcomes: vec![(TargetId::new("t"), 3, 1)],
        },
        leaving: vec![LeavingReport {
            target: TargetId::new("t"),
            born: 4,
        }],
        limits: vec![LimitReport {
            target: TargetId::new("t"),
            born: 1_764_800_000_000,
            rate: Some(2.4),
            age_ms: 30,
        }],
        budget_usage: vec![(
            ServiceName::new("s"),
            BudgetUsage {
                requests: 40,
                extra_attempts: 2,
                ..BudgetUsage::default()
            },
        )],
        claims: vec![(ServiceName::new("s"), vec![0, 120, 90])],
        rollouts: vec![],
        crashes: vec![CrashReport {
            key: u64::MAX,
            cleared_us: Some(900),
            crashes: vec![CrashAge {
                process: u64::MAX,
                age_us: 12,
                ran_us: 30_000,
            }],
        }],
    }
}

#[test]
fn decode_reverses_encode() {
    let mut sent = report();
    assert_eq!(Report::decode(&sent.encode()), Some(sent));
}

#[test]
fn decode_rejects_foreign_datagrams() {
    let bytes = report().encode();
    assert_eq!(Report::decode(&bytes[..bytes.len() - 1]), None);
    assert_eq!(Report::decode(&[&bytes[..], &[0]].concat()), None);
    assert_eq!(Report::decode(&[9, 9, 9]), None);
    assert_eq!(Report::decode(&[]), None);
}

#[test]
fn encode_fits_datagram() {
    let mut big = report();
    big.outcomes.outcomes = (0..1_000)
        .map(|at| (TargetId::new(&format!("target-{at}")), 1, 1))
        .collect();
    big.claims = (0..83)
        .map(|at| (ServiceName::new(&format!("service-{at}")), vec![900; 24]))
        .collect();
    let bytes = big.encode();
    assert!(bytes.len() <= MAX_BYTES);
    assert!(Report::decode(&bytes).is_some());
}
