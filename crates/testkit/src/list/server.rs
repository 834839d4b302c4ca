//! The HTTP server of the instance list.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use http_types::{Method, Request, Response, StatusCode};
use wire::{EntryState, ListAnswer, ListEntry};

use crate::{HttpServer, json_response};

/// Time for which earlier contents are retained, which is also the largest supported lag.
const MAX_LAG: Duration = Duration::from_mins(1);

#[derive(Debug, Default)]
struct ListState {
    version: u64,
    entries: BTreeMap<String, ListEntry>,
    lag: Duration,
    down: bool,
    empty: bool,
    /// Period of the flapping fault, if it is on.
    flapping: Option<Duration>,
    /// States that are reported instead of the registered ones, by entry id.
    wrong_states: BTreeMap<String, EntryState>,
    /// Earlier contents and the time at which each was replaced, oldest first.
    history: Vec<(Instant, ListAnswer)>,
}

/// A running instance list. Dropping it closes its connections.
#[derive(Debug)]
pub struct ListServer {
    state: Arc<Mutex<ListState>>,
    server: HttpServer,
}

impl ListServer {
    /// Starts an empty list.
    pub async fn start() -> Self {
        let state = Arc::new(Mutex::new(ListState::default()));
        let shared = Arc::clone(&state);
        let server = HttpServer::start(move |req, _| handle(Arc::clone(&shared), req)).await;
        Self { state, server }
    }

    /// Returns the address that the list listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Adds an entry or replaces the one with the same id.
    pub fn put(&self, entry: ListEntry) {
        change(&self.state, |s| {
            s.entries.insert(entry.id.clone(), entry);
        });
    }

    /// Removes an entry.
    pub fn remove(&self, id: &str) {
        change(&self.state, |s| {
            s.entries.remove(id);
        });
    }

    /// Makes reads return the contents that the list had `lag` ago.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.state).lag = lag;
    }

    /// Makes the list answer all requests with status 503.
    pub fn set_down(&self, down: bool) {
        lock(&self.state).down = down;
    }

    /// Makes reads return no entries.
    pub fn set_empty(&self, empty: bool) {
        lock(&self.state).empty = empty;
    }

    /// Makes reads omit every other entry during every other `period`. `None` switches this off.
    pub fn set_flapping(&self, period: Option<Duration>) {
        lock(&self.state).flapping = period;
    }

    /// Makes reads return `state` instead of the registered state of an entry. `None` switches this
    /// off.
    pub fn set_wrong_state(&self, id: &str, state: Option<EntryState>) {
        let mut list = lock(&self.state);
        match state {
            Some(state) => list.wrong_states.insert(id.to_owned(), state),
            None => list.wrong_states.remove(id),
        };
    }

    /// Returns the registered entries, without lag and faults.
    #[must_use]
    pub fn entries(&self) -> Vec<ListEntry> {
        lock(&self.state).entries.values().cloned().collect()
    }
}

fn lock(state: &Mutex<ListState>) -> MutexGuard<'_, ListState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Changes the entries, saves the previous contents and increments the version.
fn change(state: &Mutex<ListState>, edit: impl FnOnce(&mut ListState)) {
    let mut state = lock(state);
    let before = current_list(&state);
    let now = Instant::now();
    state
        .history
        .retain(|(at, _)| now.duration_since(*at) < MAX_LAG);
    state.history.push((now, before));
    edit(&mut state);
    state.version += 1;
}

fn current_list(state: &ListState) -> ListAnswer {
    ListAnswer {
        version: state.version,
        entries: state.entries.values().cloned().collect(),
    }
}

/// Returns the contents that the list had `lag` ago.
fn lagged_list(state: &ListState) -> ListAnswer {
    let Some(then) = Instant::now().checked_sub(state.lag) else {
        return current_list(state);
    };
    let replaced = state.history.iter().find(|(at, _)| *at > then);
    replaced.map_or_else(|| current_list(state), |(_, list)| list.clone())
}

/// Returns the response to a read, with all faults applied.
fn read_list(state: &ListState) -> ListAnswer {
    if state.empty {
        return ListAnswer::default();
    }
    let mut list = lagged_list(state);
    for entry in &mut list.entries {
        if let Some(wrong) = state.wrong_states.get(&entry.id) {
            entry.state = *wrong;
        }
    }
    if state.flapping.is_some_and(omits_entries) {
        let mut number = 0;
        list.entries.retain(|_| {
            number += 1;
            number % 2 == 0
        });
    }
    list
}

/// Returns whether equal versions mean equal contents, which some faults break.
fn has_valid_version(state: &ListState) -> bool {
    !state.empty && state.flapping.is_none() && state.wrong_states.is_empty()
}

/// Returns whether entries are omitted in the current period.
fn omits_entries(period: Duration) -> bool {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = since.unwrap_or_default().as_millis();
    (ms / period.as_millis().max(1)) % 2 == 1
}

async fn handle(state: Arc<Mutex<ListState>>, mut req: Request) -> http_types::Result<Response> {
    if lock(&state).down {
        return Ok(Response::new(StatusCode::ServiceUnavailable));
    }
    let path = req.url().path().to_owned();
    if path == "/v1/instances" && req.method() == Method::Get {
        let (list, valid_version) = {
            let state = lock(&state);
            (read_list(&state), has_valid_version(&state))
        };
        let after = format!("after={}", list.version);
        if valid_version && req.url().query() == Some(&after) {
            return Ok(Response::new(StatusCode::NotModified));
        }
        return json_response(&list);
    }
    let Some(id) = path.strip_prefix("/v1/instances/") else {
        return Ok(Response::new(StatusCode::NotFound));
    };
    match req.method() {
        Method::Put => {
            let entry: ListEntry = req.body_json().await?;
            change(&state, |s| {
                s.entries.insert(id.to_owned(), entry);
            });
        }
        Method::Delete => change(&state, |s| {
            s.entries.remove(id);
        }),
        _ => return Ok(Response::new(StatusCode::MethodNotAllowed)),
    }
    json_response(&serde_json::json!({}))
}
