//! A running upstream.

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
    AnswerFault, ColdStart, Tail, UpstreamCounts, UpstreamFaults, UpstreamSpec,
    answer::{CallMark, short_body, write_answer},
    cold::ColdRun,
    counts::Counters,
};
use crate::{HttpServer, json_response};

/// Header by which a load plan fixes a call's service time, in microseconds.
const SERVICE_HEADER: &str = "x-service-us";
/// Time from an answer to its copy. A copy in the same segment would be read and dropped with the
/// answer, and so never be mistaken for the answer to the next call.
const COPY_DELAY: Duration = Duration::from_millis(5);

#[derive(Debug)]
struct Shared {
    spec: UpstreamSpec,
    tail: Tail,
    faults: Mutex<UpstreamFaults>,
    rng: Mutex<StdRng>,
    cold: Mutex<Option<ColdRun>>,
    counters: Counters,
    answered: AtomicU64,
    before: Mutex<CallMark>,
    /// Peers of open connections, and of those that have gone silent.
    peers: Mutex<HashSet<SocketAddr>>,
    muted: Mutex<HashSet<SocketAddr>>,
}

/// A running upstream. Dropping it closes its connections.
#[derive(Debug)]
pub struct Upstream {
    shared: Arc<Shared>,
    server: HttpServer,
}

impl Upstream {
    /// Starts an upstream with log-normal service times on a free loopback port.
    pub async fn start(spec: UpstreamSpec) -> Self {
        Self::start_tail(spec, Tail::LogNormal(spec.sigma)).await
    }

    /// Starts an upstream with service times of the given distribution.
    pub async fn start_tail(spec: UpstreamSpec, tail: Tail) -> Self {
        let shared = Arc::new(Shared {
            spec,
            tail,
            faults: Mutex::default(),
            rng: Mutex::new(StdRng::seed_from_u64(spec.seed)),
            cold: Mutex::default(),
            counters: Counters::default(),
            answered: AtomicU64::new(0),
            before: Mutex::default(),
            peers: Mutex::default(),
            muted: Mutex::default(),
        });
        let inner = Arc::clone(&shared);
        let server =
            HttpServer::start(move |req, stream| handle(Arc::clone(&inner), req, stream)).await;
        Self { shared, server }
    }

    /// Where it listens.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: UpstreamFaults) {
        *lock(&self.shared.faults) = faults;
    }

    /// Connections that exist now never answer again; new ones work.
    pub fn mute_connections(&self) {
        let peers = std::mem::take(&mut *lock(&self.shared.peers));
        lock(&self.shared.muted).extend(peers);
    }

    /// Makes the upstream cold, also when it was warm or is cold already.
    pub fn turn_cold(&self, cold: ColdStart) {
        *lock(&self.shared.cold) = Some(ColdRun::new(cold));
    }

    /// Whether a cold start is in progress.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        lock(&self.shared.cold).is_some()
    }

    /// All counters.
    #[must_use]
    pub fn counts(&self) -> UpstreamCounts {
        self.shared.counters.read()
    }

    /// How often each idempotency key, or caller's call id in its absence, was run.
    #[must_use]
    pub fn keys(&self) -> HashMap<String, u64> {
        self.shared.counters.keys()
    }

    /// When a call last started to run.
    #[must_use]
    pub fn last_start(&self) -> Option<Instant> {
        self.shared.counters.starts().map(|(_, last)| last)
    }

    /// When a call first started to run.
    #[must_use]
    pub fn first_start(&self) -> Option<Instant> {
        self.shared.counters.starts().map(|(first, _)| first)
    }

    /// Calls that were run to their end or are running.
    #[must_use]
    pub fn ran(&self) -> u64 {
        self.counts().ran
    }

    /// Calls that were refused without running.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.counts().refused
    }

    /// Most calls that ran at a time.
    #[must_use]
    pub fn peak(&self) -> u32 {
        self.counts().peak
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts a call as running until dropped, also when the connection breaks.
struct Running<'a>(&'a AtomicU32);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}

async fn handle(
    shared: Arc<Shared>,
    req: Request,
    stream: TcpStream,
) -> http_types::Result<Response> {
    let faults = *lock(&shared.faults);
    if is_muted(&shared, &stream) {
        std::future::pending::<()>().await;
    }
    if req.method() == Method::Get && matches!(req.url().path(), "/health" | "/load") {
        return probe(&shared, faults);
    }
    let counters = &shared.counters;
    let offered = counters.running.fetch_add(1, Relaxed) + 1;
    let _running = Running(&counters.running);
    let slots = faults.cold_slots.unwrap_or(shared.spec.slots);
    let shed = faults.shed > 0.0 && lock(&shared.rng).random_bool(faults.shed.min(1.0));
    if faults.draining || shed || offered > slots {
        return Ok(refusal(&shared, faults, &req));
    }
    counters.peak.fetch_max(offered, Relaxed);
    serve(&shared, faults, req, &stream, offered).await
}

/// Whether the connection is one of those that have gone silent. Notes it as open otherwise.
fn is_muted(shared: &Shared, stream: &TcpStream) -> bool {
    let Ok(peer) = stream.peer_addr() else {
        return false;
    };
    if lock(&shared.muted).contains(&peer) {
        return true;
    }
    lock(&shared.peers).insert(peer);
    false
}

fn probe(shared: &Shared, faults: UpstreamFaults) -> http_types::Result<Response> {
    shared.counters.probes.fetch_add(1, Relaxed);
    json_response(&serde_json::json!({ "load": load(shared, faults) }))
}

fn load(shared: &Shared, faults: UpstreamFaults) -> f64 {
    let running = f64::from(shared.counters.running.load(Relaxed));
    faults
        .false_load
        .unwrap_or(running / f64::from(shared.spec.slots.max(1)))
}

async fn serve(
    shared: &Shared,
    faults: UpstreamFaults,
    mut req: Request,
    stream: &TcpStream,
    offered: u32,
) -> http_types::Result<Response> {
    let counters = &shared.counters;
    let mark = CallMark::of(&req);
    let key = req.header("idempotency-key").map(|v| v.as_str().to_owned());
    counters.start(key.as_deref().or(mark.id.as_deref()));
    if faults.silent {
        std::future::pending::<()>().await;
    }
    let factor = faults.slowdown * cold_factor(shared, offered);
    let mut response = Response::new(StatusCode::Ok);
    mark.write_id(&mut response);
    if faults.fail_fast {
        return Ok(failed(shared, response));
    }
    io::copy(&mut req.take_body(), &mut io::sink()).await?;
    let (bad_factor, bad_error) = bad_version(shared, faults, &req, offered);
    let time = service_time(shared, &req).mul_f64(factor * bad_factor);
    if !work(shared, &req, stream, time).await? {
        response.set_status(StatusCode::GatewayTimeout);
        return Ok(response);
    }
    complete_cold(shared, &mut response, faults);
    if bad_error {
        return Ok(failed(shared, response));
    }
    let load = load(shared, faults);
    response.insert_header("x-load", format!("{load:.3}"));
    finish(shared, faults, stream, mark, response).await
}

fn failed(shared: &Shared, mut response: Response) -> Response {
    shared.counters.failed.fetch_add(1, Relaxed);
    response.set_status(StatusCode::InternalServerError);
    response
}

/// Holds the slot for `time`. Returns false if the call's deadline came first, and an error if the
/// connection closed.
async fn work(
    shared: &Shared,
    req: &Request,
    stream: &TcpStream,
    time: Duration,
) -> http_types::Result<bool> {
    let deadline = req.header("hw-deadline-ms");
    let deadline = deadline.and_then(|v| v.as_str().parse().ok());
    let limit = deadline.map_or(Duration::MAX, Duration::from_millis);
    let began = Instant::now();
    let sleep = Box::pin(task::sleep(time.min(limit)));
    let closed = Box::pin(closed(stream));
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

/// Waits until the other side closes the connection.
async fn closed(stream: &TcpStream) {
    match stream.peek(&mut [0]).await {
        Ok(0) | Err(_) => {}
        Ok(_) => std::future::pending().await,
    }
}

/// Factor on the service time of a call that starts as number `offered`.
fn cold_factor(shared: &Shared, offered: u32) -> f64 {
    match &*lock(&shared.cold) {
        Some(cold) if offered > cold.limit() => {
            shared.counters.cold_over.fetch_add(1, Relaxed);
            cold.penalty()
        }
        _ => 1.0,
    }
}

fn complete_cold(shared: &Shared, response: &mut Response, faults: UpstreamFaults) {
    let mut cold = lock(&shared.cold);
    if cold.is_some() || faults.cold_slots.is_some() {
        response.insert_header("hw-cold", "1");
    }
    if let Some(run) = cold.as_mut()
        && !run.complete(shared.spec.slots)
    {
        *cold = None;
    }
}

/// Factor on the service time, and whether the call fails.
fn bad_version(
    shared: &Shared,
    faults: UpstreamFaults,
    req: &Request,
    offered: u32,
) -> (f64, bool) {
    let Some(bad) = faults.bad else {
        return (1.0, false);
    };
    let route = bad.route.is_none_or(|r| r == req.url().path());
    if !route || offered < bad.min_running {
        return (1.0, false);
    }
    let fails = lock(&shared.rng).random_bool(bad.errors.clamp(0.0, 1.0));
    (bad.slowdown, fails)
}

async fn finish(
    shared: &Shared,
    faults: UpstreamFaults,
    stream: &TcpStream,
    mark: CallMark,
    mut response: Response,
) -> http_types::Result<Response> {
    let number = shared.answered.fetch_add(1, Relaxed);
    let before = std::mem::replace(&mut *lock(&shared.before), mark.clone());
    let wrong = number.is_multiple_of(faults.answers_every.max(1));
    let fault = faults.answers.filter(|_| wrong);
    if fault.is_some() {
        shared.counters.wrong.fetch_add(1, Relaxed);
    }
    match fault {
        Some(AnswerFault::Crossed) => {
            before.write_id(&mut response);
            response.set_body(before.body());
            return Ok(response);
        }
        Some(AnswerFault::Short) => {
            response.set_body(short_body(mark.body()));
            return Ok(response);
        }
        Some(AnswerFault::NoDate) => {
            write_answer(stream, &mark).await?;
            return Err(http_types::Error::from_str(
                StatusCode::Ok,
                "answered already",
            ));
        }
        Some(AnswerFault::Duplicated) => {
            write_answer(stream, &mark).await?;
            task::sleep(COPY_DELAY).await;
        }
        Some(AnswerFault::Late(ms)) => task::sleep(Duration::from_millis(ms)).await,
        None => {}
    }
    response.set_body(Body::from_bytes(mark.body()));
    Ok(response)
}

fn refusal(shared: &Shared, faults: UpstreamFaults, req: &Request) -> Response {
    shared.counters.refused.fetch_add(1, Relaxed);
    let mut response = Response::new(StatusCode::ServiceUnavailable);
    CallMark::of(req).write_id(&mut response);
    response.insert_header("hw-not-run", "1");
    if faults.draining {
        response.insert_header("hw-draining", "1");
    }
    if faults.cold_slots.is_some() || lock(&shared.cold).is_some() {
        response.insert_header("hw-cold", "1");
    }
    response
}

fn service_time(shared: &Shared, req: &Request) -> Duration {
    let fixed = req.header(SERVICE_HEADER);
    match fixed.and_then(|v| v.as_str().parse().ok()) {
        Some(us) => Duration::from_micros(us),
        None => shared
            .tail
            .sample(shared.spec.mean_us, &mut *lock(&shared.rng)),
    }
}
