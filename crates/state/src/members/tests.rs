//! Guards against calls to processes that left or do not respond, and against dropping live ones
//! because the list lags, flaps or is empty.

use super::*;

const T0: Time = Time::from_ms(1_000_000);

fn item(id: &str, kind: EntryKind, incarnation: u64) -> ListEntry {
    let upstream = kind == EntryKind::Upstream;
    ListEntry {
        id: id.to_owned(),
        kind,
        zone: "z".into(),
        region: "r".into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        peer: None,
        service: upstream.then(|| "orders".into()),
        version: upstream.then(|| "v1".into()),
        slots: upstream.then_some(3),
        state: EntryState::Live,
        incarnation,
    }
}

fn instance(id: &str) -> ListEntry {
    item(id, EntryKind::Entry, 1)
}

fn target(id: &str) -> ListEntry {
    item(id, EntryKind::Upstream, 1)
}

fn leaving(entry: ListEntry) -> ListEntry {
    let state = EntryState::Leaving;
    ListEntry { state, ..entry }
}

/// Membership of the instance `me`, polled with rising list versions.
struct Fixture {
    members: Members,
    version: u64,
}

impl Fixture {
    fn new(entries: &[ListEntry]) -> Self {
        let members = Members::new(&instance("me"), T0);
        let mut fixture = Self {
            members,
            version: 0,
        };
        fixture.poll(0, entries);
        fixture
    }

    fn poll(&mut self, ms: u64, entries: &[ListEntry]) -> bool {
        self.version += 1;
        let answer = ListAnswer {
            version: self.version,
            entries: entries.to_vec(),
        };
        self.members.apply_list(T0.plus_ms(ms), &answer)
    }

    fn frame_received(&mut self, ms: u64, id: &str, incarnation: u64) {
        let observation = Observation::FrameReceived {
            instance: id.into(),
            incarnation,
            leaving: false,
        };
        self.members.observe(T0.plus_ms(ms), &observation);
    }

    fn target_responded(&mut self, ms: u64, id: &str) {
        let target = id.into();
        self.members
            .observe(T0.plus_ms(ms), &Observation::TargetResponded { target });
    }

    fn target_failed(&mut self, ms: u64, id: &str) {
        let target = id.into();
        self.members
            .observe(T0.plus_ms(ms), &Observation::TargetFailed { target });
    }

    fn draining(&mut self, ms: u64, id: &str, incarnation: u64) {
        let fact = Fact::Draining {
            target: id.into(),
            incarnation,
        };
        self.members
            .observe(T0.plus_ms(ms), &Observation::Fact(fact));
    }

    /// Returns the presence of an instance or target, or `None` if it is gone.
    fn presence(&mut self, ms: u64, id: &str) -> Option<Presence> {
        let view = self.members.view(T0.plus_ms(ms));
        let target = view.targets.iter().find(|t| t.id.as_str() == id);
        let instance = view.instances.iter().find(|i| i.id.as_str() == id);
        let target = target.map(|t| t.presence);
        target.or(instance.map(|i| i.presence))
    }
}

use Presence::{Leaving, Silent, Usable};

#[test]
fn leaving_is_final_for_the_process() {
    let mut fixture = Fixture::new(&[target("t")]);
    fixture.poll(1_000, &[leaving(target("t"))]);
    assert_eq!(fixture.presence(1_000, "t"), Some(Leaving));
    fixture.poll(2_000, &[target("t")]);
    fixture.target_responded(2_000, "t");
    assert_eq!(fixture.presence(2_000, "t"), Some(Leaving), "outdated list");
    fixture.poll(3_000, &[]);
    fixture.poll(60_000, &[target("t")]);
    assert_eq!(
        fixture.presence(60_000, "t"),
        Some(Leaving),
        "gone from the list for a while"
    );
    fixture.poll(61_000, &[item("t", EntryKind::Upstream, 2)]);
    assert_eq!(fixture.presence(61_000, "t"), Some(Usable));
    fixture.poll(62_000, &[leaving(target("t"))]);
    assert_eq!(
        fixture.presence(62_000, "t"),
        Some(Usable),
        "an older process"
    );
}

#[test]
fn draining_fact_ahead_of_the_list() {
    let mut fixture = Fixture::new(&[target("t")]);
    fixture.draining(100, "t", 2);
    fixture.poll(1_000, &[target("t")]);
    assert_eq!(fixture.presence(1_000, "t"), Some(Leaving));
    fixture.poll(2_000, &[item("t", EntryKind::Upstream, 2)]);
    assert_eq!(fixture.presence(2_000, "t"), Some(Leaving));
    fixture.poll(3_000, &[item("t", EntryKind::Upstream, 3)]);
    fixture.draining(3_000, "t", 2);
    assert_eq!(
        fixture.presence(3_000, "t"),
        Some(Usable),
        "a fact about an older process"
    );
}

#[test]
fn missing_but_responding_stays_30_s() {
    let all = [target("t"), target("u"), target("v")];
    let mut fixture = Fixture::new(&all);
    fixture.target_responded(500, "t");
    fixture.poll(1_000, &all[1..]);
    assert_eq!(fixture.presence(30_000, "t"), Some(Usable));
    fixture.target_responded(30_000, "t");
    assert_eq!(fixture.presence(60_000, "t"), Some(Usable));
    assert_eq!(fixture.presence(60_001, "t"), None);
}

#[test]
fn missing_and_idle_is_dropped_after_grace_time() {
    let all = [target("t"), target("u"), target("v")];
    let mut fixture = Fixture::new(&all);
    for second in 1..10 {
        let shown = if second % 2 == 0 { &all[..] } else { &all[1..] };
        fixture.poll(second * 1_000, shown);
        assert_eq!(fixture.presence(second * 1_000, "t"), Some(Usable));
    }
    assert_eq!(fixture.presence(12_000, "t"), Some(Usable));
    assert_eq!(fixture.presence(12_001, "t"), None);
}

#[test]
fn short_list_is_not_complete_while_a_missing_entry_responds() {
    let all: Vec<ListEntry> = (0..8).map(|n| target(&format!("t-{n}"))).collect();
    let mut fixture = Fixture::new(&all);
    for second in 1..60 {
        fixture.target_responded(second * 1_000, "t-7");
        assert!(!fixture.poll(second * 1_000, &all[..3]));
    }
    assert_eq!(fixture.presence(60_000, "t-5"), Some(Usable));
    // No missing entry responds any more, so the short answer is accepted as complete.
    assert!(fixture.poll(63_000, &all[..3]));
    assert_eq!(fixture.presence(67_000, "t-5"), None);
    assert_eq!(
        fixture.presence(67_000, "t-7"),
        Some(Usable),
        "responded 8 s ago"
    );
}

#[test]
fn outdated_answer_is_ignored() {
    let mut fixture = Fixture::new(&[target("t"), target("u")]);
    fixture.version = 20;
    fixture.poll(1_000, &[target("t"), target("u")]);
    fixture.version = 5;
    assert!(!fixture.poll(2_000, &[target("u")]));
    assert_eq!(fixture.presence(9_000, "t"), Some(Usable));
    fixture.version = 0;
    assert!(fixture.poll(11_000, &[target("u")]), "the list restarted");
}

#[test]
fn silent_instance_until_frame_received() {
    let mut fixture = Fixture::new(&[instance("me"), instance("i")]);
    assert_eq!(
        fixture.presence(2_999, "i"),
        Some(Usable),
        "may still be starting"
    );
    assert_eq!(fixture.presence(3_000, "i"), Some(Silent));
    fixture.frame_received(4_000, "i", 1);
    assert_eq!(fixture.presence(6_999, "i"), Some(Usable));
    assert_eq!(fixture.presence(7_000, "i"), Some(Silent));
    fixture.frame_received(8_000, "i", 0);
    assert_eq!(
        fixture.presence(8_000, "i"),
        Some(Silent),
        "an older process"
    );
    fixture.frame_received(9_000, "i", 2);
    assert_eq!(fixture.presence(9_000, "i"), Some(Usable));
    assert_eq!(fixture.presence(9_000, "me"), Some(Usable));
}

#[test]
fn silent_target_until_it_answers() {
    let mut fixture = Fixture::new(&[target("t")]);
    fixture.target_failed(0, "t");
    assert_eq!(fixture.presence(5_000, "t"), Some(Usable), "one failure");
    fixture.target_failed(5_000, "t");
    assert_eq!(fixture.presence(5_000, "t"), Some(Silent));
    fixture.target_responded(6_000, "t");
    fixture.target_failed(6_500, "t");
    fixture.target_failed(9_000, "t");
    assert_eq!(fixture.presence(9_499, "t"), Some(Usable));
    assert_eq!(fixture.presence(9_500, "t"), Some(Silent));
    let view = fixture.members.view(T0.plus_ms(9_500));
    assert_eq!(
        view.silent_targets().collect::<Vec<_>>(),
        [&TargetId::new("t")]
    );
}

#[test]
fn instance_reports_that_it_is_leaving() {
    let mut fixture = Fixture::new(&[instance("i")]);
    let leaving_frame = |incarnation| Observation::FrameReceived {
        instance: "i".into(),
        incarnation,
        leaving: true,
    };
    fixture.frame_received(1_000, "i", 2);
    fixture
        .members
        .observe(T0.plus_ms(1_000), &leaving_frame(1));
    assert_eq!(
        fixture.presence(1_000, "i"),
        Some(Usable),
        "an older process"
    );
    fixture
        .members
        .observe(T0.plus_ms(1_100), &leaving_frame(2));
    fixture.frame_received(1_200, "i", 2);
    assert_eq!(fixture.presence(1_200, "i"), Some(Leaving));
}

#[test]
fn self_missing_from_the_list() {
    let mut fixture = Fixture::new(&[instance("i"), target("t")]);
    fixture.poll(60_000, &[instance("i"), target("t")]);
    assert_eq!(fixture.presence(700_000, "me"), Some(Usable));
}

#[test]
fn view_version_rises_with_changes_only() {
    let mut fixture = Fixture::new(&[target("t")]);
    let first = fixture.members.view(T0).version;
    fixture.target_responded(100, "t");
    assert_eq!(fixture.members.view(T0.plus_ms(100)).version, first);
    fixture.poll(1_000, &[leaving(target("t"))]);
    assert_eq!(fixture.members.view(T0.plus_ms(1_000)).version, first + 1);
}

#[test]
fn entries_bounded() {
    let many: Vec<ListEntry> = (0..5_000).map(|n| target(&format!("t-{n}"))).collect();
    let mut fixture = Fixture::new(&many);
    assert_eq!(fixture.members.view(T0).targets.len(), MAX_ENTRIES - 1);
}

/// Guards against list versions that cannot be compared between instances, and against a list version
/// that falls when the list restarts: dispatchers would ignore all later views.
#[test]
fn view_listed_follows_list_and_never_falls() {
    let mut fixture = Fixture::new(&[instance("me"), target("t-1")]);
    fixture.version = 40;
    fixture.poll(1_000, &[instance("me")]);
    assert_eq!(fixture.members.view(T0.plus_ms(1_000)).list_version, 41);
    fixture.version = 0;
    let late = 1_000 + OUTDATED_LIST_MS;
    assert!(fixture.poll(late, &[instance("me")]));
    assert_eq!(fixture.members.view(T0.plus_ms(late)).list_version, 41);
}
