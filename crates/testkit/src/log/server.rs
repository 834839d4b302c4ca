//! A running log service: append-only streams with offsets and retention.

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

/// Interval at which a waiting read looks for new records.
const POLL: Duration = Duration::from_millis(5);

#[derive(Debug, Default)]
struct Streams {
    faults: LogFaults,
    by_name: HashMap<String, Records>,
    appends: u64,
}

/// A running log service.
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

    /// Where it listens.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: LogFaults) {
        lock(&self.streams).faults = faults;
    }

    /// Removes all records of a stream before `first`.
    pub fn expire(&self, stream: &str, first: u64) {
        self.edit(stream, |r| r.expire(first));
    }

    /// Appends a line as another writer would.
    pub fn push(&self, stream: &str, line: &str) {
        self.edit(stream, |r| r.push(line.to_owned()));
    }

    /// Appends the first half of a line, as a writer that died midway would.
    pub fn push_torn(&self, stream: &str, line: &str) {
        let half = line.chars().take(line.chars().count() / 2).collect();
        self.edit(stream, |r| r.push(half));
    }

    /// Appends the record at `offset` again. Returns whether it is still kept.
    #[must_use]
    pub fn push_again(&self, stream: &str, offset: u64) -> bool {
        self.edit(stream, |records| {
            let found = records.read(offset, 1).pop();
            let found = found.filter(|e| e.offset == offset);
            found.map(|e| records.push(e.data)).is_some()
        })
    }

    fn edit<T>(&self, stream: &str, edit: impl FnOnce(&mut Records) -> T) -> T {
        let mut streams = lock(&self.streams);
        edit(streams.by_name.entry(stream.to_owned()).or_default())
    }

    /// Records of a stream that are still kept.
    #[must_use]
    pub fn records(&self, stream: &str) -> Vec<LogEntry> {
        lock(&self.streams)
            .by_name
            .get(stream)
            .map_or_else(Vec::new, |r| r.read(0, usize::MAX))
    }

    /// Append requests taken so far.
    #[must_use]
    pub fn appends(&self) -> u64 {
        lock(&self.streams).appends
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
    streams.appends += 1;
    if take_one(&mut streams.faults.lose_requests) {
        return Err(lost());
    }
    let tear = take_one(&mut streams.faults.tear_appends);
    let double = take_one(&mut streams.faults.double_appends);
    let keep = streams.faults.keep;
    let records = streams.by_name.entry(name.to_owned()).or_default();
    let offset = records.next();
    for line in body
        .records
        .iter()
        .cycle()
        .take(body.records.len() << u32::from(double))
    {
        let kept = line.chars().count() >> u32::from(tear);
        records.push(line.chars().take(kept).collect());
    }
    if keep > 0 {
        records.trim(keep);
    }
    if take_one(&mut streams.faults.lose_answers) {
        return Err(lost());
    }
    json_response(&AppendAnswer { offset })
}

/// Uses up one of a number of faults, if any is left.
const fn take_one(left: &mut u32) -> bool {
    let any = *left > 0;
    *left = left.saturating_sub(1);
    any
}

/// An error that breaks the connection without an answer.
fn lost() -> http_types::Error {
    http_types::Error::from_str(StatusCode::InternalServerError, "answer lost")
}

async fn read(streams: &Mutex<Streams>, name: &str, req: &Request) -> http_types::Result<Response> {
    let query: HashMap<String, u64> = req.query()?;
    let number = |key: &str, default| query.get(key).copied().unwrap_or(default);
    let from = number("from", 1);
    let limit = usize::try_from(number("limit", 256))?;
    let until = Instant::now() + Duration::from_millis(number("wait_ms", 0));
    loop {
        let (answer, down) = {
            let mut streams = lock(streams);
            let down = streams.faults.down;
            let records = streams.by_name.entry(name.to_owned()).or_default();
            let answer = ReadAnswer {
                first: records.first,
                next: records.next(),
                records: records.read(from, limit),
            };
            (answer, down)
        };
        if down {
            return Ok(Response::new(StatusCode::ServiceUnavailable));
        }
        if !answer.records.is_empty() || Instant::now() >= until {
            return json_response(&answer);
        }
        task::sleep(POLL).await;
    }
}
