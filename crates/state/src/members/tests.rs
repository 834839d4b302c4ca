//! Guards against work for processes that left or fell silent, and against losing live ones to a
//! list that lags, flaps or is empty.

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

/// Membership of `me` under test, with a list whose versions rise.
struct Bench {
    members: Members,
    version: u64,
}

impl Bench {
    fn new(entries: &[ListEntry]) -> Self {
        let members = Members::new(&instance("me"), T0);
        let mut bench = Self {
            members,
            version: 0,
        };
        bench.poll(0, entries);
        bench
    }

    fn poll(&mut self, ms: u64, entries: &[ListEntry]) -> bool {
        self.version += 1;
        let answer = ListAnswer {
            version: self.version,
            entries: entries.to_vec(),
        };
        self.members.poll(T0.plus_ms(ms), &answer)
    }

    fn heard(&mut self, ms: u64, id: &str, incarnation: u64) {
        let heard = Sighting::Heard {
            instance: id.into(),
            incarnation,
            leaving: false,
        };
        self.members.see(T0.plus_ms(ms), &heard);
    }

    fn answered(&mut self, ms: u64, id: &str) {
        let target = id.into();
        self.members
            .see(T0.plus_ms(ms), &Sighting::Answered { target });
    }

    fn failed(&mut self, ms: u64, id: &str) {
        let target = id.into();
        self.members
            .see(T0.plus_ms(ms), &Sighting::Failed { target });
    }

    fn drained(&mut self, ms: u64, id: &str, incarnation: u64) {
        let fact = Fact::Draining {
            target: id.into(),
            incarnation,
        };
        self.members.see(T0.plus_ms(ms), &Sighting::Fact(fact));
    }

    /// Presence of an instance or target, `None` if it is gone.
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
    let mut bench = Bench::new(&[target("t")]);
    bench.poll(1_000, &[leaving(target("t"))]);
    assert_eq!(bench.presence(1_000, "t"), Some(Leaving));
    bench.poll(2_000, &[target("t")]);
    bench.answered(2_000, "t");
    assert_eq!(bench.presence(2_000, "t"), Some(Leaving), "the list lags");
    bench.poll(3_000, &[]);
    bench.poll(60_000, &[target("t")]);
    assert_eq!(bench.presence(60_000, "t"), Some(Leaving), "forgotten");
    bench.poll(61_000, &[item("t", EntryKind::Upstream, 2)]);
    assert_eq!(bench.presence(61_000, "t"), Some(Usable));
    bench.poll(62_000, &[leaving(target("t"))]);
    assert_eq!(
        bench.presence(62_000, "t"),
        Some(Usable),
        "an older process"
    );
}

#[test]
fn draining_fact_ahead_of_the_list() {
    let mut bench = Bench::new(&[target("t")]);
    bench.drained(100, "t", 2);
    bench.poll(1_000, &[target("t")]);
    assert_eq!(bench.presence(1_000, "t"), Some(Leaving));
    bench.poll(2_000, &[item("t", EntryKind::Upstream, 2)]);
    assert_eq!(bench.presence(2_000, "t"), Some(Leaving));
    bench.poll(3_000, &[item("t", EntryKind::Upstream, 3)]);
    bench.drained(3_000, "t", 2);
    assert_eq!(bench.presence(3_000, "t"), Some(Usable), "a late fact");
}

#[test]
fn missing_but_responding_stays_30_s() {
    let all = [target("t"), target("u"), target("v")];
    let mut bench = Bench::new(&all);
    bench.answered(500, "t");
    bench.poll(1_000, &all[1..]);
    assert_eq!(bench.presence(30_000, "t"), Some(Usable));
    bench.answered(30_000, "t");
    assert_eq!(bench.presence(60_000, "t"), Some(Usable));
    assert_eq!(bench.presence(60_001, "t"), None);
}

#[test]
fn missing_and_idle_goes_after_flapping_time() {
    let all = [target("t"), target("u"), target("v")];
    let mut bench = Bench::new(&all);
    for second in 1..10 {
        let shown = if second % 2 == 0 { &all[..] } else { &all[1..] };
        bench.poll(second * 1_000, shown);
        assert_eq!(bench.presence(second * 1_000, "t"), Some(Usable));
    }
    assert_eq!(bench.presence(12_000, "t"), Some(Usable));
    assert_eq!(bench.presence(12_001, "t"), None);
}

#[test]
fn emptied_list_is_not_believed_while_one_responds() {
    let all: Vec<ListEntry> = (0..8).map(|n| target(&format!("t-{n}"))).collect();
    let mut bench = Bench::new(&all);
    for second in 1..60 {
        bench.answered(second * 1_000, "t-7");
        assert!(!bench.poll(second * 1_000, &all[..3]));
    }
    assert_eq!(bench.presence(60_000, "t-5"), Some(Usable));
    // Nothing that is missing responds: the entries are really gone.
    assert!(bench.poll(63_000, &all[..3]));
    assert_eq!(bench.presence(67_000, "t-5"), None);
    assert_eq!(
        bench.presence(67_000, "t-7"),
        Some(Usable),
        "responded 8 s ago"
    );
}

#[test]
fn outdated_answer_is_ignored() {
    let mut bench = Bench::new(&[target("t"), target("u")]);
    bench.version = 20;
    bench.poll(1_000, &[target("t"), target("u")]);
    bench.version = 5;
    assert!(!bench.poll(2_000, &[target("u")]));
    assert_eq!(bench.presence(9_000, "t"), Some(Usable));
    bench.version = 0;
    assert!(bench.poll(11_000, &[target("u")]), "the list started anew");
}

#[test]
fn silent_instance_until_heard() {
    let mut bench = Bench::new(&[instance("me"), instance("i")]);
    assert_eq!(bench.presence(2_999, "i"), Some(Usable), "may still start");
    assert_eq!(bench.presence(3_000, "i"), Some(Silent));
    bench.heard(4_000, "i", 1);
    assert_eq!(bench.presence(6_999, "i"), Some(Usable));
    assert_eq!(bench.presence(7_000, "i"), Some(Silent));
    bench.heard(8_000, "i", 0);
    assert_eq!(bench.presence(8_000, "i"), Some(Silent), "an older process");
    bench.heard(9_000, "i", 2);
    assert_eq!(bench.presence(9_000, "i"), Some(Usable));
    assert_eq!(bench.presence(9_000, "me"), Some(Usable));
}

#[test]
fn silent_target_until_it_answers() {
    let mut bench = Bench::new(&[target("t")]);
    bench.failed(0, "t");
    assert_eq!(bench.presence(5_000, "t"), Some(Usable), "one failure");
    bench.failed(5_000, "t");
    assert_eq!(bench.presence(5_000, "t"), Some(Silent));
    bench.answered(6_000, "t");
    bench.failed(6_500, "t");
    bench.failed(9_000, "t");
    assert_eq!(bench.presence(9_499, "t"), Some(Usable));
    assert_eq!(bench.presence(9_500, "t"), Some(Silent));
    let view = bench.members.view(T0.plus_ms(9_500));
    assert_eq!(
        view.silent_targets().collect::<Vec<_>>(),
        [&TargetId::new("t")]
    );
}

#[test]
fn instance_says_that_it_leaves() {
    let mut bench = Bench::new(&[instance("i")]);
    let leaves = |incarnation| Sighting::Heard {
        instance: "i".into(),
        incarnation,
        leaving: true,
    };
    bench.heard(1_000, "i", 2);
    bench.members.see(T0.plus_ms(1_000), &leaves(1));
    assert_eq!(bench.presence(1_000, "i"), Some(Usable), "an older process");
    bench.members.see(T0.plus_ms(1_100), &leaves(2));
    bench.heard(1_200, "i", 2);
    assert_eq!(bench.presence(1_200, "i"), Some(Leaving));
}

#[test]
fn self_missing_from_the_list() {
    let mut bench = Bench::new(&[instance("i"), target("t")]);
    bench.poll(60_000, &[instance("i"), target("t")]);
    assert_eq!(bench.presence(700_000, "me"), Some(Usable));
}

#[test]
fn view_version_rises_with_changes_only() {
    let mut bench = Bench::new(&[target("t")]);
    let first = bench.members.view(T0).version;
    bench.answered(100, "t");
    assert_eq!(bench.members.view(T0.plus_ms(100)).version, first);
    bench.poll(1_000, &[leaving(target("t"))]);
    assert_eq!(bench.members.view(T0.plus_ms(1_000)).version, first + 1);
}

#[test]
fn entries_bounded() {
    let many: Vec<ListEntry> = (0..5_000).map(|n| target(&format!("t-{n}"))).collect();
    let mut bench = Bench::new(&many);
    assert_eq!(bench.members.view(T0).targets.len(), MAX_ENTRIES - 1);
}

/// Guards against views that cannot be compared between instances, or that fall when the list starts
/// anew and would then be ignored by dispatchers for ever.
#[test]
fn view_listed_follows_list_and_never_falls() {
    let mut bench = Bench::new(&[instance("me"), target("t-1")]);
    bench.version = 40;
    bench.poll(1_000, &[instance("me")]);
    assert_eq!(bench.members.view(T0.plus_ms(1_000)).listed, 41);
    bench.version = 0;
    let late = 1_000 + OUTDATED_MS;
    assert!(bench.poll(late, &[instance("me")]));
    assert_eq!(bench.members.view(T0.plus_ms(late)).listed, 41);
}
