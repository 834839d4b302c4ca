//! Stand-in of a target that registers in the platform's store.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::{
    io::WriteExt,
    net::{TcpListener, TcpStream},
    task,
};
use h1::{Request, RequestDecoder};

use super::{
    FleetProxy, FleetStore,
    http::{next_request, respond},
};

/// Time between two writes of a target's entry.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// How a target misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetFault {
    /// It does not.
    None,
    /// It refuses requests and says that it did not run them.
    Shed,
    /// It fails requests with a signed 500.
    Error,
    /// It runs a request and answers with a status that says that it did not.
    FalseRefusal,
    /// It runs a request and resets the connection.
    LoseAnswer,
    /// It runs a request and breaks off inside the body.
    Truncate,
    /// It sends a second, complete response behind the first.
    Extra,
    /// It answers with bytes that are no response.
    Garbage,
    /// It answers without its signature.
    Unsigned,
    /// It answers with a content coding that nobody asked for.
    Encoded,
    /// It sends the response to another request first.
    StrayFirst,
    /// It answers without a length and ends the connection.
    NoLength,
    /// It takes requests and answers nothing.
    Mute,
}

/// What a target is like.
#[derive(Clone, Debug)]
pub struct TargetSpec {
    /// Identity.
    pub id: String,
    /// Service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Version.
    pub version: String,
    /// Requests at a time.
    pub slots: u32,
    /// Time that a request takes, in milliseconds.
    pub work_ms: u64,
}

#[derive(Debug)]
struct Shared {
    spec: TargetSpec,
    fault: Mutex<TargetFault>,
    runs: Mutex<HashMap<String, u32>>,
    arrivals: Mutex<Vec<Instant>>,
    cancelled: AtomicU32,
    running: AtomicU32,
    draining: AtomicBool,
    is_up: AtomicBool,
}

/// A running target. Dropping it ends it without a word, as a crash does.
#[derive(Debug)]
pub struct FleetTarget {
    /// What stands before it; its address is the registered one.
    pub proxy: FleetProxy,
    store: FleetStore,
    shared: Arc<Shared>,
}

impl FleetTarget {
    /// Starts a target and registers it.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub async fn start(store: &FleetStore, spec: TargetSpec) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let shared = Arc::new(Shared {
            spec,
            fault: Mutex::new(TargetFault::None),
            runs: Mutex::default(),
            arrivals: Mutex::default(),
            cancelled: AtomicU32::new(0),
            running: AtomicU32::new(0),
            draining: AtomicBool::new(false),
            is_up: AtomicBool::new(true),
        });
        let target = Self {
            proxy: FleetProxy::start(listener.local_addr()?).await?,
            store: store.clone(),
            shared: Arc::clone(&shared),
        };
        target.write_entry(0);
        let serving = Arc::clone(&shared);
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if !serving.is_up.load(Ordering::Acquire) {
                    return;
                }
                task::spawn(serve(Arc::clone(&serving), stream));
            }
        });
        task::spawn(beat(shared, store.clone(), target.proxy.addr));
        Ok(target)
    }

    /// Makes the target misbehave from now on.
    pub fn set_fault(&self, fault: TargetFault) {
        *lock(&self.shared.fault) = fault;
    }

    /// Announces that the target is leaving.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::Release);
        self.write_entry(0);
    }

    /// Removes the entry.
    pub fn deregister(&self) {
        self.shared.is_up.store(false, Ordering::Release);
        self.store.put("keyed.servers", &self.shared.spec.id, "");
    }

    /// How often each request ran here.
    #[must_use]
    pub fn runs(&self) -> HashMap<String, u32> {
        lock(&self.shared.runs).clone()
    }

    /// When requests arrived, health probes left out.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Instant> {
        lock(&self.shared.arrivals).clone()
    }

    /// Requests whose connection was closed while they ran.
    #[must_use]
    pub fn cancelled(&self) -> u32 {
        self.shared.cancelled.load(Ordering::Acquire)
    }

    /// Identity.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.shared.spec.id
    }

    fn write_entry(&self, seq: u64) {
        put_entry(&self.shared, &self.store, self.proxy.addr, seq);
    }
}

impl Drop for FleetTarget {
    fn drop(&mut self) {
        self.shared.is_up.store(false, Ordering::Release);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

fn put_entry(shared: &Shared, store: &FleetStore, addr: SocketAddr, seq: u64) {
    let spec = &shared.spec;
    let state = if shared.draining.load(Ordering::Acquire) {
        "draining"
    } else {
        "ready"
    };
    let entry = serde_json::json!({
        "service": spec.service, "address": addr.to_string(), "zone": spec.zone,
        "version": spec.version, "slots": spec.slots, "state": state, "warmup_left_s": 0,
        "seq": seq, "born": 1_764_800_000_000_u64,
    });
    store.put("keyed.servers", &spec.id, &entry.to_string());
}

async fn beat(shared: Arc<Shared>, store: FleetStore, addr: SocketAddr) {
    let mut seq = 1;
    loop {
        task::sleep(HEARTBEAT).await;
        if !shared.is_up.load(Ordering::Acquire) {
            return;
        }
        put_entry(&shared, &store, addr, seq);
        seq += 1;
    }
}

async fn serve(shared: Arc<Shared>, stream: TcpStream) {
    let mut decoder = RequestDecoder::default();
    let mut input = Vec::new();
    while let Ok(Some(request)) = next_request(&stream, &mut decoder, &mut input).await {
        if !shared.is_up.load(Ordering::Acquire) {
            return;
        }
        if request.path() == "/healthz" {
            let head = format!(
                "X-Hibiscusway-Instance-Id: {}\r\n{}",
                shared.spec.id,
                load(&shared)
            );
            if respond(&stream, 200, &head, b"").await.is_err() {
                return;
            }
            continue;
        }
        if !answer(&shared, &stream, &request).await {
            return;
        }
    }
}

fn load(shared: &Shared) -> String {
    let running = shared.running.load(Ordering::Acquire);
    format!(
        "X-Hibiscusway-Server-Load: {running},0,{},100\r\n",
        shared.spec.slots
    )
}

/// Answers one request; whether the connection goes on.
async fn answer(shared: &Shared, stream: &TcpStream, request: &Request) -> bool {
    lock(&shared.arrivals).push(Instant::now());
    let id = request
        .headers
        .single_value("x-hibiscusway-request-id")
        .unwrap_or_default()
        .to_owned();
    let expected = request
        .headers
        .single_value("x-hibiscusway-expect-instance");
    if expected.is_some_and(|e| e != shared.spec.id) {
        let head = format!("X-Hibiscusway-Instance-Id: {}\r\n", shared.spec.id);
        return respond(stream, 421, &head, b"").await.is_ok();
    }
    let fault = *lock(&shared.fault);
    let is_full = shared.running.load(Ordering::Acquire) >= shared.spec.slots * 3;
    if fault == TargetFault::Shed || is_full {
        let head = format!("X-Hibiscusway-Not-Executed: 1\r\n{}", load(shared));
        return respond(stream, 503, &head, b"").await.is_ok();
    }
    *lock(&shared.runs).entry(id.clone()).or_default() += 1;
    if !work(shared, stream).await {
        shared.cancelled.fetch_add(1, Ordering::AcqRel);
        return false;
    }
    send_answer(shared, stream, &id, fault, &request.body).await
}

/// Takes the time of a request; `false` if the connection was closed meanwhile.
async fn work(shared: &Shared, stream: &TcpStream) -> bool {
    shared.running.fetch_add(1, Ordering::AcqRel);
    let end = Instant::now() + Duration::from_millis(shared.spec.work_ms);
    let mut is_there = true;
    while is_there && Instant::now() < end {
        task::sleep(Duration::from_millis(2)).await;
        let mut byte = [0];
        let peeked = futures::FutureExt::now_or_never(stream.peek(&mut byte));
        is_there = !matches!(peeked, Some(Ok(0) | Err(_)));
    }
    shared.running.fetch_sub(1, Ordering::AcqRel);
    is_there
}

async fn send_answer(
    shared: &Shared,
    mut stream: &TcpStream,
    id: &str,
    fault: TargetFault,
    request_body: &[u8],
) -> bool {
    let own = format!("{}X-Hibiscusway-Request-Id: {id}\r\n", load(shared));
    let signed = format!("{own}X-Hibiscusway-Response-Signature: 1.{id}\r\n");
    let body = format!("{id}:{}:{}", shared.spec.id, request_body.len()).into_bytes();
    let raw = |text: String| async move { (&mut stream).write_all(text.as_bytes()).await.is_ok() };
    match fault {
        TargetFault::Error => respond(stream, 500, &signed, &body).await.is_ok(),
        TargetFault::FalseRefusal => respond(stream, 503, &signed, &body).await.is_ok(),
        TargetFault::LoseAnswer => false,
        TargetFault::Mute => {
            task::sleep(Duration::from_secs(20)).await;
            false
        }
        TargetFault::Truncate => {
            raw(format!(
                "HTTP/1.1 200 OK\r\n{signed}Content-Length: 1000\r\n\r\n{id}"
            ))
            .await;
            false
        }
        TargetFault::Garbage => {
            raw(String::from("\u{1}\u{2} no response at all\r\n\r\n")).await;
            false
        }
        TargetFault::Unsigned => respond(stream, 200, &own, &body).await.is_ok(),
        TargetFault::Encoded => {
            let head = format!("{signed}Content-Encoding: gzip\r\n");
            respond(stream, 200, &head, &body).await.is_ok()
        }
        TargetFault::StrayFirst => {
            let stray = signed.replace(id, "another-request");
            respond(stream, 200, &stray, b"another").await.is_ok()
                && respond(stream, 200, &signed, &body).await.is_ok()
        }
        TargetFault::Extra => {
            respond(stream, 200, &signed, &body).await.is_ok()
                && respond(stream, 200, &signed, b"second").await.is_ok()
        }
        TargetFault::NoLength => {
            raw(format!("HTTP/1.1 200 OK\r\n{signed}\r\n")).await;
            raw(String::from_utf8_lossy(&body).into_owned()).await;
            false
        }
        TargetFault::None | TargetFault::Shed => respond(stream, 200, &signed, &body).await.is_ok(),
    }
}
