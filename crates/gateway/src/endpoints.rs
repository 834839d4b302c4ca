//! The instance's own endpoints: readiness, the address query, metrics and the relay of operator
//! records.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use async_std::{
    future::timeout,
    io::{ReadExt, WriteExt},
    net::TcpStream,
    task,
};
use h1::{Decoded, Request, RequestDecoder, RequestLimits};
use model::Time;
use platform::{
    directory_answer, directory_query,
    serving::{DIRECTORY_PATH, READY_PATH, RELAY_PATH},
};

use crate::{
    explain::{EXPLAIN_PATH, explain},
    join::{BUSY_STATUS, MAX_SENT, SNAPSHOT_PATH, encode_hints},
    operator_age::operator_age_ms,
    peer_records::{self, RECORDS_PATH},
    phase::Phase,
    resources::Connection,
    response::{encode_local, encode_relayed, without_body},
    roster::{ROSTER_PATH, encode_roster},
    scheduling::control_delay_ms,
    snapshot::Snapshot,
    state::State,
};

/// Reads and responses in a row after which other tasks get their turn.
const STEPS_PER_TURN: usize = 4;
/// Limits of a request to these endpoints.
const LIMITS: RequestLimits = RequestLimits {
    head_bytes: 8 * 1_024,
    body_bytes: 0,
};
/// Time after which a connection without a complete request is closed, or one that does not take a response.
const IDLE_LIMIT: Duration = Duration::from_secs(10);
/// Timeout for writing the response to a malformed request. A client that has read the earlier responses takes
/// it at once.
const REFUSAL_LIMIT: Duration = Duration::from_millis(500);
/// Time for which callers may cache the result of an address query, in milliseconds. A longer time
/// saves queries, but callers of a stopping instance must have queried again before it ends. Some keep
/// the result for three times as long; with 1,270 ms, so that this ends before a planned stop does, 146
/// instead of 101 tries found no connection in four plays with machines that leave for good.
const ADDRESS_TTL_MS: u64 = 3_000;

/// Serves requests to the instance's endpoints on one connection.
pub async fn serve_endpoints(state: Rc<State>, mut stream: TcpStream, open: Rc<Connection>) {
    let mut decoder = RequestDecoder::default();
    let mut input = Vec::new();
    let mut chunk = [0; 2_048];
    let is_metrics = is_of_listener(&stream, state.settings.metrics);
    let mut head_since = state.now();
    let mut turn = 0_usize;
    loop {
        turn += 1;
        if turn.is_multiple_of(STEPS_PER_TURN) {
            task::yield_now().await;
        }
        match decoder.decode(&mut input, LIMITS) {
            Ok(Decoded::Complete(request)) => {
                open.set_waiting(Some(state.now()));
                head_since = state.now();
                let sending = SentSnapshot::begin(&state, &request);
                let bytes = match &sending {
                    Some(sending) => sending.encode(&request),
                    None if is_metrics && request.path() == EXPLAIN_PATH => {
                        explain(&state, &request)
                    }
                    None => answer(&state, &request),
                };
                let bytes = if request.method == "HEAD" {
                    without_body(bytes)
                } else {
                    bytes
                };
                let written = timeout(IDLE_LIMIT, stream.write_all(&bytes)).await;
                if !matches!(written, Ok(Ok(()))) || !request.keep_alive {
                    return;
                }
            }
            // The limit is for the whole head, however many reads it takes.
            Ok(_) => match timeout(left_of_idle(&state, head_since), stream.read(&mut chunk)).await
            {
                Ok(Ok(count)) if count > 0 => input.extend_from_slice(&chunk[..count]),
                _ => return,
            },
            Err(_) => {
                let bytes = encode_local(
                    400,
                    "Bad Request",
                    "text/plain",
                    b"malformed request\n",
                    true,
                );
                // The connection is closed next, whether or not the write succeeds.
                let _ = timeout(REFUSAL_LIMIT, stream.write_all(&bytes)).await;
                return;
            }
        }
    }
}

/// Whether a connection came to the listener with this address.
fn is_of_listener(stream: &TcpStream, listener: SocketAddr) -> bool {
    stream.local_addr().is_ok_and(|local| {
        local.port() == listener.port()
            && (listener.ip().is_unspecified() || local.ip() == listener.ip())
    })
}

/// Returns the time that is left for the next request of a connection that waits since `since`.
fn left_of_idle(state: &State, since: Time) -> Duration {
    IDLE_LIMIT.saturating_sub(Duration::from_micros(state.now().since_us(since)))
}

/// A snapshot that is being sent to another instance, until dropped.
struct SentSnapshot<'a> {
    state: &'a State,
}

impl<'a> SentSnapshot<'a> {
    fn begin(state: &'a State, request: &Request) -> Option<Self> {
        if request.path() != SNAPSHOT_PATH {
            return None;
        }
        state.sent_snapshots.set(state.sent_snapshots.get() + 1);
        Some(Self { state })
    }

    fn encode(&self, request: &Request) -> Vec<u8> {
        let close = !request.keep_alive;
        let snapshot = Snapshot::of(self.state);
        let (status, reason) = match &snapshot {
            None => (503, "Service Unavailable"),
            Some(_) if self.state.sent_snapshots.get() > MAX_SENT => {
                (BUSY_STATUS, "Too Many Requests")
            }
            Some(_) => (200, "OK"),
        };
        let given = snapshot.filter(|_| status == 200);
        let body = given.map_or_else(|| encode_hints(self.state), |s| s.encode());
        self.state.metrics.count("snapshots_asked", 1);
        encode_local(status, reason, "application/octet-stream", &body, close)
    }
}

impl Drop for SentSnapshot<'_> {
    fn drop(&mut self) {
        let sent = self.state.sent_snapshots.get();
        self.state.sent_snapshots.set(sent - 1);
    }
}

/// Returns the current values of the gauges.
fn gauges(state: &State) -> Vec<(&'static str, u64)> {
    let now = state.now();
    let age_ms = |at: Time| now.since_us(at) / 1_000;
    let mut budgets = state.budgets.borrow_mut();
    let usage = budgets.values_mut().map(|b| b.usage(now));
    let extra_attempts = usage.map(|usage| u64::from(usage.extra_attempts)).sum();
    let targets = state.targets.borrow();
    let is_limited = |t: &&balance::Target| t.limit.rate(now).is_some();
    let limited_targets = targets.all().filter(is_limited).count();
    [
        ("config_version", state.config().map_or(0, |m| m.version)),
        ("orders_age_ms", operator_age_ms(state)),
        (
            "targets_age_ms",
            state.entries_as_of.get().map_or(0, age_ms),
        ),
        ("control_delay_ms", control_delay_ms(state)),
        ("store_era", state.store_era.get().unwrap_or_default()),
        ("targets", targets.len() as u64),
        ("limited_targets", limited_targets as u64),
        (
            "services_unreached",
            state.reach.borrow().lost().count() as u64,
        ),
        (
            "suspected_requests",
            state.crash_suspects.borrow().len() as u64,
        ),
        ("peers", state.members.borrow().live().count() as u64),
        ("caller_connections", state.caller_connections.get() as u64),
        ("requests_in_progress", state.active_requests.get() as u64),
        ("second_sends_in_window", extra_attempts),
        ("connections_targets", state.pool.open_count() as u64),
    ]
    .into_iter()
    .chain(state.resources.gauges())
    .collect()
}

fn answer(state: &State, request: &Request) -> Vec<u8> {
    let close = !request.keep_alive;
    match request.path() {
        READY_PATH => {
            let is_ready = state.phase.get() == Phase::Ready;
            let (status, reason) = if is_ready {
                (200, "OK")
            } else {
                (503, "Service Unavailable")
            };
            encode_local(status, reason, "text/plain", b"", close)
        }
        DIRECTORY_PATH => {
            let addresses = state.addresses(directory_query(request).zone);
            if addresses.is_empty() {
                return encode_local(503, "Service Unavailable", "application/json", b"{}", close);
            }
            state.metrics.count("address_queries", 1);
            let body = directory_answer(&addresses, ADDRESS_TTL_MS);
            encode_local(200, "OK", "application/json", &body, close)
        }
        RELAY_PATH => {
            let response = state.relay.borrow().respond(request);
            encode_relayed(&response, close)
        }
        RECORDS_PATH => peer_records::answer(state, request),
        ROSTER_PATH => {
            let body = encode_roster(state);
            encode_local(200, "OK", "application/octet-stream", &body, close)
        }
        "/metrics" => encode_local(
            200,
            "OK",
            "text/plain",
            state.metrics.text(&gauges(state)).as_bytes(),
            close,
        ),
        _ => encode_local(404, "Not Found", "text/plain", b"", close),
    }
}

#[cfg(test)]
mod tests;
