//! Guards against more connections to a target than the limit, and against reuse of connections that
//! the target closed, that have unread bytes, or that are too old for a non-idempotent call.

use async_std::{io::WriteExt, net::TcpListener, task};

use super::*;

const LIMIT: Duration = Duration::from_secs(1);

async fn open(pools: &Pools, listener: &TcpListener) -> (Conn, TcpStream) {
    let addr = listener.local_addr().unwrap();
    let conn = pools.get(addr, true, LIMIT).await.unwrap();
    let (peer, _) = listener.accept().await.unwrap();
    (conn, peer)
}

async fn wait_for_delivery() {
    task::sleep(Duration::from_millis(20)).await;
}

#[test]
fn get_stops_at_limit() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let pools = Pools::default();
        let mut in_use = Vec::new();
        for _ in 0..MAX_OPEN {
            in_use.push(open(&pools, &listener).await);
        }
        assert!(pools.get(addr, true, LIMIT).await.is_err());
        in_use.pop();
        assert!(pools.get(addr, true, LIMIT).await.is_ok());
    });
}

#[test]
fn keep_then_reuse() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let pools = Pools::default();
        let (conn, _peer) = open(&pools, &listener).await;
        let first = conn.stream().local_addr().unwrap();
        conn.keep();
        let again = pools.get(addr, false, LIMIT).await.unwrap();
        assert_eq!(again.stream().local_addr().unwrap(), first);
    });
}

#[test]
fn keep_closed_by_target() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let pools = Pools::default();
        let (conn, peer) = open(&pools, &listener).await;
        let first = conn.stream().local_addr().unwrap();
        conn.keep();
        drop(peer);
        wait_for_delivery().await;
        let again = pools.get(addr, true, LIMIT).await.unwrap();
        assert_ne!(again.stream().local_addr().unwrap(), first);
    });
}

#[test]
fn keep_with_unexpected_bytes() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let pools = Pools::default();
        let (conn, mut peer) = open(&pools, &listener).await;
        let first = conn.stream().local_addr().unwrap();
        conn.keep();
        peer.write_all(b"HTTP/1.1 200 OK\r\n").await.unwrap();
        wait_for_delivery().await;
        let again = pools.get(addr, true, LIMIT).await.unwrap();
        assert_ne!(again.stream().local_addr().unwrap(), first);
    });
}

#[test]
fn take_by_age() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let pools = Pools::default();
        let (conn, _peer) = open(&pools, &listener).await;
        conn.keep();
        let pool = pools.pool(addr);
        assert!(pool.take(Duration::ZERO).is_none());
        assert!(pool.take(MAX_IDLE).is_some());
    });
}

#[test]
fn close_siblings_empties_queue() {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let pools = Pools::default();
        let (silent, _first) = open(&pools, &listener).await;
        let (conn, _second) = open(&pools, &listener).await;
        conn.keep();
        silent.close_siblings();
        assert!(pools.pool(addr).take(MAX_IDLE).is_none());
    });
}
