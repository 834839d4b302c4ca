//! Time from the start of an instance's process until it has applied the whole log.

use std::{
    error::Error,
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_std::task;
use testkit::{ChildInstance, ListServer, LogServer, built_binary, query_addresses};

use crate::{
    report::Report,
    world::{document_lines, list},
};

const STREAM: &str = "hibiscusway";
const ZONE: &str = "sk-central-a";
const SERVICES: usize = 33;
const LIMIT: Duration = Duration::from_secs(30);
const ROUNDS: usize = 3;

pub async fn measure(report: Report) -> Result<(), Box<dyn Error>> {
    for records in [100, 1_000, 5_000] {
        let (log, entries) = (LogServer::start().await, ListServer::start().await);
        for line in document_lines(records, SERVICES, 1)? {
            log.push(STREAM, &line);
        }
        for entry in list(730, 0, SERVICES).entries {
            entries.put(entry);
        }
        let mut rounds = Vec::new();
        let mut memory = Vec::new();
        for round in 0..ROUNDS {
            let began = Instant::now();
            let name = format!("start-{records}-{round}");
            let instance = child(&name, log.addr(), entries.addr())?;
            wait_offset(instance.addr, records as u64, LIMIT).await?;
            rounds.push(began.elapsed().as_secs_f64() * 1e3);
            memory.push(instance.resident_bytes()? as f64);
        }
        let size = format!("{records} records, 730 targets");
        report.row("start", "until the log is applied", &size, "ms", &rounds);
        report.row("start", "resident memory then", &size, "B", &memory);
    }
    Ok(())
}

/// The shipped binary in a process of its own.
pub fn child(id: &str, log: SocketAddr, list: SocketAddr) -> Result<ChildInstance, Box<dyn Error>> {
    let binary = built_binary()
        .ok_or("the binary was not built: run `cargo build --release -p hibiscusway`")?;
    let more = "threads = 2\n";
    Ok(ChildInstance::start_with_settings(
        &binary, id, ZONE, log, list, more,
    )?)
}

/// Waits until an instance has applied the record at `offset`.
pub async fn wait_offset(
    addr: SocketAddr,
    offset: u64,
    limit: Duration,
) -> Result<(), Box<dyn Error>> {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        let answer = query_addresses(addr, "service-00", ZONE).await;
        if answer.is_some_and(|a| a.offset >= offset) {
            return Ok(());
        }
        task::sleep(Duration::from_millis(5)).await;
    }
    Err(format!("offset {offset} was not reached within {limit:?}").into())
}
