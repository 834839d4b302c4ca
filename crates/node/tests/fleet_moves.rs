//! Version moves on real calls. Guards against bad versions that go on to receive calls, against good
//! ones that are undone, and against instances that disagree on the outcome.

mod fleet;

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use serde_json::Value;
use testkit::{BadVersion, LogFaults, UpstreamFaults};

use fleet::{Fleet, Load, STREAM, document, down, failures, move_text, pause, until};

/// One move at a time: several fleets on one machine wait for the processor, and then calls of both
/// versions are slow for a reason that is not theirs.
static ALONE: Mutex<()> = Mutex::new(());

fn run(test: impl Future<Output = ()>) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    fleet::run(test);
}

const PATHS: &[&str] = &["/a", "/a", "/a", "/b"];

/// Three instances, four targets of each version, and a move that has just begun.
async fn start(bad_version: Option<BadVersion>, ahead: Duration) -> (Fleet, Load) {
    let mut fleet = Fleet::start(3, 4, 5).await;
    for number in 0..4 {
        let zone = fleet::ZONES[number % 3];
        fleet
            .add_target(&format!("n-{number}"), zone, "v2", 5)
            .await;
    }
    for target in fleet.targets.iter().filter(|t| is_new(&t.entry)) {
        target.upstream.set_faults(UpstreamFaults {
            bad_version,
            ..UpstreamFaults::default()
        });
    }
    let load = Load::start(fleet.entries(), PATHS, 3);
    // The list is polled every second.
    pause(1_500).await;
    let text = document(&move_text("v2", ahead, false));
    let answer = fleet.publish(0, "move", 1, &text).await;
    assert_eq!(answer["code"], 6001, "{answer}");
    (fleet, load)
}

fn is_new(entry: &wire::ListEntry) -> bool {
    entry.version.as_ref().is_some_and(|v| v.as_str() == "v2")
}

async fn moves(fleet: &Fleet, member: usize) -> Value {
    fleet.ask(member, "ana", "/v1/moves").await["moves"][0].clone()
}

/// Waits for the outcome at all instances and returns it. It must be the same everywhere.
async fn outcome(fleet: &Fleet, limit: Duration) -> Value {
    let began = Instant::now();
    let mut found = Vec::new();
    loop {
        found.clear();
        for member in 0..fleet.members.len() {
            found.push(moves(fleet, member).await);
        }
        if found.iter().all(|m| !m["verdict"].is_null()) {
            break;
        }
        let records = || fleet.log.records(STREAM).into_iter().map(|r| r.data);
        assert!(
            began.elapsed() < limit,
            "{found:#?} {:#?}",
            records().collect::<Vec<_>>()
        );
        pause(10).await;
    }
    assert!(found.iter().all(|m| *m == found[0]), "{found:?}");
    found[0].clone()
}

/// Waits until some instance shows that the version was stopped.
async fn stopped(fleet: &Fleet, limit: Duration) -> Instant {
    until(limit, "stop", async || {
        let mut any = false;
        for member in 0..fleet.members.len() {
            let shown = moves(fleet, member).await;
            let reason = shown["reason"].as_str();
            any |= reason.is_some_and(|r| !r.is_empty()) || !shown["verdict"].is_null();
        }
        any
    })
    .await;
    Instant::now()
}

/// A good version would not be in use everywhere before its deadline.
#[test]
fn good_version_is_done() {
    run(async {
        let (fleet, load) = start(None, Duration::from_secs(14)).await;
        let found = outcome(&fleet, Duration::from_secs(16)).await;
        assert_eq!(found["verdict"], "done", "{found}");
        assert_eq!(found["share"], 10_000, "{found}");
        pause(500).await;
        let old = fleet.ran(|e| !is_new(e));
        pause(500).await;
        assert_eq!(fleet.ran(|e| !is_new(e)), old, "calls at the old version");
        let shots = load.stop().await;
        let failed = failures(&shots);
        assert!(failed.is_empty(), "{failed:?} of {}", shots.len());
        fleet.assert_sound();
    });
}

/// The bad version is stopped, gets nothing 2 s later, and is barred.
async fn assert_bad(bad: BadVersion) {
    let (fleet, load) = start(Some(bad), Duration::from_secs(15)).await;
    let at = stopped(&fleet, Duration::from_secs(14)).await;
    let found = outcome(&fleet, Duration::from_secs(5)).await;
    assert_eq!(found["verdict"], "undone", "{found}");
    assert_eq!(found["share"], 0, "{found}");
    let rest = (at + Duration::from_secs(2)).saturating_duration_since(Instant::now());
    pause(u64::try_from(rest.as_millis()).unwrap()).await;
    let (new, old) = (fleet.ran(is_new), fleet.ran(|e| !is_new(e)));
    pause(500).await;
    assert_eq!(fleet.ran(is_new), new, "calls at the stopped version");
    assert!(fleet.ran(|e| !is_new(e)) > old);
    println!("{found}: {new} calls of {} at the bad version", new + old);
    let config = fleet.ask(1, "ana", "/v1/config/lemovka").await;
    let base = config["revision"].as_u64().unwrap();
    let again = document(&move_text("v2", Duration::from_mins(1), false));
    let answer = fleet.publish(1, "again", base, &again).await;
    assert_eq!(answer["code"], 6009, "{answer}");
    load.stop().await;
    fleet.assert_sound();
}

const GOOD: BadVersion = BadVersion {
    error_rate: 0.0,
    slowdown: 1.0,
    path: None,
    min_running: 0,
};

/// A version that fails would stay in use.
#[test]
fn failing_version_is_undone() {
    run(assert_bad(BadVersion {
        error_rate: 0.5,
        ..GOOD
    }));
}

/// A version that is slow would stay in use.
#[test]
fn slow_version_is_undone() {
    run(assert_bad(BadVersion {
        slowdown: 8.0,
        ..GOOD
    }));
}

/// A version that fails on one route only would be hidden by the others.
#[test]
fn version_failing_on_one_route_is_undone() {
    run(assert_bad(BadVersion {
        error_rate: 1.0,
        path: Some("/b"),
        ..GOOD
    }));
}

/// With the log down, instances other than the one that saw the fault would go on with the version.
#[test]
fn version_is_stopped_without_log() {
    run(async {
        let (fleet, load) = start(None, Duration::from_secs(15)).await;
        until(Duration::from_secs(5), "first step", async || {
            fleet.ran(is_new) > 0
        })
        .await;
        fleet.log.set_faults(down());
        for target in fleet.targets.iter().filter(|t| is_new(&t.entry)) {
            target.upstream.set_faults(UpstreamFaults {
                fail_fast: true,
                ..UpstreamFaults::default()
            });
        }
        let mut last = fleet.ran(is_new);
        until(
            Duration::from_secs(9),
            "no more calls for a second",
            async || {
                pause(1_000).await;
                let now = fleet.ran(is_new);
                now == std::mem::replace(&mut last, now)
            },
        )
        .await;
        fleet.log.set_faults(LogFaults::default());
        let found = outcome(&fleet, Duration::from_secs(5)).await;
        assert_eq!(found["verdict"], "undone", "{found}");
        assert_eq!(fleet.ran(is_new), last, "calls after the stop");
        load.stop().await;
        fleet.assert_sound();
    });
}

/// A deadline that passes while the log is down would leave a share on the new version, or two
/// verdicts.
#[test]
fn deadline_passes_without_log() {
    run(async {
        let (fleet, load) = start(None, Duration::from_secs(8)).await;
        let began = Instant::now();
        until(Duration::from_secs(5), "first step", async || {
            fleet.ran(is_new) > 0
        })
        .await;
        fleet.log.set_faults(down());
        // 8 s ahead, 500 ms for clocks, one tick.
        let rest = (began + Duration::from_millis(8_900)).saturating_duration_since(Instant::now());
        pause(u64::try_from(rest.as_millis()).unwrap()).await;
        let new = fleet.ran(is_new);
        pause(700).await;
        assert_eq!(
            fleet.ran(is_new),
            new,
            "calls at the new version after the deadline"
        );
        fleet.log.set_faults(LogFaults::default());
        let found = outcome(&fleet, Duration::from_secs(5)).await;
        assert_eq!(found["verdict"], "undone", "{found}");
        assert_eq!(found["reason"], "deadline", "{found}");
        pause(1_000).await;
        let verdict = |data: &str| data.contains("\"verdict\"");
        let verdicts = fleet
            .log
            .records(STREAM)
            .iter()
            .filter(|r| verdict(&r.data))
            .count();
        println!("{verdicts} verdict records in the log");
        assert_eq!(outcome(&fleet, Duration::from_secs(1)).await, found);
        let shots = load.stop().await;
        let failed = failures(&shots);
        assert!(failed.is_empty(), "{failed:?} of {}", shots.len());
        fleet.assert_sound();
    });
}
