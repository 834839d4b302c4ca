//! The log service fails under several instances. Guards against proposals that are lost, applied
//! twice or judged differently, against instances that cannot start, and against configuration that
//! goes back.

mod fleet;

use std::time::Duration;

use testkit::LogFaults;

use fleet::{Fleet, OffsetWatch, STREAM, document, down, pause, run, send, until};

const SOON: Duration = Duration::from_secs(2);
const LATER: Duration = Duration::from_secs(5);

/// A proposal made during an outage would be lost, or appended twice after it.
#[test]
fn publish_in_outage_is_accepted_once() {
    run(async {
        let fleet = Fleet::start(3, 2, 5).await;
        let watch = OffsetWatch::start(fleet.entries());
        fleet.log.set_faults(down());
        let answer = fleet.publish(1, "late", 1, &document("# late")).await;
        assert_eq!(answer["code"], 6002, "{answer}");
        let offsets = fleet.offsets().await;
        assert!(offsets.iter().all(|o| *o == Some(1)), "{offsets:?}");
        fleet.log.set_faults(LogFaults::default());
        let answer = fleet.decided(1, "late", LATER).await;
        assert_eq!(answer["code"], 6001, "{answer}");
        fleet.reach(answer["offset"].as_u64().unwrap(), SOON).await;
        assert_eq!(fleet.records_of("late"), 1);
        watch.stop().await;
        fleet.assert_sound();
    });
}

/// Append answers that are lost again and again would leave several records of one proposal.
#[test]
fn lost_answers_leave_one_record() {
    run(async {
        let fleet = Fleet::start(3, 2, 5).await;
        fleet.log.set_faults(LogFaults {
            lost_responses: 2,
            ..LogFaults::default()
        });
        let answer = fleet.publish(0, "lost", 1, &document("# lost")).await;
        assert_eq!(answer["code"], 6001, "{answer}");
        assert_eq!(fleet.records_of("lost"), 1);
        let offset = answer["offset"].as_u64().unwrap();
        fleet.reach(offset, SOON).await;
        for member in 0..3 {
            let config = fleet.ask(member, "ana", "/v1/config/lemovka").await;
            assert_eq!(config["revision"], offset, "{config}");
        }
    });
}

/// A record that the log service stored torn, although it reported success, would leave its proposal
/// pending for ever.
#[test]
fn torn_append_is_made_again() {
    run(async {
        let fleet = Fleet::start(2, 2, 5).await;
        fleet.log.set_faults(LogFaults {
            truncated_appends: 1,
            ..LogFaults::default()
        });
        let _ = fleet.publish(0, "torn", 1, &document("# torn")).await;
        let answer = fleet.decided(0, "torn", LATER).await;
        assert_eq!(answer["code"], 6001, "{answer}");
        assert_eq!(fleet.records_of("torn"), 1);
    });
}

/// Two operators who publish against one revision at once would both be told that they won.
#[test]
fn one_of_two_operators_wins_everywhere() {
    run(async {
        let fleet = Fleet::start(3, 2, 5).await;
        let (one, two) = (document("# one"), document("# two"));
        let (a, b) = futures::join!(
            fleet.publish(0, "race-1", 1, &one),
            fleet.publish(2, "race-2", 1, &two)
        );
        let mut codes = [a["code"].as_u64().unwrap(), b["code"].as_u64().unwrap()];
        codes.sort_unstable();
        assert_eq!(codes, [6001, 6003], "{a} {b}");
        let last = [&a, &b]
            .map(|v| v["offset"].as_u64().unwrap())
            .into_iter()
            .max();
        fleet.reach(last.unwrap(), SOON).await;
        for member in 0..3 {
            for (id, answer) in [("race-1", &a), ("race-2", &b)] {
                let known = fleet.decided(member, id, SOON).await;
                assert_eq!(known["code"], answer["code"], "{known}");
            }
        }
    });
}

/// Torn, foreign or repeated lines would stop the readers, or apply a record twice.
#[test]
fn spoilt_lines_are_skipped() {
    run(async {
        let fleet = Fleet::start(3, 2, 5).await;
        let first = fleet.log.records(STREAM)[0].data.clone();
        fleet.log.push_truncated(STREAM, &first);
        fleet.log.push(STREAM, "something of another writer");
        fleet.log.push(STREAM, "");
        assert!(fleet.log.push_copy(STREAM, 1));
        fleet.reach(5, SOON).await;
        let answer = fleet.publish(0, "after", 1, &document("# after")).await;
        assert_eq!(answer["code"], 6001, "{answer}");
        fleet.reach(answer["offset"].as_u64().unwrap(), SOON).await;
        fleet.assert_sound();
    });
}

/// An instance that starts after records expired, with no peer, would lack the configuration.
#[test]
fn start_after_records_expired() {
    run(async {
        let (mut fleet, covers, _) = with_snapshot().await;
        fleet.log.expire(STREAM, covers + 1);
        let answer = fleet.publish(0, "tail", 1, &document("# tail")).await;
        let offset = answer["offset"].as_u64().unwrap();
        fleet.members[0].kill();
        fleet.members[1].kill();
        fleet.list.remove("i-0");
        fleet.list.remove("i-1");
        fleet.add_member("i-9", "c").await;
        fleet.reach(offset, Duration::from_secs(3)).await;
        let config = fleet.ask(2, "ana", "/v1/config/lemovka").await;
        assert_eq!(config["revision"], offset, "{config}");
    });
}

/// An instance would wait for ever for records that expired after the last snapshot, although its
/// peers hold them.
#[test]
fn start_after_tail_expired_asks_peers() {
    run(async {
        let (mut fleet, _, at) = with_snapshot().await;
        let answer = fleet.publish(0, "tail", 1, &document("# tail")).await;
        let offset = answer["offset"].as_u64().unwrap();
        fleet.log.expire(STREAM, at + 1);
        fleet.add_member("i-9", "c").await;
        fleet.reach(offset, Duration::from_secs(3)).await;
        let config = fleet.ask(2, "ana", "/v1/config/lemovka").await;
        assert_eq!(config["revision"], offset, "{config}");
    });
}

/// Two instances and a snapshot in the log: the offsets that it covers and where its last part is.
async fn with_snapshot() -> (Fleet, u64, u64) {
    let fleet = Fleet::start(2, 2, 5).await;
    // The snapshot falls due after 512 records; foreign ones count too.
    for number in 0..520 {
        fleet.log.push(STREAM, &format!("foreign {number}"));
    }
    let mut found = None;
    until(Duration::from_secs(8), "snapshot in the log", async || {
        for entry in fleet.log.records(STREAM) {
            let body = wire::Record::decode(&entry.data).map(|r| r.body);
            if let Ok(wire::Body::Snapshot { covers, .. }) = body {
                found = Some((covers, entry.offset));
            }
        }
        found.is_some()
    })
    .await;
    let (covers, at) = found.unwrap();
    (fleet, covers, at)
}

/// An instance that starts while the log is down would serve nobody, or an older configuration.
#[test]
fn start_in_outage_catches_up_from_peers() {
    run(async {
        let mut fleet = Fleet::start(2, 2, 5).await;
        let answer = fleet.publish(0, "second", 1, &document("# second")).await;
        let offset = answer["offset"].as_u64().unwrap();
        fleet.reach(offset, SOON).await;
        fleet.log.set_faults(down());
        fleet.add_member("i-9", "c").await;
        fleet.reach(offset, LATER).await;
        let entry = fleet.members[2].entry;
        until(SOON, "a call is served", async || {
            let answer = fleet::call(entry, "/").await;
            answer.is_some_and(|a| a.outcome.as_deref() == Some("served"))
        })
        .await;
        fleet.assert_sound();
    });
}

/// A peer that holds the state only as a snapshot could not help an instance during an outage.
#[test]
fn start_in_outage_takes_snapshot_of_peer() {
    run(async {
        let mut fleet = Fleet::start(2, 2, 5).await;
        // Peers keep the last 512 records.
        for number in 0..600 {
            fleet.log.push(STREAM, &format!("foreign {number}"));
        }
        fleet.reach(601, LATER).await;
        fleet.log.set_faults(down());
        fleet.add_member("i-9", "c").await;
        fleet.reach(601, LATER).await;
        let config = fleet.ask(2, "ana", "/v1/config/lemovka").await;
        assert_eq!(config["revision"], 1, "{config}");
    });
}

/// An instance without log and peers would invent a configuration instead of saying that it has none.
#[test]
fn start_alone_in_outage_waits_for_log() {
    run(async {
        let mut fleet = Fleet::start(1, 2, 5).await;
        fleet.members[0].kill();
        fleet.list.remove("i-0");
        fleet.log.set_faults(down());
        fleet.add_member("i-9", "c").await;
        let (entry, admin) = (fleet.members[1].entry, fleet.members[1].admin);
        pause(500).await;
        let answer = fleet::call(entry, "/").await.unwrap();
        assert_eq!(answer.code, Some(3007));
        assert_eq!(answer.outcome.as_deref(), Some("not-run"));
        assert_eq!(fleet.offsets().await, [None]);
        let health = send(admin, "ana", "/v1/health", &serde_json::Value::Null).await;
        assert_eq!(health["code"], 3007, "{health}");
        fleet.log.set_faults(LogFaults::default());
        fleet.reach(1, Duration::from_secs(3)).await;
    });
}

/// Replacing instances, one by one and then all at once, would bring an earlier configuration back.
#[test]
fn replaced_instances_never_go_back() {
    run(async {
        let mut fleet = Fleet::start(3, 2, 5).await;
        let mut offset = 1;
        for number in 0..3 {
            let id = format!("new-{number}");
            fleet.add_member(&id, "a").await;
            let watch = OffsetWatch::start(fleet.entries());
            let text = document(&format!("# {number}"));
            let member = fleet.members.len() - 1;
            let answer = fleet.publish(member, &id, offset, &text).await;
            assert_eq!(answer["code"], 6001, "{answer}");
            offset = answer["offset"].as_u64().unwrap();
            fleet.reach(offset, Duration::from_secs(3)).await;
            let old = format!("i-{number}");
            fleet.members[number].kill();
            fleet.list.remove(&old);
            pause(300).await;
            watch.stop().await;
            let seen = fleet.offsets().await;
            assert!(seen.iter().flatten().all(|o| *o >= offset), "{seen:?}");
        }
        for member in &mut fleet.members {
            member.kill();
        }
        fleet.add_member("last", "b").await;
        let entry = fleet.members.last().unwrap().entry;
        // Whatever the instance answers while it starts, it is not an older configuration.
        until(Duration::from_secs(3), "addresses", async || {
            let answer = testkit::query_addresses(entry, "orders", "").await;
            assert!(
                answer.as_ref().is_none_or(|a| a.offset >= offset),
                "{answer:?}"
            );
            answer.is_some()
        })
        .await;
    });
}

/// Another writer's records that are larger than this system's would make every read exceed the bound of
/// an answer, so that no instance got past them.
#[test]
fn large_foreign_records_are_passed() {
    run(async {
        let fleet = Fleet::start(1, 1, 5).await;
        let large = "x".repeat(2 * 1024 * 1024);
        for _ in 0..15 {
            fleet.log.push(STREAM, &large);
        }
        let answer = fleet.publish(0, "after", 1, &document("# after")).await;
        assert!(
            [6001, 6002].contains(&answer["code"].as_u64().unwrap()),
            "{answer}"
        );
        let answer = fleet.decided(0, "after", LATER).await;
        assert_eq!(answer["code"], 6001, "{answer}");
    });
}
