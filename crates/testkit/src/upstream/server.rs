//! The upstream's HTTP server: it admits, runs and answers calls.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, AtomicU64, Ordering::Relaxed},
    },
    time::{Duration, Instant},
};

use async_std::{io, net::TcpStream, task};
use futures::future::{Either, select};
use http_types::{Body, Method, Request, Response, StatusCode};
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{
    ColdStart, ResponseFault, ServiceTimes, UpstreamCounts, UpstreamFaults, UpstreamSpec,
    cold::ColdProgress,
    counts::Counters,
    response::{CallEcho, truncated_body, write_response},
};
use crate::{HttpServer, json_response};

/// Request header that sets the service time of a call, in microseconds.
const SERVICE_TIME_HEADER: &str = "x-service-us";
/// Time from a response to its duplicate. Without a delay, the client would read both at once and
/// discard the duplicate, so that it could never be taken for the response to the next call.
const DUPLICATE_DELAY: Duration = Duration::from_millis(5);

#[derive(Debug)]
struct UpstreamState {
    spec: UpstreamSpec,
    service_times: ServiceTimes,
    faults: Mutex<UpstreamFaults>,
    rng: Mutex<StdRng>,
    /// Progress of a cold start; `None` while warm.
    cold: Mutex<Option<ColdProgress>>,
    counters: Counters,
    response_count: AtomicU64,
    /// Call that was answered last.
    previous_call: Mutex<CallEcho>,
    /// Client addresses of connections that carried a request since the last
    /// [`Upstream::silence_connections`].
    clients: Mutex<HashSet<SocketAddr>>,
    /// Client addresses of connections that get no responses.
    silenced_clients: Mutex<HashSet<SocketAddr>>,
}

/// A running upstream. Dropping it closes its connections.
#[derive(Debug)]
pub struct Upstream {
    shared: Arc<UpstreamState>,
    server: HttpServer,
}

impl Upstream {
    /// Starts an upstream with log-normal service times on a free loopback port.
    pub async fn start(spec: UpstreamSpec) -> Self {
        Self::start_with(spec, ServiceTimes::LogNormal(spec.sigma)).await
    }

    /// Starts an upstream with the given distribution of service times on a free loopback port.
    pub async fn start_with(spec: UpstreamSpec, service_times: ServiceTimes) -> Self {
        let shared = Arc::new(UpstreamState {
            spec,
            service_times,
            faults: Mutex::default(),
            rng: Mutex::new(StdRng::seed_from_u64(spec.seed)),
            cold: Mutex::default(),
            counters: Counters::default(),
            response_count: AtomicU64::new(0),
            previous_call: Mutex::default(),
            clients: Mutex::default(),
            silenced_clients: Mutex::default(),
        });
        let inner = Arc::clone(&shared);
        let server =
            HttpServer::start(move |req, stream| handle(Arc::clone(&inner), req, stream)).await;
        Self { shared, server }
    }

    /// Returns the address that the upstream listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces the faults from the next request on.
    pub fn set_faults(&self, faults: UpstreamFaults) {
        *lock(&self.shared.faults) = faults;
    }

    /// Stops answering on all connections that have carried a request. New connections work.
    pub fn silence_connections(&self) {
        let clients = std::mem::take(&mut *lock(&self.shared.clients));
        lock(&self.shared.silenced_clients).extend(clients);
    }

    /// Starts a cold start, also if the upstream is warm or in a cold start.
    pub fn begin_cold_start(&self, cold: ColdStart) {
        *lock(&self.shared.cold) = Some(ColdProgress::new(cold));
    }

    /// Returns whether a cold start is in progress.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        lock(&self.shared.cold).is_some()
    }

    /// Returns a snapshot of all counters.
    #[must_use]
    pub fn counts(&self) -> UpstreamCounts {
        self.shared.counters.read()
    }

    /// Returns how many times each call ran, by idempotency key, or by the caller's call id if it
    /// has no key.
    #[must_use]
    pub fn run_counts(&self) -> HashMap<String, u64> {
        self.shared.counters.run_counts()
    }

    /// Returns the time at which the latest call started to run.
    #[must_use]
    pub fn last_start(&self) -> Option<Instant> {
        self.shared.counters.start_times().map(|(_, last)| last)
    }

    /// Returns the time at which the first call started to run.
    #[must_use]
    pub fn first_start(&self) -> Option<Instant> {
        self.shared.counters.start_times().map(|(first, _)| first)
    }

    /// Returns the number of calls that started to run.
    #[must_use]
    pub fn ran(&self) -> u64 {
        self.counts().ran
    }

    /// Returns the number of calls that were refused.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.counts().refused
    }

    /// Returns the largest number of calls that ran at the same time.
    #[must_use]
    pub fn max_running(&self) -> u32 {
        self.counts().max_running
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Decrements the counter of running calls when dropped, also when the connection breaks.
struct RunningGuard<'a>(&'a AtomicU32);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}

/// Handles a request: a probe, a call that is refused or a call that runs.
async fn handle(
    shared: Arc<UpstreamState>,
    req: Request,
    stream: TcpStream,
) -> http_types::Result<Response> {
    let faults = *lock(&shared.faults);
    if is_silenced(&shared, &stream) {
        std::future::pending::<()>().await;
    }
    if req.method() == Method::Get && matches!(req.url().path(), "/health" | "/load") {
        return probe(&shared, faults);
    }
    let counters = &shared.counters;
    let running = counters.running.fetch_add(1, Relaxed) + 1;
    let _guard = RunningGuard(&counters.running);
    let slots = faults.cold_slots.unwrap_or(shared.spec.slots);
    let refused =
        faults.refusal_rate > 0.0 && lock(&shared.rng).random_bool(faults.refusal_rate.min(1.0));
    if faults.draining || refused || running > slots {
        return Ok(refuse(&shared, faults, &req));
    }
    counters.max_running.fetch_max(running, Relaxed);
    serve(&shared, faults, req, &stream, running).await
}

/// Returns whether the connection gets no responses. Records its client address otherwise.
fn is_silenced(shared: &UpstreamState, stream: &TcpStream) -> bool {
    let Ok(peer) = stream.peer_addr() else {
        return false;
    };
    if lock(&shared.silenced_clients).contains(&peer) {
        return true;
    }
    lock(&shared.clients).insert(peer);
    false
}

/// Answers a request of the health or load endpoint.
fn probe(shared: &UpstreamState, faults: UpstreamFaults) -> http_types::Result<Response> {
    shared.counters.probes.fetch_add(1, Relaxed);
    json_response(&serde_json::json!({ "load": load(shared, faults) }))
}

/// Returns the reported load: running calls divided by slots, unless a fault sets it.
fn load(shared: &UpstreamState, faults: UpstreamFaults) -> f64 {
    let running = f64::from(shared.counters.running.load(Relaxed));
    faults
        .reported_load
        .unwrap_or(running / f64::from(shared.spec.slots.max(1)))
}

/// Runs an admitted call. `running` is the number of running calls, including this one.
async fn serve(
    shared: &UpstreamState,
    faults: UpstreamFaults,
    mut req: Request,
    stream: &TcpStream,
    running: u32,
) -> http_types::Result<Response> {
    let counters = &shared.counters;
    let echo = CallEcho::from_request(&req);
    let key = req.header("idempotency-key").map(|v| v.as_str().to_owned());
    counters.record_start(key.as_deref().or(echo.caller_id.as_deref()));
    if faults.silent {
        std::future::pending::<()>().await;
    }
    let factor = faults.slowdown * cold_factor(shared, running);
    let mut response = Response::new(StatusCode::Ok);
    echo.set_id(&mut response);
    if faults.fail_fast {
        return Ok(fail(shared, response));
    }
    io::copy(&mut req.take_body(), &mut io::sink()).await?;
    let (bad_factor, bad_error) = bad_version(shared, faults, &req, running);
    let time = service_time(shared, &req).mul_f64(factor * bad_factor);
    if !use_slot(shared, &req, stream, time).await? {
        response.set_status(StatusCode::GatewayTimeout);
        return Ok(response);
    }
    record_cold_completion(shared, &mut response, faults);
    if bad_error {
        return Ok(fail(shared, response));
    }
    let load = load(shared, faults);
    response.insert_header("x-load", format!("{load:.3}"));
    finish(shared, faults, stream, echo, response).await
}

/// Counts a failed call and turns its response into status 500.
fn fail(shared: &UpstreamState, mut response: Response) -> Response {
    shared.counters.failed.fetch_add(1, Relaxed);
    response.set_status(StatusCode::InternalServerError);
    response
}

/// Uses a slot for `time`. Returns `false` if the deadline of the call comes first, and an error if
/// the connection is closed meanwhile.
async fn use_slot(
    shared: &UpstreamState,
    req: &Request,
    stream: &TcpStream,
    time: Duration,
) -> http_types::Result<bool> {
    let deadline = req.header("hw-deadline-ms");
    let deadline = deadline.and_then(|v| v.as_str().parse().ok());
    let limit = deadline.map_or(Duration::MAX, Duration::from_millis);
    let began = Instant::now();
    let sleep = Box::pin(task::sleep(time.min(limit)));
    let closed = Box::pin(wait_closed(stream));
    let end = select(sleep, closed).await;
    shared.counters.add_busy(began.elapsed());
    if let Either::Right(_) = end {
        shared.counters.cancelled.fetch_add(1, Relaxed);
        let text = "caller closed the connection";
        return Err(http_types::Error::from_str(StatusCode::BadRequest, text));
    }
    if time > limit {
        shared.counters.expired.fetch_add(1, Relaxed);
    }
    Ok(time <= limit)
}

/// Waits until the client closes the connection.
async fn wait_closed(stream: &TcpStream) {
    match stream.peek(&mut [0]).await {
        Ok(0) | Err(_) => {}
        Ok(_) => std::future::pending().await,
    }
}

/// Returns the factor on the service time of a call during a cold start. `running` includes the
/// call.
fn cold_factor(shared: &UpstreamState, running: u32) -> f64 {
    match &*lock(&shared.cold) {
        Some(cold) if running > cold.limit() => {
            shared.counters.over_cold_limit.fetch_add(1, Relaxed);
            cold.slowdown()
        }
        _ => 1.0,
    }
}

/// Marks the response of a cold upstream and records the completed call in a cold start.
fn record_cold_completion(shared: &UpstreamState, response: &mut Response, faults: UpstreamFaults) {
    let mut cold = lock(&shared.cold);
    if cold.is_some() || faults.cold_slots.is_some() {
        response.insert_header("hw-cold", "1");
    }
    if let Some(progress) = cold.as_mut()
        && !progress.record_completed(shared.spec.slots)
    {
        *cold = None;
    }
}

/// Returns the factor on the service time, and whether the call fails, at a bad version.
fn bad_version(
    shared: &UpstreamState,
    faults: UpstreamFaults,
    req: &Request,
    running: u32,
) -> (f64, bool) {
    let Some(bad) = faults.bad_version else {
        return (1.0, false);
    };
    let is_affected = bad.path.is_none_or(|p| p == req.url().path());
    if !is_affected || running < bad.min_running {
        return (1.0, false);
    }
    let fails = lock(&shared.rng).random_bool(bad.error_rate.clamp(0.0, 1.0));
    (bad.slowdown, fails)
}

/// Completes the response with its body and applies the response fault.
async fn finish(
    shared: &UpstreamState,
    faults: UpstreamFaults,
    stream: &TcpStream,
    echo: CallEcho,
    mut response: Response,
) -> http_types::Result<Response> {
    let number = shared.response_count.fetch_add(1, Relaxed);
    let previous = std::mem::replace(&mut *lock(&shared.previous_call), echo.clone());
    let is_faulty = number.is_multiple_of(faults.fault_interval.max(1));
    let fault = faults.response_fault.filter(|_| is_faulty);
    if fault.is_some() {
        shared.counters.faulty_responses.fetch_add(1, Relaxed);
    }
    match fault {
        Some(ResponseFault::PreviousCall) => {
            previous.set_id(&mut response);
            response.set_body(previous.body());
            return Ok(response);
        }
        Some(ResponseFault::Truncated) => {
            response.set_body(truncated_body(echo.body()));
            return Ok(response);
        }
        Some(ResponseFault::NoDate) => {
            write_response(stream, &echo).await?;
            return Err(http_types::Error::from_str(
                StatusCode::Ok,
                "answered already",
            ));
        }
        Some(ResponseFault::Duplicated) => {
            write_response(stream, &echo).await?;
            task::sleep(DUPLICATE_DELAY).await;
        }
        Some(ResponseFault::Delayed(ms)) => task::sleep(Duration::from_millis(ms)).await,
        None => {}
    }
    response.set_body(Body::from_bytes(echo.body()));
    Ok(response)
}

/// Counts a refused call and returns its response.
fn refuse(shared: &UpstreamState, faults: UpstreamFaults, req: &Request) -> Response {
    shared.counters.refused.fetch_add(1, Relaxed);
    let mut response = Response::new(StatusCode::ServiceUnavailable);
    CallEcho::from_request(req).set_id(&mut response);
    response.insert_header("hw-not-run", "1");
    if faults.draining {
        response.insert_header("hw-draining", "1");
    }
    if faults.cold_slots.is_some() || lock(&shared.cold).is_some() {
        response.insert_header("hw-cold", "1");
    }
    response
}

/// Returns the service time that the request sets, or a random one.
fn service_time(shared: &UpstreamState, req: &Request) -> Duration {
    let fixed = req.header(SERVICE_TIME_HEADER);
    match fixed.and_then(|v| v.as_str().parse().ok()) {
        Some(us) => Duration::from_micros(us),
        None => shared
            .service_times
            .sample(shared.spec.mean_us, &mut *lock(&shared.rng)),
    }
}
