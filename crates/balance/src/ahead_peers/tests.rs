use super::*;

fn at(ms: u64) -> Time {
    Time(0).plus_ms(ms)
}

fn offset(offset: u64) -> Position {
    Position { era: 1, offset }
}

fn peer(number: u8, next: u64, config_version: u64) -> PeerAhead {
    PeerAhead {
        addr: SocketAddr::from(([10, 0, 0, number], 7_300)),
        has_records: true,
        next: offset(next),
        as_of: at(0),
        config_version,
    }
}

fn order(peers: &AheadPeers, next: u64, config_version: u64, now: Time) -> Vec<u8> {
    let asked = peers.to_ask(offset(next), config_version, now).into_iter();
    asked
        .map(|peer| match peer.addr.ip() {
            std::net::IpAddr::V4(ip) => ip.octets()[3],
            std::net::IpAddr::V6(_) => unreachable!(),
        })
        .collect()
}

/// Guards against an instance that asks a peer which has just ended again, though others know as much.
#[test]
fn to_ask_puts_failed_peers_last() {
    let mut peers = AheadPeers::default();
    for word in [peer(1, 9, 5), peer(2, 8, 5), peer(3, 7, 5)] {
        peers.record(word, at(10));
    }
    assert_eq!(order(&peers, 6, 5, at(20)), [1, 2, 3]);
    peers.record_failure(peer(1, 0, 0).addr, at(20));
    peers.record_failure(peer(2, 0, 0).addr, at(30));
    peers.record(peer(1, 10, 6), at(40));
    assert_eq!(order(&peers, 6, 5, at(50)), [3, 1, 2]);
}

#[test]
fn to_ask_leaves_out_peers_behind_and_old_words() {
    let mut peers = AheadPeers::default();
    peers.record(peer(1, 9, 5), at(0));
    peers.record(peer(2, 7, 6), at(2_000));
    assert_eq!(order(&peers, 8, 5, at(2_500)), [1, 2]);
    assert_eq!(order(&peers, 9, 6, at(2_500)), [0_u8; 0]);
    assert_eq!(order(&peers, 8, 5, at(3_500)), [2]);
}
