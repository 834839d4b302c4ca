//! Idempotency keys over several instances. Guards against a call that runs twice because its repeat
//! went to another instance, also when a holder of its key is gone.

mod common;
mod fleet;

use std::{net::SocketAddr, time::Duration};

use async_std::{io::WriteExt, net::TcpStream, task};

use common::{Reply, call_head, read_all};
use fleet::{Fleet, pause, run};

/// A keyed call that is not idempotent.
async fn keyed(entry: SocketAddr, key: &str) -> Reply {
    let extra = format!("connection: close\r\nidempotency-key: {key}\r\n");
    let mut stream = TcpStream::connect(entry).await.unwrap();
    stream
        .write_all(&call_head("confirmation", &extra, 0))
        .await
        .unwrap();
    Reply::parse(&read_all(&mut stream).await)
}

fn key_state(reply: &Reply) -> &str {
    reply.header("hw-key-state").unwrap_or("none")
}

fn assert_repeat(reply: &Reply, state: &str) {
    assert_eq!(reply.result(), (409, 2006, "not-run"), "{reply:?}");
    assert_eq!(key_state(reply), state, "{reply:?}");
}

/// A repeat at another instance would run, or would not tell how the first call stands.
#[test]
fn repeat_elsewhere_tells_running_and_done() {
    run(async {
        let fleet = Fleet::start(4, 3, 400).await;
        let before = fleet.ran(|_| true);
        let first = task::spawn(keyed(fleet.members[0].entry, "k-1"));
        pause(150).await;
        for member in 0..4 {
            assert_repeat(&keyed(fleet.members[member].entry, "k-1").await, "running");
        }
        let first = first.await;
        assert_eq!(first.outcome(), "served", "{first:?}");
        pause(100).await;
        for member in 0..4 {
            assert_repeat(&keyed(fleet.members[member].entry, "k-1").await, "done");
        }
        assert_eq!(fleet.ran(|_| true), before + 1);
        fleet.assert_sound();
    });
}

/// A call whose upstream broke would be repeated although it may have run.
#[test]
fn repeat_elsewhere_tells_unknown() {
    run(async {
        let fleet = Fleet::start(4, 3, 100).await;
        for target in &fleet.targets {
            target.upstream.set_faults(testkit::UpstreamFaults {
                response_fault: Some(testkit::ResponseFault::Truncated),
                ..testkit::UpstreamFaults::default()
            });
        }
        let before = fleet.ran(|_| true);
        let _ = keyed(fleet.members[0].entry, "k-2").await;
        pause(100).await;
        for member in 0..4 {
            assert_repeat(&keyed(fleet.members[member].entry, "k-2").await, "unknown");
        }
        assert_eq!(fleet.ran(|_| true), before + 1);
    });
}

/// Repeats at several instances at once would run more than once.
#[test]
fn simultaneous_repeats_run_once() {
    run(async {
        let fleet = Fleet::start(4, 3, 50).await;
        for round in 0..10 {
            let before = fleet.ran(|_| true);
            let key = format!("race-{round}");
            let calls = fleet.members.iter().map(|m| keyed(m.entry, &key));
            let replies = futures::future::join_all(calls).await;
            let served = replies.iter().filter(|r| r.outcome() == "served").count();
            assert!(served <= 1, "{replies:?}");
            assert_eq!(fleet.ran(|_| true), before + served as u64, "{replies:?}");
            for reply in replies.iter().filter(|r| r.outcome() != "served") {
                assert_eq!(reply.outcome(), "not-run", "{reply:?}");
            }
        }
        fleet.assert_sound();
    });
}

/// With a holder killed, repeats would run; and a new key that cannot be checked there would run
/// unchecked.
#[test]
fn holder_killed() {
    run(async {
        let mut fleet = Fleet::start(5, 3, 5).await;
        let before = fleet.ran(|_| true);
        for number in 0..10 {
            let reply = keyed(fleet.members[0].entry, &format!("old-{number}")).await;
            assert_eq!(reply.outcome(), "served", "{reply:?}");
        }
        fleet.members[1].kill();
        let mut unchecked = 0;
        for number in 0..10 {
            // Right after the death, its place among the holders is not filled yet.
            let reply = keyed(fleet.members[2].entry, &format!("old-{number}")).await;
            assert!([2006, 3009].contains(&reply.code()), "{reply:?}");
            assert_eq!(reply.outcome(), "not-run", "{reply:?}");
        }
        let mut ran = before + 10;
        for number in 0..10 {
            let reply = keyed(fleet.members[2].entry, &format!("new-{number}")).await;
            match reply.code() {
                3009 => unchecked += 1,
                _ => ran += u64::from(reply.outcome() == "served"),
            }
        }
        assert!(
            unchecked > 0,
            "no key of 10 had the dead instance as holder"
        );
        assert_eq!(fleet.ran(|_| true), ran);
        // Heartbeats are missing for 3 s: the next in rank holds keys.
        pause(3_500).await;
        for member in [0, 2, 3, 4] {
            for number in 0..10 {
                let entry = fleet.members[member].entry;
                let reply = keyed(entry, &format!("old-{number}")).await;
                assert_repeat(&reply, "done");
            }
        }
        let reply = keyed(fleet.members[3].entry, "last").await;
        assert_eq!(reply.outcome(), "served", "{reply:?}");
        assert_eq!(fleet.ran(|_| true), ran + 1);
        fleet.assert_sound();
    });
}

/// An instance that is unknown to some of its peers, because the list lags, would be asked for keys
/// that others look for elsewhere, and a repeat would run.
#[test]
fn repeat_while_list_lags() {
    run(async {
        let mut fleet = Fleet::start(3, 3, 5).await;
        fleet.list.set_lag(Duration::from_secs(5));
        fleet.add_member("i-9", "a").await;
        pause(700).await;
        let before = fleet.ran(|_| true);
        let mut served = 0;
        for number in 0..20 {
            let key = format!("lag-{number}");
            let first = keyed(fleet.members[3].entry, &key).await;
            served += u64::from(first.outcome() == "served");
            let second = keyed(fleet.members[number % 3].entry, &key).await;
            if first.outcome() == "served" {
                assert_eq!(second.outcome(), "not-run", "{key}: {second:?}");
            }
            served += u64::from(second.outcome() == "served");
        }
        assert_eq!(fleet.ran(|_| true), before + served);
        fleet.assert_sound();
    });
}
