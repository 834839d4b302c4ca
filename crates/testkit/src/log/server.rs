//! The HTTP server of the log service: append-only streams with offsets and retention.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_std::task;
use http_types::{Method, Request, Response, StatusCode};
use wire::{AppendAnswer, AppendRequest, LogEntry, ReadAnswer};

use super::{LogFaults, records::Records};
use crate::{HttpServer, json_response};

/// Interval at which a waiting read checks for new records.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Debug, Default)]
struct Streams {
    faults: LogFaults,
    by_name: HashMap<String, Records>,
    append_requests: u64,
}

/// A running log service. Dropping it closes its connections.
#[derive(Debug)]
pub struct LogServer {
    streams: Arc<Mutex<Streams>>,
    server: HttpServer,
}

impl LogServer {
    /// Starts an empty log service.
    pub async fn start() -> Self {
        let streams = Arc::new(Mutex::new(Streams::default()));
        let shared = Arc::clone(&streams);
        let server = HttpServer::start(move |req, _| handle(Arc::clone(&shared), req)).await;
        Self { streams, server }
    }

    /// Returns the address that the service listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces the faults from the next request on.
    pub fn set_faults(&self, faults: LogFaults) {
        lock(&self.streams).faults = faults;
    }

    /// Removes all records of a stream before `first_offset`.
    pub fn expire(&self, stream: &str, first_offset: u64) {
        self.edit(stream, |r| r.expire(first_offset));
    }

    /// Appends a record as another writer would.
    pub fn push(&self, stream: &str, line: &str) {
        self.edit(stream, |r| r.push(line.to_owned()));
    }

    /// Appends the first half of a record, as a writer that crashed while writing would.
    pub fn push_truncated(&self, stream: &str, line: &str) {
        let half = line.chars().take(line.chars().count() / 2).collect();
        self.edit(stream, |r| r.push(half));
    }

    /// Appends a copy of the record at `offset`. Returns `false` if the record is no longer
    /// retained.
    #[must_use]
    pub fn push_copy(&self, stream: &str, offset: u64) -> bool {
        self.edit(stream, |records| {
            let found = records.read(offset, 1).pop();
            let found = found.filter(|e| e.offset == offset);
            found.map(|e| records.push(e.data)).is_some()
        })
    }

    /// Changes the records of a stream, which is created if it does not exist.
    fn edit<T>(&self, stream: &str, edit: impl FnOnce(&mut Records) -> T) -> T {
        let mut streams = lock(&self.streams);
        edit(streams.by_name.entry(stream.to_owned()).or_default())
    }

    /// Returns the retained records of a stream.
    #[must_use]
    pub fn records(&self, stream: &str) -> Vec<LogEntry> {
        lock(&self.streams)
            .by_name
            .get(stream)
            .map_or_else(Vec::new, |r| r.read(0, usize::MAX))
    }

    /// Returns the number of append requests received so far.
    #[must_use]
    pub fn append_requests(&self) -> u64 {
        lock(&self.streams).append_requests
    }
}

fn lock(streams: &Mutex<Streams>) -> MutexGuard<'_, Streams> {
    streams.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle(streams: Arc<Mutex<Streams>>, mut req: Request) -> http_types::Result<Response> {
    let faults = lock(&streams).faults;
    task::sleep(Duration::from_millis(faults.delay_ms)).await;
    if faults.down {
        return Ok(Response::new(StatusCode::ServiceUnavailable));
    }
    let path = req.url().path().to_owned();
    let Some(name) = path
        .strip_prefix("/v1/streams/")
        .and_then(|p| p.strip_suffix("/records"))
    else {
        return Ok(Response::new(StatusCode::NotFound));
    };
    match req.method() {
        Method::Post => {
            let body: AppendRequest = req.body_json().await?;
            append(&streams, name, &body)
        }
        Method::Get => read(&streams, name, &req).await,
        _ => Ok(Response::new(StatusCode::MethodNotAllowed)),
    }
}

fn append(
    streams: &Mutex<Streams>,
    name: &str,
    body: &AppendRequest,
) -> http_types::Result<Response> {
    let mut streams = lock(streams);
    streams.append_requests += 1;
    if take_one(&mut streams.faults.lost_requests) {
        return Err(broken_connection());
    }
    let truncate = take_one(&mut streams.faults.truncated_appends);
    let duplicate = take_one(&mut streams.faults.duplicated_appends);
    let max_records = streams.faults.max_records;
    let records = streams.by_name.entry(name.to_owned()).or_default();
    let offset = records.next_offset();
    for line in body
        .records
        .iter()
        .cycle()
        .take(body.records.len() << u32::from(duplicate))
    {
        let len = line.chars().count() >> u32::from(truncate);
        records.push(line.chars().take(len).collect());
    }
    if max_records > 0 {
        records.trim(max_records);
    }
    if take_one(&mut streams.faults.lost_responses) {
        return Err(broken_connection());
    }
    json_response(&AppendAnswer { offset })
}

/// Decrements a number of further faults. Returns whether it was above 0.
const fn take_one(remaining: &mut u32) -> bool {
    let has_any = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    has_any
}

/// Returns an error that makes the server close the connection without a response.
fn broken_connection() -> http_types::Error {
    http_types::Error::from_str(
        StatusCode::InternalServerError,
        "response lost by a fault of the log service",
    )
}

async fn read(streams: &Mutex<Streams>, name: &str, req: &Request) -> http_types::Result<Response> {
    let query: HashMap<String, u64> = req.query()?;
    let number = |key: &str, default| query.get(key).copied().unwrap_or(default);
    let from = number("from", 1);
    let limit = usize::try_from(number("limit", 256))?;
    let until = Instant::now() + Duration::from_millis(number("wait_ms", 0));
    loop {
        let (response, down) = {
            let mut streams = lock(streams);
            let down = streams.faults.down;
            let records = streams.by_name.entry(name.to_owned()).or_default();
            let response = ReadAnswer {
                first: records.first_offset,
                next: records.next_offset(),
                records: records.read(from, limit),
            };
            (response, down)
        };
        if down {
            return Ok(Response::new(StatusCode::ServiceUnavailable));
        }
        if !response.records.is_empty() || Instant::now() >= until {
            return json_response(&response);
        }
        task::sleep(POLL_INTERVAL).await;
    }
}
