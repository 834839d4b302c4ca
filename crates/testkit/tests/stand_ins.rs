//! Tests of the stand-ins' faults and counters. They guard against measurements and tests that pass
//! because a fault has no effect.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use async_std::{future::timeout, net::TcpStream, task};
use store::{ListClient, LogClient};
use testkit::{
    CALL_ID_HEADER, CallResponse, CallSpec, ColdStart, ListServer, LogFaults, LogServer,
    ResponseFault, Upstream, UpstreamFaults, UpstreamSpec, send_call,
};
use wire::{EntryKind, EntryState, ListEntry};

const SPEC: UpstreamSpec = UpstreamSpec {
    slots: 4,
    mean_us: 20_000.0,
    sigma: 0.0,
    seed: 1,
};

/// Service times that are long enough for calls to overlap even on a busy machine.
const SLOW: UpstreamSpec = UpstreamSpec {
    mean_us: 300_000.0,
    ..SPEC
};

/// Sends a call on a connection. Returns `None` if no valid response arrives within 800 ms.
async fn call_on(stream: &TcpStream, upstream: &Upstream, id: &str) -> Option<CallResponse> {
    let headers = [(CALL_ID_HEADER, id), ("hw-call", id)];
    let spec = CallSpec {
        service: "orders",
        class: "bulk",
        path: "/",
        body: b"order",
        headers: &headers,
    };
    let sent = Box::pin(send_call(stream.clone(), upstream.addr(), &spec));
    timeout(Duration::from_millis(800), sent).await.ok()?.ok()
}

/// Sends a call on a new connection.
async fn call(upstream: &Upstream, id: &str) -> Option<CallResponse> {
    let stream = TcpStream::connect(upstream.addr()).await.ok()?;
    call_on(&stream, upstream, id).await
}

#[test]
fn upstream_counts_runs_and_cancellations() {
    task::block_on(async {
        let upstream = Upstream::start(SLOW).await;
        assert!(call(&upstream, "a").await.unwrap().body.starts_with(b"a"));
        call(&upstream, "a").await.unwrap();
        let _ = timeout(Duration::from_millis(150), call(&upstream, "b")).await;
        task::sleep(Duration::from_millis(200)).await;
        let runs = HashMap::from([("a".to_owned(), 2), ("b".to_owned(), 1)]);
        assert_eq!(upstream.run_counts(), runs);
        let counts = upstream.counts();
        assert_eq!(
            (counts.ran, counts.cancelled, counts.max_running),
            (3, 1, 1)
        );
    });
}

#[test]
fn upstream_faults_change_responses() {
    task::block_on(async {
        let upstream = Upstream::start(SPEC).await;
        let with = |fault| UpstreamFaults {
            response_fault: Some(fault),
            ..UpstreamFaults::default()
        };
        call(&upstream, "a").await.unwrap();
        upstream.set_faults(with(ResponseFault::PreviousCall));
        assert!(call(&upstream, "b").await.unwrap().body.starts_with(b"a"));
        upstream.set_faults(with(ResponseFault::Truncated));
        assert!(
            call(&upstream, "c").await.is_none(),
            "shorter than announced"
        );
        upstream.set_faults(with(ResponseFault::Delayed(5_000)));
        assert!(call(&upstream, "d").await.is_none());
        upstream.set_faults(with(ResponseFault::Duplicated));
        let stream = TcpStream::connect(upstream.addr()).await.unwrap();
        call_on(&stream, &upstream, "e").await.unwrap();
        let next = call_on(&stream, &upstream, "f").await;
        assert!(next.is_none_or(|a| a.body.starts_with(b"e")));
    });
}

#[test]
fn upstream_silences_only_old_connections() {
    task::block_on(async {
        let upstream = Upstream::start(SPEC).await;
        let old = TcpStream::connect(upstream.addr()).await.unwrap();
        call_on(&old, &upstream, "a").await.unwrap();
        upstream.silence_connections();
        assert!(call_on(&old, &upstream, "b").await.is_none());
        assert!(call(&upstream, "c").await.is_some());
    });
}

#[test]
fn upstream_counts_calls_over_cold_limit() {
    task::block_on(async {
        let upstream = Upstream::start(SLOW).await;
        upstream.begin_cold_start(ColdStart {
            initial_limit: 1,
            doubling_calls: 1,
            slowdown: 1.0,
        });
        let both = futures::future::join(call(&upstream, "a"), call(&upstream, "b")).await;
        assert!(both.0.is_some() && both.1.is_some());
        assert_eq!(upstream.counts().over_cold_limit, 1);
        assert!(!upstream.is_cold(), "two doublings reach all four slots");
    });
}

#[test]
fn log_faults_lose_responses_and_records() {
    task::block_on(async {
        let server = LogServer::start().await;
        let client = LogClient::new(server.addr(), "s");
        let lines = |from: &str| vec![from.to_owned()];
        server.set_faults(LogFaults {
            lost_responses: 1,
            ..LogFaults::default()
        });
        assert!(client.append(lines("one")).await.is_err());
        assert_eq!(server.records("s").len(), 1, "the lost append took effect");
        server.set_faults(LogFaults {
            lost_requests: 1,
            ..LogFaults::default()
        });
        assert!(client.append(lines("two")).await.is_err());
        assert_eq!(server.records("s").len(), 1);
        server.set_faults(LogFaults {
            duplicated_appends: 1,
            max_records: 2,
            ..LogFaults::default()
        });
        client.append(lines("three")).await.unwrap();
        let read = client.read(1, 10, 0).await.unwrap();
        assert_eq!((read.first, read.next), (2, 4));
        server.push_truncated("s", "abcd");
        assert_eq!(server.records("s").last().unwrap().data, "ab");
    });
}

fn entry(id: &str) -> ListEntry {
    ListEntry {
        id: id.to_owned(),
        kind: EntryKind::Upstream,
        zone: "a".into(),
        region: "r".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        peer: None,
        service: Some("orders".into()),
        version: Some("v1".into()),
        slots: Some(3),
        state: EntryState::Live,
        incarnation: 1,
    }
}

#[test]
fn list_faults_change_entries() {
    task::block_on(async {
        let server = ListServer::start().await;
        let client = ListClient::new(server.addr());
        let entry = entry("t-1");
        server.set_lag(Duration::from_secs(30));
        client.register(&entry).await.unwrap();
        assert!(client.entries().await.unwrap().entries.is_empty());
        server.set_lag(Duration::ZERO);
        server.set_wrong_state("t-1", Some(EntryState::Leaving));
        let entries = client.entries().await.unwrap().entries;
        assert_eq!(entries[0].state, EntryState::Leaving);
        server.set_flapping(Some(Duration::from_millis(50)));
        let mut lengths = BTreeSet::new();
        for _ in 0..40 {
            lengths.insert(client.entries().await.unwrap().entries.len());
            task::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(lengths.len(), 2, "the entry is in some responses only");
        server.set_down(true);
        assert!(client.entries().await.is_err());
    });
}

/// Polls must transfer the list when it has changed, and only then.
#[test]
fn list_transfers_only_changes() {
    task::block_on(async {
        let list = ListServer::start().await;
        list.put(entry("a"));
        let client = ListClient::new(list.addr());
        let first = client.changes(0).await.unwrap().expect("the first list");
        assert_eq!(client.changes(first.version).await.unwrap(), None);
        list.put(entry("b"));
        let second = client
            .changes(first.version)
            .await
            .unwrap()
            .expect("the changed list");
        assert_eq!(second.entries.len(), 2);
    });
}
