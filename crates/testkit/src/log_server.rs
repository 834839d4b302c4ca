//! Test double of the platform's log service: append-only streams with offsets and retention.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_std::task;
use http_types::{Method, Request, Response, StatusCode};
use wire::{AppendAnswer, AppendRequest, LogEntry, ReadAnswer};

use crate::{HttpServer, json_response};

/// Interval at which a waiting read looks for new records.
const POLL: Duration = Duration::from_millis(5);

/// Faults of the log service.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogFaults {
    /// Answers nothing but status 503.
    pub down: bool,
    /// Delays every answer, in milliseconds.
    pub delay_ms: u64,
    /// Appends the records of this many further appends but breaks the connection without answer.
    pub lose_answers: u32,
}

#[derive(Debug, Default)]
struct Streams {
    faults: LogFaults,
    by_name: HashMap<String, Records>,
    appends: u64,
}

#[derive(Debug)]
struct Records {
    first: u64,
    kept: VecDeque<String>,
}

impl Default for Records {
    fn default() -> Self {
        Self {
            first: 1,
            kept: VecDeque::new(),
        }
    }
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
        let mut streams = lock(&self.streams);
        let records = streams.by_name.entry(stream.to_owned()).or_default();
        while records.first < first && records.kept.pop_front().is_some() {
            records.first += 1;
        }
    }

    /// Appends a line as another writer would.
    pub fn push(&self, stream: &str, line: &str) {
        let mut streams = lock(&self.streams);
        streams
            .by_name
            .entry(stream.to_owned())
            .or_default()
            .kept
            .push_back(line.to_owned());
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

impl Records {
    fn next(&self) -> u64 {
        self.first + self.kept.len() as u64
    }

    fn read(&self, from: u64, limit: usize) -> Vec<LogEntry> {
        let skip = usize::try_from(from.saturating_sub(self.first)).unwrap_or(usize::MAX);
        let kept = self.kept.iter().enumerate().skip(skip).take(limit);
        kept.map(|(i, data)| LogEntry {
            offset: self.first + i as u64,
            data: data.clone(),
        })
        .collect()
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
            append(&streams, name, body)
        }
        Method::Get => read(&streams, name, &req).await,
        _ => Ok(Response::new(StatusCode::MethodNotAllowed)),
    }
}

fn append(
    streams: &Mutex<Streams>,
    name: &str,
    body: AppendRequest,
) -> http_types::Result<Response> {
    let mut streams = lock(streams);
    streams.appends += 1;
    let records = streams.by_name.entry(name.to_owned()).or_default();
    let offset = records.next();
    records.kept.extend(body.records);
    if streams.faults.lose_answers > 0 {
        streams.faults.lose_answers -= 1;
        return Err(http_types::Error::from_str(
            StatusCode::InternalServerError,
            "answer lost",
        ));
    }
    json_response(&AppendAnswer { offset })
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
