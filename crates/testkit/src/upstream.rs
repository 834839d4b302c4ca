//! Test double of an upstream: a fixed number of slots, a service-time distribution, and faults.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};

use async_std::{io, task};
use http_types::{Body, Request, Response, StatusCode};
use rand::{SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, LogNormal};

use crate::HttpServer;

/// Shape of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamSpec {
    /// Calls that run at a time; more are refused without running.
    pub slots: u32,
    /// Mean service time in microseconds.
    pub mean_us: f64,
    /// Standard deviation of the logarithm of the service time.
    pub sigma: f64,
    /// Seed of the service times.
    pub seed: u64,
}

/// Faults of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamFaults {
    /// Factor on service times.
    pub slowdown: f64,
    /// Answers status 500 at once.
    pub fail_fast: bool,
    /// Says that it is draining, and refuses.
    pub draining: bool,
    /// Slots while cold; more are refused and counted. `None` when warm.
    pub cold_slots: Option<u32>,
    /// Accepts requests and never answers.
    pub silent: bool,
}

impl Default for UpstreamFaults {
    fn default() -> Self {
        Self {
            slowdown: 1.0,
            fail_fast: false,
            draining: false,
            cold_slots: None,
            silent: false,
        }
    }
}

#[derive(Debug)]
struct Shared {
    spec: UpstreamSpec,
    faults: Mutex<UpstreamFaults>,
    rng: Mutex<StdRng>,
    running: AtomicU32,
    peak: AtomicU32,
    ran: AtomicU64,
    refused: AtomicU64,
}

/// A running upstream.
#[derive(Debug)]
pub struct Upstream {
    shared: Arc<Shared>,
    server: HttpServer,
}

impl Upstream {
    /// Starts an upstream on a free loopback port.
    pub async fn start(spec: UpstreamSpec) -> Self {
        let shared = Arc::new(Shared {
            spec,
            faults: Mutex::default(),
            rng: Mutex::new(StdRng::seed_from_u64(spec.seed)),
            running: AtomicU32::new(0),
            peak: AtomicU32::new(0),
            ran: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        });
        let inner = Arc::clone(&shared);
        let server = HttpServer::start(move |req, _| handle(Arc::clone(&inner), req)).await;
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

    /// Calls that were run to their end or are running.
    #[must_use]
    pub fn ran(&self) -> u64 {
        self.shared.ran.load(Ordering::Relaxed)
    }

    /// Calls that were refused without running.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.shared.refused.load(Ordering::Relaxed)
    }

    /// Most calls that were offered at a time.
    #[must_use]
    pub fn peak(&self) -> u32 {
        self.shared.peak.load(Ordering::Relaxed)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts a call as running until dropped, also when the connection breaks.
struct Running<'a>(&'a AtomicU32);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn handle(shared: Arc<Shared>, mut req: Request) -> http_types::Result<Response> {
    let faults = *lock(&shared.faults);
    let offered = shared.running.fetch_add(1, Ordering::Relaxed) + 1;
    let _running = Running(&shared.running);
    shared.peak.fetch_max(offered, Ordering::Relaxed);
    let slots = faults.cold_slots.unwrap_or(shared.spec.slots);
    if faults.draining || offered > slots {
        return Ok(refusal(&shared, faults, &req));
    }
    shared.ran.fetch_add(1, Ordering::Relaxed);
    if faults.silent {
        std::future::pending::<()>().await;
    }
    let mut response = Response::new(StatusCode::Ok);
    copy_call_id(&req, &mut response);
    if faults.fail_fast {
        response.set_status(StatusCode::InternalServerError);
        return Ok(response);
    }
    io::copy(&mut req.take_body(), &mut io::sink()).await?;
    task::sleep(service_time(&shared, faults.slowdown)).await;
    let bytes = req
        .header("x-answer-bytes")
        .and_then(|v| v.as_str().parse().ok())
        .unwrap_or(64);
    response.set_body(Body::from_bytes(vec![b'x'; bytes]));
    if faults.cold_slots.is_some() {
        response.insert_header("hw-cold", "1");
    }
    Ok(response)
}

fn refusal(shared: &Shared, faults: UpstreamFaults, req: &Request) -> Response {
    shared.refused.fetch_add(1, Ordering::Relaxed);
    let mut response = Response::new(StatusCode::ServiceUnavailable);
    copy_call_id(req, &mut response);
    response.insert_header("hw-not-run", "1");
    if faults.draining {
        response.insert_header("hw-draining", "1");
    }
    if faults.cold_slots.is_some() {
        response.insert_header("hw-cold", "1");
    }
    response
}

fn copy_call_id(req: &Request, response: &mut Response) {
    if let Some(id) = req.header("hw-call") {
        response.insert_header("hw-call", id.as_str());
    }
}

fn service_time(shared: &Shared, slowdown: f64) -> Duration {
    let spec = shared.spec;
    let mu = spec.mean_us.ln() - spec.sigma * spec.sigma / 2.0;
    let Ok(times) = LogNormal::new(mu, spec.sigma) else {
        return Duration::ZERO;
    };
    let us = times.sample(&mut *lock(&shared.rng)) * slowdown;
    Duration::from_secs_f64(us / 1e6)
}
