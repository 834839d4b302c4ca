//! Availability zones that operators take out and bring back. Guards against new work in a zone that
//! is out, and against a zone that stays out.

mod fleet;

use std::time::{Duration, Instant};

use testkit::LogFaults;

use fleet::{Fleet, Load, Shot, down, failures, pause, run, until};

/// Time after which a zone that is out receives no new work.
const STOP: Duration = Duration::from_secs(3);

fn load(fleet: &Fleet) -> Load {
    Load::start(fleet.entries(), &["/"], 5)
}

/// Checks that the zone gets no call from [`STOP`] after `asked` on. Returns the time in which it
/// still got some.
async fn assert_empty(fleet: &Fleet, zone: &str, asked: Instant) -> Duration {
    let rest = (asked + STOP).saturating_duration_since(Instant::now());
    pause(u64::try_from(rest.as_millis()).unwrap()).await;
    let before = fleet.ran(|e| e.zone.as_str() == zone);
    let others = fleet.ran(|e| e.zone.as_str() != zone);
    pause(300).await;
    assert_eq!(
        fleet.ran(|e| e.zone.as_str() == zone),
        before,
        "new work in {zone}"
    );
    assert!(
        fleet.ran(|e| e.zone.as_str() != zone) > others,
        "no work elsewhere"
    );
    let last = fleet.last_start(|e| e.zone.as_str() == zone);
    last.map_or(Duration::ZERO, |l| l.saturating_duration_since(asked))
}

async fn assert_used(fleet: &Fleet, zone: &str) {
    let before = fleet.ran(|e| e.zone.as_str() == zone);
    until(STOP, "work in the zone", async || {
        fleet.ran(|e| e.zone.as_str() == zone) > before
    })
    .await;
}

fn assert_served(shots: &[Shot]) {
    let failed = failures(shots);
    assert!(
        shots.len() > 50 && failed.is_empty(),
        "{failed:?} of {}",
        shots.len()
    );
}

/// Calls would go on to a zone that is out, or stay away from one that is back.
#[test]
fn zone_out_and_back() {
    run(async {
        let fleet = Fleet::start(3, 6, 5).await;
        let load = load(&fleet);
        assert_used(&fleet, "b").await;
        let asked = Instant::now();
        let out = fleet.zone(0, "out", "b", 0, true).await;
        assert_eq!(out["code"], 6001, "{out}");
        let time = assert_empty(&fleet, "b", asked).await;
        println!("last new work in the zone after {time:?}");
        let back = fleet
            .zone(1, "back", "b", out["offset"].as_u64().unwrap(), false)
            .await;
        assert_eq!(back["code"], 6001, "{back}");
        assert_used(&fleet, "b").await;
        assert_served(&load.stop().await);
        fleet.assert_sound();
    });
}

/// With the log down, other instances would not hear that a zone is out; with the log back, the zone
/// would stay out although its proposal was decided and undone.
#[test]
fn zone_out_without_log() {
    run(async {
        let fleet = Fleet::start(3, 6, 5).await;
        let load = load(&fleet);
        assert_used(&fleet, "b").await;
        fleet.log.set_faults(down());
        let asked = Instant::now();
        let (out, _) = futures::join!(
            fleet.zone(0, "out", "b", 0, true),
            assert_empty(&fleet, "b", asked)
        );
        assert_eq!(out["code"], 6002, "{out}");
        fleet.log.set_faults(LogFaults::default());
        let mut offset = 0;
        until(Duration::from_secs(5), "decision", async || {
            let known = fleet.ask(0, "rui", "/v1/proposals/out").await;
            offset = known["offset"].as_u64().unwrap_or(0);
            known["code"] == 6001
        })
        .await;
        let back = fleet.zone(2, "back", "b", offset, false).await;
        assert_eq!(back["code"], 6001, "{back}");
        assert_used(&fleet, "b").await;
        assert_served(&load.stop().await);
    });
}

/// Two operators who take one zone out at once, without a log, would leave a fact that keeps the zone
/// out after it was brought back.
#[test]
fn zone_out_by_two_operators() {
    run(async {
        let fleet = Fleet::start(3, 6, 5).await;
        let load = load(&fleet);
        fleet.log.set_faults(down());
        let body = serde_json::json!({"id": "eva-out", "base": 0, "out": true});
        let (one, two) = futures::join!(
            fleet.zone(0, "rui-out", "b", 0, true),
            fleet.send(2, "eva", "/v1/zones/b", &body)
        );
        assert_eq!([&one["code"], &two["code"]], [6002, 6002]);
        fleet.log.set_faults(LogFaults::default());
        let mut offsets = Vec::new();
        for (member, id) in [(0, "rui-out"), (2, "eva-out")] {
            let path = format!("/v1/proposals/{id}");
            until(Duration::from_secs(5), "decision", async || {
                let known = fleet.ask(member, "rui", &path).await;
                if known["code"] == 6001 {
                    offsets.push(known["offset"].as_u64().unwrap());
                }
                known["code"] == 6001 || known["code"] == 6003
            })
            .await;
        }
        assert_eq!(offsets.len(), 1, "both or none accepted");
        let back = fleet.zone(1, "back", "b", offsets[0], false).await;
        assert_eq!(back["code"], 6001, "{back}");
        assert_used(&fleet, "b").await;
        assert_served(&load.stop().await);
    });
}

/// A fact that arrives after the zone is back would take it out again for good.
#[test]
fn zone_out_and_back_within_a_second() {
    run(async {
        let fleet = Fleet::start(3, 6, 5).await;
        let load = load(&fleet);
        let mut base = 0;
        for round in 0..2 {
            let began = Instant::now();
            let out = fleet
                .zone(0, &format!("out-{round}"), "b", base, true)
                .await;
            assert_eq!(out["code"], 6001, "{out}");
            base = out["offset"].as_u64().unwrap();
            let back = fleet
                .zone(1, &format!("back-{round}"), "b", base, false)
                .await;
            // Instance 1 may not have read the first record yet.
            assert_eq!(back["code"], 6001, "{back}");
            base = back["offset"].as_u64().unwrap();
            assert!(
                began.elapsed() < Duration::from_secs(1),
                "{:?}",
                began.elapsed()
            );
        }
        fleet.reach(base, Duration::from_secs(2)).await;
        assert_used(&fleet, "b").await;
        assert_served(&load.stop().await);
        fleet.assert_sound();
    });
}

/// With two of three zones out, the third would not serve, or the others would be used again.
#[test]
fn two_zones_out() {
    run(async {
        let fleet = Fleet::start(3, 6, 5).await;
        let load = load(&fleet);
        let asked = Instant::now();
        let (a, b) = futures::join!(
            fleet.zone(0, "out-a", "a", 0, true),
            fleet.zone(1, "out-b", "b", 0, true)
        );
        assert_eq!([&a["code"], &b["code"]], [6001, 6001]);
        assert_empty(&fleet, "a", asked).await;
        assert_empty(&fleet, "b", asked).await;
        assert_served(&load.stop().await);
    });
}
