//! Memory of idempotency keys in a real instance.

use std::{error::Error, time::Duration};

use async_std::{net::TcpStream, task};
use futures::future::join_all;
use testkit::{CallSpec, ListServer, LogServer, Upstream, UpstreamSpec, send_call};

use crate::{
    report::Report,
    start::{child, wait_offset},
    world::{document_lines, target},
};

/// Keys at which memory is looked at. The largest stays within the table.
const KEYS: [usize; 4] = [5_000, 20_000, 40_000, 80_000];
const WORKERS: usize = 32;
const SLOTS: u32 = 10_000;
/// Upstreams, enough for no call to wait for a connection.
const TARGETS: usize = 40;

pub async fn measure(report: Report) -> Result<(), Box<dyn Error>> {
    let (log, list) = (LogServer::start().await, ListServer::start().await);
    let spec = UpstreamSpec {
        slots: SLOTS,
        mean_us: 0.0,
        sigma: 0.0,
        seed: 1,
    };
    let mut upstreams = Vec::new();
    for number in 0..TARGETS {
        let upstream = Upstream::start(spec).await;
        let mut entry = target(number, 1);
        entry.addr = upstream.addr();
        entry.slots = Some(SLOTS);
        list.put(entry);
        upstreams.push(upstream);
    }
    for line in document_lines(3, 3, 1)? {
        log.push("hibiscusway", &line);
    }
    let instance = child("keys", log.addr(), list.addr())?;
    wait_offset(instance.addr, 3, Duration::from_secs(10)).await?;
    // Connections, buffers and the targets' limits are in place before keys are counted.
    call_all(instance.addr, "warm", 4_000, false).await;
    let start = instance.resident_bytes()?;
    let (mut sent, mut served) = (0, 0);
    for keys in KEYS {
        let name = format!("k-{keys}");
        served += call_all(instance.addr, &name, keys - sent, true).await;
        sent = keys;
        let grown = instance.resident_bytes()?.saturating_sub(start) as f64;
        let size = format!("{keys} sent, {served} served");
        report.row("keys", "memory", &size, "B", &[grown]);
        report.row(
            "keys",
            "memory per key",
            &size,
            "B",
            &[grown / served as f64],
        );
    }
    Ok(())
}

async fn call_all(addr: std::net::SocketAddr, name: &str, calls: usize, keyed: bool) -> usize {
    let workers = (0..WORKERS).map(|worker| {
        let name = format!("{name}-{worker}");
        let share = calls / WORKERS + usize::from(worker < calls % WORKERS);
        task::spawn(call_some(addr, name, share, keyed))
    });
    join_all(workers).await.into_iter().sum()
}

async fn call_some(addr: std::net::SocketAddr, name: String, calls: usize, keyed: bool) -> usize {
    let mut served = 0;
    let mut kept = None;
    for number in 0..calls {
        let stream = match kept.take() {
            Some(stream) => stream,
            None => match TcpStream::connect(addr).await {
                Ok(stream) => stream,
                Err(_) => continue,
            },
        };
        // Head and body are written apart; without this each call waits for a delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        let key = format!("{name}-{number}");
        let headers = [("x-service-us", "1000"), ("idempotency-key", key.as_str())];
        let spec = CallSpec {
            service: "service-00",
            class: "confirmation",
            path: "/",
            body: &[b'r'; 64],
            headers: &headers[..=usize::from(keyed)],
        };
        let answer = Box::pin(send_call(stream.clone(), addr, &spec)).await;
        if answer.is_ok_and(|a| a.status == 200) {
            served += 1;
            kept = Some(stream);
        }
    }
    served
}
