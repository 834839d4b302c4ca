//! Streams between instances. Guards against frames that end or fool an instance, against facts that
//! circulate for ever, and against connections that stay open and swallow everything.

mod fleet;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_std::{
    io::{ReadExt, WriteExt},
    net::{TcpListener, TcpStream},
    task,
};
use bytes::Bytes;
use h2::SendStream;
use tokio_util::compat::FuturesAsyncReadCompatExt;
use wire::{EntryKind, EntryState, Fact, ListEntry, PEER_SCHEMA, PeerMsg};

use fleet::{Fleet, document, down, pause, run, until};

/// A stand-in peer: the sending side of a stream.
async fn connect(addr: SocketAddr) -> SendStream<Bytes> {
    let stream = TcpStream::connect(addr).await.unwrap();
    let handshake = h2::client::handshake(stream.compat()).await.unwrap();
    let (sender, connection) = handshake;
    task::spawn(connection);
    let mut sender = sender.ready().await.unwrap();
    let request = http::Request::post(format!("http://{addr}/peer"))
        .body(())
        .unwrap();
    sender.send_request(request, false).unwrap().1
}

fn frame(msg: &PeerMsg) -> Vec<u8> {
    let body = msg.encode().unwrap();
    let mut bytes = u32::try_from(body.len()).unwrap().to_le_bytes().to_vec();
    bytes.extend(body);
    bytes
}

fn hello(schema: u16) -> Vec<u8> {
    frame(&PeerMsg::Hello {
        schema,
        instance: "x-1".into(),
        zone: "a".into(),
        region: "r1".into(),
        incarnation: 1,
    })
}

fn zone_out(zone: &str, base: u64) -> Vec<u8> {
    frame(&PeerMsg::Fact(Fact::ZoneOut {
        zone: zone.into(),
        base,
    }))
}

/// Sends `parts` on a stream of its own and keeps the stream open for the time of a delivery.
async fn tell(addr: SocketAddr, parts: &[Vec<u8>]) {
    let mut stream = connect(addr).await;
    let _ = stream.send_data(Bytes::from(parts.concat()), false);
    pause(300).await;
}

fn sent(fleet: &Fleet) -> u64 {
    let nodes = fleet.members.iter().filter_map(|m| m.node.as_ref());
    nodes.map(|n| n.peer_bytes().0).sum()
}

/// Malformed frames, or frames of another schema, would end an instance or be obeyed.
#[test]
fn spoilt_frames_change_nothing() {
    run(async {
        let fleet = Fleet::start(2, 3, 5).await;
        let addr = fleet.members[0].peer;
        let out = zone_out("b", 0);
        let spoilt: [Vec<Vec<u8>>; 6] = [
            vec![hello(PEER_SCHEMA + 1), out.clone()],
            vec![out.clone()],
            vec![
                hello(PEER_SCHEMA),
                u32::MAX.to_le_bytes().to_vec(),
                out.clone(),
            ],
            vec![
                hello(PEER_SCHEMA),
                vec![3, 0, 0, 0, 255, 255, 255],
                out.clone(),
            ],
            vec![hello(PEER_SCHEMA), hello(PEER_SCHEMA), out.clone()],
            vec![hello(PEER_SCHEMA), vec![0, 0, 0, 0], out.clone()],
        ];
        for parts in &spoilt {
            tell(addr, parts).await;
        }
        let before = fleet.ran(|e| e.zone.as_str() == "b");
        for number in 0..30 {
            let answer = fleet::call(fleet.members[number % 2].entry, "/")
                .await
                .unwrap();
            assert_eq!(answer.outcome.as_deref(), Some("served"));
        }
        assert!(
            fleet.ran(|e| e.zone.as_str() == "b") > before,
            "zone b was taken out"
        );
        // A correct stream still works.
        tell(addr, &[hello(PEER_SCHEMA), out]).await;
        pause(300).await;
        let before = fleet.ran(|e| e.zone.as_str() == "b");
        for number in 0..30 {
            let answer = fleet::call(fleet.members[number % 2].entry, "/")
                .await
                .unwrap();
            assert_eq!(answer.outcome.as_deref(), Some("served"));
        }
        assert_eq!(fleet.ran(|e| e.zone.as_str() == "b"), before);
        fleet.assert_sound();
    });
}

/// A fact that the log has overtaken would be passed on without end by instances that dropped it.
#[test]
fn overtaken_fact_is_not_passed_on() {
    run(async {
        let fleet = Fleet::start(5, 3, 5).await;
        let out = fleet.zone(0, "out", "b", 0, true).await;
        assert_eq!(out["code"], 6001, "{out}");
        let offset = out["offset"].as_u64().unwrap();
        let back = fleet.zone(1, "back", "b", offset, false).await;
        fleet
            .reach(back["offset"].as_u64().unwrap(), Duration::from_secs(2))
            .await;
        pause(1_200).await;
        tell(
            fleet.members[0].peer,
            &[hello(PEER_SCHEMA), zone_out("b", 0)],
        )
        .await;
        let before = sent(&fleet);
        pause(1_000).await;
        let bytes = sent(&fleet) - before;
        // 9 KB/s for control at each instance.
        assert!(bytes < 5 * 9_000, "{bytes} bytes in 1 s");
    });
}

/// Facts about upstreams that are long gone would fill the table, and a later stop or zone would be
/// ignored.
#[test]
fn many_draining_facts_leave_room_for_zone_out() {
    run(async {
        let fleet = Fleet::start(2, 3, 5).await;
        let mut parts = vec![hello(PEER_SCHEMA)];
        for number in 0..2_100 {
            parts.push(frame(&PeerMsg::Fact(Fact::Draining {
                target: format!("gone-{number}").as_str().into(),
                incarnation: 1,
            })));
        }
        tell(fleet.members[0].peer, &parts).await;
        tell(
            fleet.members[0].peer,
            &[hello(PEER_SCHEMA), zone_out("b", 0)],
        )
        .await;
        pause(500).await;
        let before = fleet.ran(|e| e.zone.as_str() == "b");
        for number in 0..30 {
            let answer = fleet::call(fleet.members[number % 2].entry, "/")
                .await
                .unwrap();
            assert_eq!(answer.outcome.as_deref(), Some("served"));
        }
        assert_eq!(fleet.ran(|e| e.zone.as_str() == "b"), before);
    });
}

/// A TCP proxy that can stop forwarding on the connections that are open at that time.
struct Proxy {
    addr: SocketAddr,
    accepted: Arc<AtomicU64>,
    /// Connections with a smaller number are silent.
    silent: Arc<AtomicU64>,
}

impl Proxy {
    async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = Self {
            addr: listener.local_addr().unwrap(),
            accepted: Arc::default(),
            silent: Arc::default(),
        };
        let (accepted, silent) = (Arc::clone(&proxy.accepted), Arc::clone(&proxy.silent));
        task::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let number = accepted.fetch_add(1, Ordering::SeqCst);
                let Ok(far) = TcpStream::connect(to).await else {
                    continue;
                };
                task::spawn(copy(near.clone(), far.clone(), number, Arc::clone(&silent)));
                task::spawn(copy(far, near, number, Arc::clone(&silent)));
            }
        });
        proxy
    }

    fn silence_open(&self) {
        self.silent
            .store(self.accepted.load(Ordering::SeqCst), Ordering::SeqCst);
    }
}

async fn copy(mut from: TcpStream, mut to: TcpStream, number: u64, silent: Arc<AtomicU64>) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 {
            return;
        }
        if number < silent.load(Ordering::SeqCst) {
            continue;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

fn member_entry(fleet: &Fleet, member: usize, peer: SocketAddr) -> ListEntry {
    let member = &fleet.members[member];
    let mut entry = ListEntry {
        id: member.id.clone(),
        kind: EntryKind::Entry,
        zone: member.zone.into(),
        region: "r1".into(),
        addr: member.entry,
        peer: Some(peer),
        service: None,
        version: None,
        slots: None,
        state: EntryState::Live,
        incarnation: 0,
    };
    let listed = fleet.list.entries().into_iter().find(|e| e.id == entry.id);
    entry.incarnation = listed.unwrap().incarnation;
    entry
}

/// A connection that swallows what is sent would cut two instances off from each other for good.
#[test]
fn silent_stream_is_replaced() {
    run(async {
        let mut fleet = Fleet::start(1, 3, 5).await;
        let proxy = Proxy::start(fleet.members[0].peer).await;
        fleet.list.put(member_entry(&fleet, 0, proxy.addr));
        fleet.add_member("i-1", "b").await;
        fleet.reach(1, Duration::from_secs(3)).await;
        let opened = async || proxy.accepted.load(Ordering::SeqCst) >= 1;
        until(Duration::from_secs(3), "first stream", opened).await;
        pause(500).await;
        proxy.silence_open();
        // A ping each second, 3 s for its answer, then a new connection.
        let reopened = async || proxy.accepted.load(Ordering::SeqCst) >= 2;
        until(Duration::from_secs(5), "second stream", reopened).await;
        // What i-1 knows reaches i-0 over the new stream, with the log down.
        fleet.log.set_faults(down());
        let answer = fleet.zone(1, "out", "c", 0, true).await;
        assert_eq!(answer["code"], 6002, "{answer}");
        pause(300).await;
        let before = fleet.ran(|e| e.zone.as_str() == "c");
        for _ in 0..30 {
            fleet::call(fleet.members[0].entry, "/").await.unwrap();
        }
        assert_eq!(fleet.ran(|e| e.zone.as_str() == "c"), before);
    });
}

/// An instance that was cut off during an outage of the log would keep an older configuration.
#[test]
fn reconnected_instance_catches_up_from_peer() {
    run(async {
        let mut fleet = Fleet::start(2, 3, 5).await;
        fleet.add_member("i-2", "c").await;
        fleet.reach(1, Duration::from_secs(2)).await;
        fleet.settle().await;
        fleet.members[2].kill();
        let answer = fleet.publish(0, "later", 1, &document("# later")).await;
        let offset = answer["offset"].as_u64().unwrap();
        fleet.log.set_faults(down());
        // The same instance under a new process, which speaks before the list shows its address.
        fleet.list.set_lag(Duration::from_secs(1));
        fleet.add_member("i-2", "c").await;
        fleet.reach(offset, Duration::from_secs(5)).await;
    });
}

/// Control traffic would grow with the number of instances beyond what was agreed.
#[test]
fn heartbeats_of_16_stay_in_budget() {
    run(async {
        let fleet = Fleet::start(16, 3, 5).await;
        pause(1_500).await;
        let bytes = |fleet: &Fleet| -> Vec<u64> {
            let nodes = fleet.members.iter().filter_map(|m| m.node.as_ref());
            nodes
                .map(node::Node::peer_bytes)
                .map(|(sent, received)| sent + received)
                .collect()
        };
        let before = bytes(&fleet);
        pause(3_000).await;
        let after = bytes(&fleet);
        let rates = before.iter().zip(&after).map(|(b, a)| (a - b) / 3);
        let most = rates.max().unwrap();
        println!("at most {most} bytes/s sent and received by one of 16 idle instances");
        assert!(most > 0 && most < 9_000, "{most} bytes/s");
    });
}
