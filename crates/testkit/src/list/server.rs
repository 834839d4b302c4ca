//! A running instance list.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use http_types::{Method, Request, Response, StatusCode};
use wire::{EntryState, ListAnswer, ListEntry};

use crate::{HttpServer, json_response};

/// Time for which earlier contents are kept; the largest lag.
const MAX_LAG: Duration = Duration::from_mins(1);

#[derive(Debug, Default)]
struct Entries {
    version: u64,
    current: BTreeMap<String, ListEntry>,
    lag: Duration,
    down: bool,
    empty: bool,
    flapping: Option<Duration>,
    wrong: BTreeMap<String, EntryState>,
    /// Earlier contents and the time at which each was replaced, oldest first.
    history: Vec<(Instant, ListAnswer)>,
}

/// A running instance list.
#[derive(Debug)]
pub struct ListServer {
    entries: Arc<Mutex<Entries>>,
    server: HttpServer,
}

impl ListServer {
    /// Starts an empty list.
    pub async fn start() -> Self {
        let entries = Arc::new(Mutex::new(Entries::default()));
        let shared = Arc::clone(&entries);
        let server = HttpServer::start(move |req, _| handle(Arc::clone(&shared), req)).await;
        Self { entries, server }
    }

    /// Where it listens.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Adds or replaces an entry.
    pub fn put(&self, entry: ListEntry) {
        change(&self.entries, |e| {
            e.current.insert(entry.id.clone(), entry);
        });
    }

    /// Removes an entry.
    pub fn remove(&self, id: &str) {
        change(&self.entries, |e| {
            e.current.remove(id);
        });
    }

    /// Answers with the contents of `lag` ago.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.entries).lag = lag;
    }

    /// Answers with status 503.
    pub fn set_down(&self, down: bool) {
        lock(&self.entries).down = down;
    }

    /// Answers with no entries.
    pub fn set_empty(&self, empty: bool) {
        lock(&self.entries).empty = empty;
    }

    /// Leaves every other entry out during every other `period`. `None` ends that.
    pub fn set_flapping(&self, period: Option<Duration>) {
        lock(&self.entries).flapping = period;
    }

    /// Answers with a state of one entry that is not the registered one. `None` ends that.
    pub fn set_wrong_state(&self, id: &str, state: Option<EntryState>) {
        let mut entries = lock(&self.entries);
        match state {
            Some(state) => entries.wrong.insert(id.to_owned(), state),
            None => entries.wrong.remove(id),
        };
    }

    /// Present contents, without lag.
    #[must_use]
    pub fn entries(&self) -> Vec<ListEntry> {
        lock(&self.entries).current.values().cloned().collect()
    }
}

fn lock(entries: &Mutex<Entries>) -> MutexGuard<'_, Entries> {
    entries.lock().unwrap_or_else(PoisonError::into_inner)
}

fn change(entries: &Mutex<Entries>, edit: impl FnOnce(&mut Entries)) {
    let mut entries = lock(entries);
    let before = current(&entries);
    let now = Instant::now();
    entries
        .history
        .retain(|(at, _)| now.duration_since(*at) < MAX_LAG);
    entries.history.push((now, before));
    edit(&mut entries);
    entries.version += 1;
}

fn current(entries: &Entries) -> ListAnswer {
    ListAnswer {
        version: entries.version,
        entries: entries.current.values().cloned().collect(),
    }
}

/// Contents as they were `lag` ago.
fn lagged(entries: &Entries) -> ListAnswer {
    let Some(then) = Instant::now().checked_sub(entries.lag) else {
        return current(entries);
    };
    let replaced = entries.history.iter().find(|(at, _)| *at > then);
    replaced.map_or_else(|| current(entries), |(_, answer)| answer.clone())
}

/// The answer to a read, with all faults.
fn answer(entries: &Entries) -> ListAnswer {
    if entries.empty {
        return ListAnswer::default();
    }
    let mut answer = lagged(entries);
    for entry in &mut answer.entries {
        if let Some(state) = entries.wrong.get(&entry.id) {
            entry.state = *state;
        }
    }
    if entries.flapping.is_some_and(is_off) {
        let mut number = 0;
        answer.entries.retain(|_| {
            number += 1;
            number % 2 == 0
        });
    }
    answer
}

/// Whether equal versions mean equal contents, which faults may break.
fn is_sound(entries: &Entries) -> bool {
    !entries.empty && entries.flapping.is_none() && entries.wrong.is_empty()
}

/// Whether the present period is one in which entries are left out.
fn is_off(period: Duration) -> bool {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = since.unwrap_or_default().as_millis();
    (ms / period.as_millis().max(1)) % 2 == 1
}

async fn handle(entries: Arc<Mutex<Entries>>, mut req: Request) -> http_types::Result<Response> {
    if lock(&entries).down {
        return Ok(Response::new(StatusCode::ServiceUnavailable));
    }
    let path = req.url().path().to_owned();
    if path == "/v1/instances" && req.method() == Method::Get {
        let (answer, sound) = {
            let entries = lock(&entries);
            (answer(&entries), is_sound(&entries))
        };
        let after = format!("after={}", answer.version);
        if sound && req.url().query() == Some(&after) {
            return Ok(Response::new(StatusCode::NotModified));
        }
        return json_response(&answer);
    }
    let Some(id) = path.strip_prefix("/v1/instances/") else {
        return Ok(Response::new(StatusCode::NotFound));
    };
    match req.method() {
        Method::Put => {
            let entry: ListEntry = req.body_json().await?;
            change(&entries, |e| {
                e.current.insert(id.to_owned(), entry);
            });
        }
        Method::Delete => change(&entries, |e| {
            e.current.remove(id);
        }),
        _ => return Ok(Response::new(StatusCode::MethodNotAllowed)),
    }
    json_response(&serde_json::json!({}))
}
