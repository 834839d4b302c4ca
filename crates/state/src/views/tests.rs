//! Guards against calls in zones that are out, on versions that were stopped, and on the new version
//! of a move after its deadline.

use model::{Time, Version};
use wire::{Body, EntryKind, EntryState, ListAnswer, ListEntry, Verdict};

use super::*;
use crate::{
    Members, State,
    samples::{MOVE_ID, NOW, code, moving, step, step_to_full, stop, verdict},
};

fn item(id: &str, zone: &str, version: Option<&str>) -> ListEntry {
    ListEntry {
        id: id.to_owned(),
        kind: version.map_or(EntryKind::Entry, |_| EntryKind::Upstream),
        zone: zone.into(),
        region: "r".into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        peer: None,
        service: version.map(|_| "orders".into()),
        version: version.map(Version::new),
        slots: Some(3),
        state: EntryState::Live,
        incarnation: 1,
    }
}

struct Fixture {
    state: State,
    members: Arc<MembersView>,
    facts: BTreeSet<Fact>,
    wall: Wall,
}

impl Fixture {
    /// Creates two zones, each with one instance and one target of each version.
    fn new(state: State) -> Self {
        let mut members = Members::new(&item("i-a", "a", None), Time(0));
        let mut entries = vec![item("i-a", "a", None), item("i-b", "b", None)];
        for zone in ["a", "b"] {
            for version in ["v1", "v2"] {
                entries.push(item(&format!("{version}-{zone}"), zone, Some(version)));
            }
        }
        let version = 1;
        members.apply_list(Time(0), &ListAnswer { version, entries });
        Self {
            state,
            members: members.view(Time(0)),
            facts: BTreeSet::new(),
            wall: NOW,
        }
    }

    fn views(&self) -> Views {
        views(ViewInput {
            fold: self.state.fold(),
            members: &self.members,
            me: &"i-a".into(),
            zone: &"a".into(),
            region: &"r".into(),
            facts: &self.facts,
            wall: self.wall,
        })
    }

    /// Returns the targets of `orders` with state and owner, and the share of its move.
    fn orders(&self) -> (Vec<String>, Option<u16>) {
        let views = self.views();
        let view = &views.services[&"orders".into()];
        let row = |t: &Arc<TargetView>| format!("{} {:?} {}", t.id, t.state, t.owner);
        let rows = view.targets.iter().map(row).collect();
        (rows, view.active_move.as_ref().map(|s| s.share))
    }
}

#[test]
fn views_owners_by_zone() {
    let fixture = Fixture::new(moving());
    let rows = [
        "v1-a Usable i-a",
        "v1-b Usable i-b",
        "v2-a Usable i-a",
        "v2-b Usable i-b",
    ];
    assert_eq!(
        fixture.orders(),
        (rows.map(str::to_owned).to_vec(), Some(0))
    );
    assert_eq!(fixture.views().owners[&"orders".into()].len(), 2);
}

#[test]
fn views_zone_out_by_fact_then_by_log() {
    let mut fixture = Fixture::new(moving());
    let zone = |base, out| Body::Zone {
        zone: "b".into(),
        base,
        out,
    };
    let out = [
        "v1-a Usable i-a",
        "v1-b ZoneOut i-a",
        "v2-a Usable i-a",
        "v2-b ZoneOut i-a",
    ];
    let out = out.map(str::to_owned).to_vec();
    fixture.facts.insert(Fact::ZoneOut {
        zone: "b".into(),
        base: 0,
    });
    assert_eq!(fixture.orders().0, out);
    code(&mut fixture.state, "z-1", zone(0, true));
    fixture.facts.clear();
    assert_eq!(fixture.orders().0, out);
    assert!(
        fixture.views().owners[&"orders".into()]
            .iter()
            .all(|h| h.id.as_str() == "i-a")
    );
    fixture.facts.insert(Fact::ZoneOut {
        zone: "b".into(),
        base: 0,
    });
    code(&mut fixture.state, "z-2", zone(2, false));
    assert!(
        !fixture.orders().0.contains(&out[1]),
        "an old fact takes out a zone that is back"
    );
}

#[test]
fn views_all_zones_out_keep_owners() {
    let mut fixture = Fixture::new(moving());
    for zone in ["a", "b"] {
        fixture.facts.insert(Fact::ZoneOut {
            zone: zone.into(),
            base: 0,
        });
    }
    assert_eq!(fixture.views().owners[&"orders".into()].len(), 2);
    assert!(fixture.orders().0.iter().all(|row| row.contains("ZoneOut")));
}

#[test]
fn views_stop_by_fact_and_by_log() {
    let mut fixture = Fixture::new(moving());
    code(&mut fixture.state, "a", step(0, 100));
    assert_eq!(fixture.orders().1, Some(100));
    let fact = |plan: &str| Fact::Stop {
        service: "orders".into(),
        version: "v2".into(),
        plan: plan.to_owned(),
        reason: "slow".to_owned(),
    };
    fixture.facts.insert(fact("orders/v2/1"));
    assert_eq!(fixture.orders().1, Some(100), "a fact about another move");
    fixture.facts.insert(fact(MOVE_ID));
    let (rows, share) = fixture.orders();
    assert_eq!((rows[2].as_str(), share), ("v2-a Barred i-a", Some(0)));
    fixture.facts.clear();
    code(&mut fixture.state, "b", stop());
    assert_eq!(fixture.orders(), (rows, Some(0)));
}

#[test]
fn views_deadline_without_verdict() {
    let mut fixture = Fixture::new(moving());
    step_to_full(&mut fixture.state);
    fixture.wall = NOW.plus_ms(60_500);
    assert_eq!(
        fixture.orders().1,
        Some(10_000),
        "within the assumed clock difference"
    );
    fixture.wall = NOW.plus_ms(60_501);
    assert_eq!(fixture.orders().1, Some(0));
    // The log becomes readable late, and `Done` is the first verdict in it.
    code(&mut fixture.state, "a", verdict(Verdict::Done, "good"));
    code(
        &mut fixture.state,
        "b",
        verdict(Verdict::Undone, "deadline"),
    );
    let (rows, share) = fixture.orders();
    assert_eq!(share, None);
    assert_eq!(
        (rows[0].as_str(), rows[2].as_str()),
        ("v1-a Barred i-a", "v2-a Usable i-a")
    );
}

#[test]
fn views_service_no_longer_named() {
    let mut fixture = Fixture::new(moving());
    let text = crate::samples::text(&["other"], &[]);
    code(
        &mut fixture.state,
        "p-2",
        crate::samples::config("sacaria", 1, &text),
    );
    let views = fixture.views();
    assert_eq!(
        views.services.keys().collect::<Vec<_>>(),
        [&ServiceName::new("other")]
    );
}
