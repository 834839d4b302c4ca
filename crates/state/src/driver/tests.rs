//! Guards against moves that are never decided, against wrong verdicts when clocks, log or traffic
//! fail, and against more appends than the limit.

use std::{collections::BTreeSet, sync::Arc};

use model::Wall;
use wire::{EntryKind, EntryState, ListAnswer, ListEntry};

use super::*;
use crate::{
    Members, MembersView, State,
    samples::{MOVE_ID, NOW, code, moving, step, step_to_full, verdict},
};

/// Drivers of several instances that share one state, as if each read an append at once.
struct Fixture {
    state: State,
    members: Arc<MembersView>,
    evidence: BTreeMap<String, MoveEvidence>,
    facts: BTreeSet<Fact>,
    drivers: Vec<Driver>,
    /// Time since the start.
    ms: u64,
    /// Difference between the instances' wall clocks and the true time.
    skew_ms: i64,
    /// Whether appends take effect.
    log_up: bool,
    /// Time and id of each proposal.
    proposals: Vec<(u64, String)>,
}

fn entry(id: &str, kind: EntryKind) -> ListEntry {
    ListEntry {
        id: id.to_owned(),
        kind,
        zone: "z".into(),
        region: "r".into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        peer: None,
        service: Some("orders".into()),
        version: Some("v2".into()),
        slots: Some(3),
        state: EntryState::Live,
        incarnation: 1,
    }
}

impl Fixture {
    fn new(size: usize, state: State) -> Self {
        let ids: Vec<String> = (0..size).map(|n| format!("i-{n:02}")).collect();
        let mut members = Members::new(&entry(&ids[0], EntryKind::Entry), Time(0));
        let mut entries: Vec<_> = ids.iter().map(|i| entry(i, EntryKind::Entry)).collect();
        entries.push(entry("t", EntryKind::Upstream));
        let version = 1;
        members.apply_list(Time(0), &ListAnswer { version, entries });
        let drivers = ids.iter().map(|i| Driver::new(&i.as_str().into(), Time(0)));
        Self {
            state,
            members: members.view(Time(0)),
            evidence: BTreeMap::new(),
            facts: BTreeSet::new(),
            drivers: drivers.collect(),
            ms: 0,
            skew_ms: 0,
            log_up: true,
            proposals: Vec::new(),
        }
    }

    fn wall(&self) -> Wall {
        Wall(NOW.plus_ms(self.ms).0.saturating_add_signed(self.skew_ms))
    }

    fn tick(&mut self, n: usize) {
        let wall = self.wall();
        let output = self.drivers[n].tick(DriverInput {
            now: Time::from_ms(self.ms),
            wall,
            fold: self.state.fold(),
            members: &self.members,
            facts: &self.facts,
            evidence: &self.evidence,
        });
        self.facts.extend(output.facts);
        for record in output.records {
            self.proposals.push((self.ms, record.id.clone()));
            if self.log_up {
                crate::samples::push_record(&mut self.state, &record);
            }
        }
    }

    /// Ticks all drivers every 100 ms until `ms` after the start.
    fn run_until(&mut self, ms: u64) {
        while self.ms < ms {
            self.ms += 100;
            (0..self.drivers.len()).for_each(|n| self.tick(n));
        }
    }

    fn set_evidence(&mut self, assessment: Assessment, calls: u64) {
        let defer_step = false;
        let evidence = MoveEvidence {
            assessment,
            defer_step,
            calls,
        };
        self.evidence.insert(MOVE_ID.to_owned(), evidence);
    }

    fn share(&self) -> u16 {
        self.state.fold().find_move(MOVE_ID).unwrap().1.share
    }

    /// Returns the verdict with its reason and its time since the start.
    fn outcome(&self) -> Option<(Verdict, String, u64)> {
        let move_state = self.state.fold().find_move(MOVE_ID).unwrap().1;
        let outcome = move_state.outcome.clone()?;
        Some((outcome.verdict, outcome.reason, outcome.at.since_ms(NOW)))
    }
}

#[test]
fn tick_good_move_done_once() {
    let mut fixture = Fixture::new(16, moving());
    fixture.set_evidence(Assessment::Good, 1_000);
    fixture.run_until(60_000);
    let (verdict, _, at) = fixture.outcome().unwrap();
    assert_eq!(verdict, Verdict::Done);
    assert!(at <= 58_000);
    assert_eq!(
        fixture.proposals.len(),
        6,
        "one proposal for each step and for the verdict: {:?}",
        fixture.proposals
    );
}

#[test]
fn tick_little_traffic_steps_by_time() {
    let mut fixture = Fixture::new(3, moving());
    fixture.set_evidence(Assessment::Inconclusive, 3);
    fixture.run_until(14_000);
    assert_eq!(fixture.share(), 100, "kept for a quarter of 57 s");
    fixture.run_until(60_000);
    let (verdict, _, at) = fixture.outcome().unwrap();
    assert_eq!(verdict, Verdict::Done);
    assert!(at <= 58_000);
}

#[test]
fn tick_deferred_step_is_not_taken_by_time() {
    let mut fixture = Fixture::new(3, moving());
    fixture.set_evidence(Assessment::Inconclusive, 3);
    fixture.evidence.get_mut(MOVE_ID).unwrap().defer_step = true;
    fixture.run_until(59_000);
    assert_eq!(fixture.share(), 100);
    fixture.run_until(62_000);
    assert_eq!(fixture.outcome().unwrap().1, "deadline");
}

#[test]
fn tick_no_traffic() {
    let mut fixture = Fixture::new(3, moving());
    fixture.run_until(60_500);
    assert_eq!((fixture.share(), fixture.outcome()), (10_000, None));
    fixture.run_until(62_000);
    let (verdict, reason, _) = fixture.outcome().unwrap();
    assert_eq!((verdict, reason.as_str()), (Verdict::Undone, "no_traffic"));
}

#[test]
fn tick_bad_version() {
    let mut fixture = Fixture::new(16, moving());
    fixture.set_evidence(Assessment::Good, 1_000);
    fixture.run_until(10_000);
    let reason = "slow:a".to_owned();
    fixture.set_evidence(Assessment::Bad { reason }, 1_000);
    fixture.run_until(10_100);
    assert_eq!(
        fixture.facts.len(),
        1,
        "sent at once, without a wait by rank"
    );
    fixture.run_until(11_000);
    let (verdict, reason, _) = fixture.outcome().unwrap();
    assert_eq!((verdict, reason.as_str()), (Verdict::Undone, "slow:a"));
    let count = |kind: &str| {
        fixture
            .proposals
            .iter()
            .filter(|(_, id)| id.ends_with(kind))
            .count()
    };
    assert_eq!((count("/stop"), count("/undone")), (1, 1));
}

#[test]
fn tick_vanished_version() {
    let mut fixture = Fixture::new(3, moving());
    let all = Arc::clone(&fixture.members);
    fixture.run_until(2_000);
    let mut members = (*all).clone();
    members.targets.clear();
    let without = Arc::new(members);
    fixture.members = Arc::clone(&without);
    fixture.run_until(6_500);
    fixture.members = all;
    fixture.run_until(7_000);
    assert_eq!(fixture.outcome(), None, "listed again after 4.5 s");
    fixture.members = without;
    fixture.run_until(12_000);
    assert_eq!(fixture.outcome(), None);
    fixture.run_until(13_500);
    assert_eq!(fixture.outcome().unwrap().1, "vanished");
}

#[test]
fn tick_deadline_during_log_outage() {
    let mut state = moving();
    step_to_full(&mut state);
    let mut fixture = Fixture::new(3, state);
    fixture.set_evidence(Assessment::Good, 1_000);
    fixture.log_up = false;
    fixture.run_until(58_000);
    assert!(
        fixture
            .proposals
            .iter()
            .all(|(_, id)| id.ends_with("/done"))
    );
    let last_done = fixture.proposals.last().unwrap().0;
    fixture.run_until(75_000);
    let late: Vec<_> = fixture
        .proposals
        .iter()
        .filter(|(at, _)| *at > last_done)
        .collect();
    assert!(
        late.iter()
            .all(|(at, id)| *at > 60_500 && id.ends_with("/undone"))
    );
    assert_eq!(fixture.outcome(), None, "undecided until the log responds");
    // An append with an unknown outcome turns out to be first in the log.
    code(&mut fixture.state, "late", verdict(Verdict::Done, "good"));
    fixture.log_up = true;
    fixture.run_until(90_000);
    assert_eq!(fixture.outcome().unwrap().0, Verdict::Done);
}

#[test]
fn tick_paused_over_the_deadline() {
    let mut state = moving();
    step_to_full(&mut state);
    let mut fixture = Fixture::new(1, state);
    fixture.set_evidence(Assessment::Good, 1_000);
    fixture.run_until(1_000);
    fixture.ms = 61_000;
    fixture.tick(0);
    assert_eq!(fixture.proposals, [], "waits again after the pause");
    fixture.run_until(62_000);
    assert_eq!(fixture.outcome().unwrap().0, Verdict::Undone);
}

#[test]
fn tick_paused_before_its_turn() {
    let mut fixture = Fixture::new(16, moving());
    let last = (0..16).max_by_key(|n| {
        let me = InstanceId::new(&format!("i-{n:02}"));
        rank(
            &format!("{MOVE_ID}/step/100"),
            &me,
            &fixture.members.live_ids(),
        )
    });
    let last = last.unwrap();
    fixture.tick(last);
    fixture.ms = 10_000;
    fixture.tick(last);
    assert_eq!(
        fixture.proposals,
        [],
        "other instances may have made the proposal"
    );
}

#[test]
fn tick_good_too_late() {
    let mut state = moving();
    step_to_full(&mut state);
    let mut fixture = Fixture::new(1, state);
    fixture.run_until(58_000);
    fixture.set_evidence(Assessment::Good, 1_000);
    fixture.run_until(60_500);
    assert_eq!(fixture.proposals, []);
    fixture.run_until(61_000);
    assert_eq!(fixture.outcome().unwrap().1, "deadline");
}

#[test]
fn tick_appends_bounded() {
    let names: Vec<String> = (0..30).map(|n| format!("s-{n}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let moves: Vec<_> = names
        .iter()
        .map(|n| (*n, "v2", "00:01:00", false))
        .collect();
    let text = crate::samples::text(&names, &moves);
    let mut state = State::default();
    code(&mut state, "p-1", crate::samples::config("a", 0, &text));
    let mut fixture = Fixture::new(1, state);
    let mut members = (*fixture.members).clone();
    let target = members.targets[0].clone();
    members.targets = names
        .iter()
        .map(|n| crate::TargetEntry {
            service: (*n).into(),
            ..target.clone()
        })
        .collect();
    fixture.members = Arc::new(members);
    fixture.log_up = false;
    for ms in 0..1_000 {
        fixture.ms = ms;
        fixture.tick(0);
    }
    let mut times: Vec<u64> = fixture.proposals.iter().map(|(at, _)| *at).collect();
    times.dedup();
    assert_eq!(times.len(), 10, "{times:?}");
}

#[test]
fn tick_clocks_differ() {
    for (skew_ms, latest) in [(-500, 58_500), (500, 57_500)] {
        let mut state = moving();
        step_to_full(&mut state);
        let mut fixture = Fixture::new(1, state);
        fixture.skew_ms = skew_ms;
        fixture.log_up = false;
        fixture.set_evidence(Assessment::Good, 1_000);
        fixture.run_until(62_000);
        let times = |kind: &str| {
            let proposals = fixture
                .proposals
                .iter()
                .filter(|(_, id)| id.ends_with(kind));
            proposals.map(|(at, _)| *at).collect::<Vec<u64>>()
        };
        assert!(
            times("/done").iter().all(|at| *at <= latest),
            "{:?}",
            fixture.proposals
        );
        assert!(times("/undone").iter().all(|at| *at > 60_000));
    }
}

#[test]
fn tick_repeats_under_the_same_id() {
    let mut fixture = Fixture::new(1, moving());
    fixture.log_up = false;
    fixture.run_until(10_000);
    let ids: BTreeSet<&String> = fixture.proposals.iter().map(|(_, id)| id).collect();
    assert!(fixture.proposals.len() >= 3);
    assert_eq!(ids.len(), 1);
    code(
        &mut fixture.state,
        &fixture.proposals[0].1.clone(),
        step(0, 100),
    );
    fixture.log_up = true;
    fixture.run_until(11_000);
    assert_eq!(fixture.share(), 100);
}

#[test]
fn take_refills_and_bounds() {
    let mut bucket = TokenBucket::new(Time(0));
    let mut count_taken = |from: u64, to: u64| {
        (from..to)
            .filter(|ms| bucket.take(Time::from_ms(*ms)))
            .count()
    };
    assert_eq!(count_taken(0, 999), 10);
    assert_eq!(count_taken(1_000, 6_000), 5);
    assert_eq!(
        count_taken(100_000, 100_900),
        10,
        "no more tokens than the burst"
    );
}
