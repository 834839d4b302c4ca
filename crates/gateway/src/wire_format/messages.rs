//! Messages as the build of commit 8d2dfa1 sent them.

use balance::{
    BudgetUsage, CrashAge, CrashReport, EntryChange, LiveView, Member, Position, Presence,
    ReportedOutcomes, TargetEntry, Verdict,
};
use model::{InstanceId, ServiceName, TargetId, Version, Zone};

use crate::{
    digest::Digest,
    entries_update::EntriesUpdate,
    limit_report::LimitReport,
    notices::LeavingReport,
    report::{Report, RolloutReport},
    snapshot::Snapshot,
};

const POSITION: Position = Position { era: 2, offset: 41 };

fn member() -> Member {
    Member {
        name: InstanceId::new("edge-a-1"),
        incarnation: 1_764_800_000_123,
        revision: 3,
        zone: Zone::new("a"),
        caller_addr: "10.1.0.35:8144".parse().unwrap(),
        peer_addr: "10.1.0.35:7660".parse().unwrap(),
        presence: Presence::Ready,
        has_store: true,
        has_targets: false,
        link_mbps: 200,
        last_heard: None,
    }
}

fn outcomes() -> ReportedOutcomes {
    ReportedOutcomes {
        reporter: 9,
        number: 300,
        outcomes: vec![(TargetId::new("i-1"), 3, 1)],
    }
}

fn leaving() -> Vec<LeavingReport> {
    vec![LeavingReport {
        target: TargetId::new("i-2"),
        born: 1_764_800_000_000,
    }]
}

fn limits() -> Vec<LimitReport> {
    vec![LimitReport {
        target: TargetId::new("i-3"),
        born: 1_764_800_000_001,
        rate: Some(2.5),
        age_ms: 30,
    }]
}

fn usage() -> Vec<(ServiceName, BudgetUsage)> {
    let usage = BudgetUsage {
        requests: 40,
        extra_attempts: 2,
        ..BudgetUsage::default()
    };
    vec![(ServiceName::new("orders"), usage)]
}

fn rollouts() -> Vec<RolloutReport> {
    vec![RolloutReport {
        service: ServiceName::new("orders"),
        order: POSITION,
        stage: 2,
        share: 25,
        stopped: true,
        verdict: Verdict::Running,
        evidence: None,
    }]
}

fn crashes() -> Vec<CrashReport> {
    vec![CrashReport {
        key: u64::MAX,
        cleared_us: Some(900),
        crashes: vec![CrashAge {
            process: 17,
            age_us: 12,
            ran_us: 30_000,
        }],
    }]
}

fn entry() -> TargetEntry {
    TargetEntry {
        id: TargetId::new("i-4"),
        service: ServiceName::new("orders"),
        addr: "10.1.64.1:8000".parse().unwrap(),
        zone: Zone::new("a"),
        version: Version::new("v1"),
        slots: 3,
        draining: true,
        cold_ms: 700,
        born: 1_764_800_000_002,
    }
}

pub fn report() -> Report {
    Report {
        member: member(),
        operator_next: POSITION,
        operator_age_ms: 310,
        config_version: 5,
        entries_era: 2,
        fresh_ms: 900,
        outcomes: outcomes(),
        leaving: leaving(),
        limits: limits(),
        budget_usage: usage(),
        claims: vec![(ServiceName::new("orders"), vec![0, 120, 90])],
        rollouts: rollouts(),
        crashes: crashes(),
    }
}

pub fn digest() -> Digest {
    Digest {
        view: Some(LiveView::new(7, (0..11).map(|n| n % 3 != 0))),
        operator_next: POSITION,
        operator_age_ms: 310,
        config_version: 5,
        entries_era: 2,
        fresh_ms: 900,
        budget_usage: Some((usage(), 16)),
        claims: vec![(ServiceName::new("orders"), vec![7])],
        rollouts: rollouts(),
        members: vec![member()],
        outcomes: vec![outcomes()],
        leaving: leaving(),
        limits: limits(),
        crashes: crashes(),
        ..Digest::new(member())
    }
}

pub fn update() -> EntriesUpdate {
    EntriesUpdate {
        age_ms: 20,
        forward_to: vec!["10.1.0.36:7660".parse().unwrap()],
        era: 2,
        from: 40,
        next: 43,
        end: 44,
        changes: vec![(40, EntryChange::Put(entry()))],
    }
}

pub fn snapshot() -> Snapshot {
    Snapshot {
        operator_next: POSITION,
        operator_age_ms: 310,
        operator_records: vec![(POSITION, String::from("config"), b"{}".to_vec())],
        rollouts: rollouts(),
        entries_next: Position { era: 2, offset: 44 },
        entries_age_ms: 20,
        leaving: leaving(),
        entries: vec![entry()],
        crashes: crashes(),
    }
}
