//! Large bodies in both directions. Guards against bodies that are collected in memory, and against
//! upstreams that are read faster than the caller takes the answer.

mod common;

use std::{
    fs,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_std::{
    io::{self, ReadExt, WriteExt},
    net::{TcpListener, TcpStream},
    task,
};

use common::{Rig, call_head};

const CHUNK: usize = 64 * 1024;
/// Growth of the resident set that the buffers of one call, the sockets' peers in this process and
/// the allocator may cause. It does not depend on the size of the body.
const MAX_GROWTH: u64 = 8 * 1024 * 1024;

/// Resident set of this process in bytes.
fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap();
    let pages: u64 = text.split(' ').nth(1).unwrap().parse().unwrap();
    pages * 4_096
}

/// An upstream that reads a body of `size` bytes, then sends one, and counts what it sent.
async fn bulk_upstream(size: usize, sent: Arc<AtomicU64>) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    task::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).await.unwrap();
            head.push(byte[0]);
        }
        let body = (&stream).take(size as u64);
        let got = io::copy(body, io::sink()).await.unwrap();
        assert_eq!(got, size as u64);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        send_bulk(&mut stream, size, &sent).await;
    });
    addr
}

async fn send_bulk(stream: &mut TcpStream, size: usize, sent: &AtomicU64) {
    let chunk = vec![b'x'; CHUNK];
    let mut left = size;
    while left > 0 {
        let count = left.min(CHUNK);
        if stream.write_all(&chunk[..count]).await.is_err() {
            return;
        }
        sent.fetch_add(count as u64, Ordering::SeqCst);
        left -= count;
    }
}

/// Passes `size` bytes through an instance in each direction; growth of the resident set.
async fn pass_both_ways(size: usize) -> u64 {
    let addr = bulk_upstream(size, Arc::default()).await;
    let rig = Rig::start(addr, 3).await;
    let before = resident();
    let peak = Arc::new(AtomicU64::new(before));
    let sampler = {
        let peak = Arc::clone(&peak);
        task::spawn(async move {
            loop {
                peak.fetch_max(resident(), Ordering::SeqCst);
                task::sleep(Duration::from_millis(2)).await;
            }
        })
    };
    let mut caller = rig.connect().await;
    let extra = "connection: close\r\nhw-deadline-ms: 60000\r\n";
    caller
        .write_all(&call_head("confirmation", extra, size))
        .await
        .unwrap();
    send_bulk(&mut caller, size, &AtomicU64::new(0)).await;
    let got = io::copy(&mut caller, &mut io::sink()).await.unwrap();
    assert!(got > size as u64, "{got} of {size} bytes and a head");
    sampler.cancel().await;
    peak.load(Ordering::SeqCst) - before
}

#[test]
fn bodies_pass_with_bounded_memory() {
    task::block_on(async {
        let growth = pass_both_ways(32 * 1024 * 1024).await;
        assert!(growth < MAX_GROWTH, "resident set grew by {growth} bytes");
    });
}

/// Run with `cargo test -p hibiscusway --release --test streaming -- --ignored --nocapture`.
#[test]
#[ignore = "takes seconds; the same with a smaller body runs always"]
fn bodies_of_200_mb() {
    task::block_on(async {
        let growth = pass_both_ways(200 * 1000 * 1000).await;
        println!("resident set grew by {} KiB", growth / 1024);
        assert!(growth < MAX_GROWTH, "resident set grew by {growth} bytes");
    });
}

#[test]
fn slow_caller_slows_upstream() {
    task::block_on(async {
        let size = 64 * 1024 * 1024;
        let sent = Arc::new(AtomicU64::new(0));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let counter = Arc::clone(&sent);
        task::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buf = [0; 4_096];
            let _ = stream.read(&mut buf).await;
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n");
            stream.write_all(head.as_bytes()).await.unwrap();
            send_bulk(&mut stream, size, &counter).await;
        });
        let rig = Rig::start(addr, 3).await;
        let mut caller = rig.connect().await;
        caller.write_all(&call_head("lookup", "", 0)).await.unwrap();
        let mut before = u64::MAX;
        while before != sent.load(Ordering::SeqCst) {
            before = sent.load(Ordering::SeqCst);
            task::sleep(Duration::from_millis(200)).await;
        }
        // What left the upstream waits in the buffers of the sockets, not in the instance.
        assert!(before < size as u64 / 2, "{before} bytes left the upstream");
    });
}
