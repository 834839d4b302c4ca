//! Stand-in for a target that registers in the platform's store and serves HTTP/1.1.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::{
    io::WriteExt,
    net::{TcpListener, TcpStream},
    task,
};
use h1::{Headers, Request, RequestDecoder};

use super::{
    FleetProxy, FleetStore,
    http::{next_request, respond},
};

/// Interval at which a target writes its entry to the store.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a target is down after it has crashed, unless another one is set.
const DEFAULT_OUTAGE: Duration = Duration::from_secs(3);
/// Part of the path of a request that crashes each target that begins to run it.
const CRASHING: &str = "/crash/";
/// Part of the path of a request whose response is longer by [`LARGE_BYTES`].
pub(super) const LARGE: &str = "/large/";
/// More than the buffers of the sockets hold, so that a caller that reads slowly holds up the gateway.
const LARGE_BYTES: usize = 4 * 1_024 * 1_024;

/// How a target misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetFault {
    /// The target works correctly.
    None,
    /// Refuses requests with status 503 and the header that says that they did not run.
    Shed,
    /// Runs requests and answers with a signed status 500.
    Error,
    /// Runs a request and answers with status 503, which falsely says that it did not run.
    FalseRefusal,
    /// Runs a request and closes the connection without a response.
    LoseAnswer,
    /// Runs a request and closes the connection in the middle of the response body.
    Truncate,
    /// Sends a second, complete response after the first.
    Extra,
    /// Refuses every second request on a connection, and writes that refusal once more, with the id
    /// of the refused request or without any, before it runs the next one.
    RepeatRefusal {
        /// Whether the repeated refusal has the id of the refused request.
        has_id: bool,
    },
    /// Closes the connection after this many bytes of the response's head.
    CutHead(usize),
    /// Answers with bytes that are not an HTTP response.
    Garbage,
    /// Runs requests and answers with this status, signed, with or without a body.
    Status {
        /// Status code, written with three digits.
        status: u16,
        /// Whether the response has a body.
        has_body: bool,
    },
    /// Answers without the response signature.
    Unsigned,
    /// Answers with a content coding that the request does not accept.
    Encoded,
    /// Sends a response that carries another request's id before the right one.
    StrayFirst,
    /// Answers without a length and ends the body by closing the connection.
    NoLength,
    /// Runs requests and sends nothing for 20 s, then closes the connection.
    Mute,
    /// Answers with a head that never ends.
    EndlessHead,
    /// Answers with one informational response after the other.
    EndlessInterim,
    /// Answers with one complete response to another request after the other.
    EndlessStray,
    /// Answers with a body that has no length and never ends.
    EndlessBody,
    /// Answers with a chunked body that never ends.
    EndlessChunks,
    /// Answers with chunks of one byte, whose extensions are far longer, without end.
    EndlessExtensions,
    /// Answers with a chunked body whose trailers never end.
    EndlessTrailers,
    /// Answers with empty lines, and never with a head.
    EndlessLines,
    /// Answers correctly, with this many bytes more in the body.
    Padded(usize),
}

/// Specification of a target.
#[derive(Clone, Debug)]
pub struct TargetSpec {
    /// Id of the target's entry in the store.
    pub id: String,
    /// Service that the target serves.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Version of the service.
    pub version: String,
    /// Slots that the target reports. It processes up to three times as many requests at a time and
    /// refuses more.
    pub slots: u32,
    /// Time to process a request, in milliseconds.
    pub processing_ms: u64,
}

/// Most requests whose header lines are kept.
const MAX_KEPT_HEADERS: usize = 1_000;

#[derive(Debug)]
struct TargetState {
    spec: TargetSpec,
    fault: Mutex<TargetFault>,
    /// Value of the header that limits the requests from all instances together, if it is sent.
    limit: Mutex<Option<String>>,
    /// Value of the header that says that the target leaves, if it is sent.
    leaving: Mutex<Option<String>>,
    /// Value of the header in refusals that says for how long no requests are wanted, if it is sent.
    retry_after: Mutex<Option<String>>,
    /// For how long the target is down after it has crashed.
    outage: Mutex<Duration>,
    /// Times at which requests that crash the target began to run.
    crashes: Mutex<Vec<Instant>>,
    is_down: AtomicBool,
    run_counts: Mutex<HashMap<String, u32>>,
    /// Header lines of the latest requests that ran, by request id.
    headers: Mutex<HashMap<String, Headers>>,
    arrivals: Mutex<Vec<Instant>>,
    cancelled: AtomicU32,
    running: AtomicU32,
    draining: AtomicBool,
    has_entry: AtomicBool,
    is_up: AtomicBool,
    born: AtomicU64,
}

/// A running target. Dropping it stops it without removing its entry, as a crash would.
#[derive(Debug)]
pub struct FleetTarget {
    /// Proxy in front of the target. The target registers the proxy's address.
    pub proxy: FleetProxy,
    store: FleetStore,
    shared: Arc<TargetState>,
}

impl FleetTarget {
    /// Starts a target and registers it.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback port is free.
    pub async fn start(store: &FleetStore, spec: TargetSpec) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let shared = Arc::new(TargetState {
            spec,
            fault: Mutex::new(TargetFault::None),
            limit: Mutex::default(),
            leaving: Mutex::default(),
            retry_after: Mutex::default(),
            outage: Mutex::new(DEFAULT_OUTAGE),
            crashes: Mutex::default(),
            is_down: AtomicBool::new(false),
            run_counts: Mutex::default(),
            headers: Mutex::default(),
            arrivals: Mutex::default(),
            cancelled: AtomicU32::new(0),
            running: AtomicU32::new(0),
            draining: AtomicBool::new(false),
            has_entry: AtomicBool::new(true),
            is_up: AtomicBool::new(true),
            born: AtomicU64::new(1_764_800_000_000),
        });
        let target = Self {
            proxy: FleetProxy::start(listener.local_addr()?).await?,
            store: store.clone(),
            shared: Arc::clone(&shared),
        };
        target.write_entry(0);
        let (server_state, proxy) = (Arc::clone(&shared), target.proxy.clone());
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if !server_state.is_up.load(Ordering::Acquire) {
                    return;
                }
                task::spawn(serve(Arc::clone(&server_state), proxy.clone(), stream));
            }
        });
        task::spawn(write_heartbeats(shared, store.clone(), target.proxy.addr));
        Ok(target)
    }

    /// Makes the target show `fault` from the next request on.
    pub fn set_fault(&self, fault: TargetFault) {
        *lock(&self.shared.fault) = fault;
    }

    /// Makes the target state this limit in its responses from now on, or none.
    pub fn set_limit(&self, limit: Option<&str>) {
        *lock(&self.shared.limit) = limit.map(str::to_owned);
    }

    /// Makes the target say in its responses that it leaves from now on, with this value, or not.
    pub fn set_leaving(&self, value: Option<&str>) {
        *lock(&self.shared.leaving) = value.map(str::to_owned);
    }

    /// Makes the target refuse requests with status 503 and this value of `Retry-After`, or not.
    pub fn set_retry_after(&self, value: Option<&str>) {
        *lock(&self.shared.retry_after) = value.map(str::to_owned);
    }

    /// Sets for how long the target is down after it has crashed.
    pub fn set_outage(&self, outage: Duration) {
        *lock(&self.shared.outage) = outage;
    }

    /// Ends the target's process as a crash would. Another one starts later under the same id.
    pub fn crash(&self) {
        crash(&self.shared, &self.proxy);
    }

    /// Returns when requests began to run that crash the target.
    #[must_use]
    pub fn crashes(&self) -> Vec<Instant> {
        lock(&self.shared.crashes).clone()
    }

    /// Starts the target's process anew, under the same id and at the same address.
    pub fn restart(&self) {
        self.shared.born.fetch_add(1_000, Ordering::AcqRel);
        self.write_entry(0);
    }

    /// Writes the state `draining` to the target's entry.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::Release);
        self.write_entry(0);
    }

    /// Stops the target and removes its entry from the store.
    pub fn deregister(&self) {
        self.shared.is_up.store(false, Ordering::Release);
        self.store.put("keyed.servers", &self.shared.spec.id, "");
    }

    /// Removes the target's entry without announcing that it drains. The target serves on.
    pub fn leave_silently(&self) {
        self.shared.has_entry.store(false, Ordering::Release);
        self.store.put("keyed.servers", &self.shared.spec.id, "");
    }

    /// Returns how many times each request ran at this target, by request id.
    #[must_use]
    pub fn run_counts(&self) -> HashMap<String, u32> {
        lock(&self.shared.run_counts).clone()
    }

    /// Returns how many times the request `id` ran at this target.
    #[must_use]
    pub fn run_count(&self, id: &str) -> u32 {
        lock(&self.shared.run_counts)
            .get(id)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the header lines of a recent request that ran at this target.
    #[must_use]
    pub fn headers_of(&self, id: &str) -> Option<Headers> {
        lock(&self.shared.headers).get(id).cloned()
    }

    /// Returns the arrival times of all requests except health probes.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Instant> {
        lock(&self.shared.arrivals).clone()
    }

    /// Returns the number of requests whose connection was closed while they ran.
    #[must_use]
    pub fn cancelled(&self) -> u32 {
        self.shared.cancelled.load(Ordering::Acquire)
    }

    /// Returns the id of the target's entry.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.shared.spec.id
    }

    fn write_entry(&self, seq: u64) {
        write_entry(&self.shared, &self.store, self.proxy.addr, seq);
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

fn write_entry(shared: &TargetState, store: &FleetStore, addr: SocketAddr, seq: u64) {
    let spec = &shared.spec;
    let state = if shared.draining.load(Ordering::Acquire) {
        "draining"
    } else {
        "ready"
    };
    let entry = serde_json::json!({
        "service": spec.service, "address": addr.to_string(), "zone": spec.zone,
        "version": spec.version, "slots": spec.slots, "state": state, "warmup_left_s": 0,
        "seq": seq, "born": shared.born.load(Ordering::Acquire),
    });
    store.put("keyed.servers", &spec.id, &entry.to_string());
}

/// Writes the target's entry periodically until the target stops.
async fn write_heartbeats(shared: Arc<TargetState>, store: FleetStore, addr: SocketAddr) {
    let mut seq = 1;
    loop {
        task::sleep(HEARTBEAT_INTERVAL).await;
        if !shared.is_up.load(Ordering::Acquire) {
            return;
        }
        // A process that has crashed writes nothing.
        let is_down = shared.is_down.load(Ordering::Acquire);
        if shared.has_entry.load(Ordering::Acquire) && !is_down {
            write_entry(&shared, &store, addr, seq);
        }
        seq += 1;
    }
}

/// Serves a connection until it ends, the target stops or a fault closes it.
async fn serve(shared: Arc<TargetState>, proxy: FleetProxy, stream: TcpStream) {
    let mut decoder = RequestDecoder::default();
    let mut input = Vec::new();
    let mut refused = None;
    while let Ok(Some(request)) = next_request(&stream, &mut decoder, &mut input).await {
        if !shared.is_up.load(Ordering::Acquire) {
            return;
        }
        if request.path() == "/healthz" {
            let head = format!(
                "X-Hibiscusway-Instance-Id: {}\r\n{}",
                shared.spec.id,
                load_header(&shared)
            );
            if respond(&stream, 200, &head, b"").await.is_err() {
                return;
            }
            continue;
        }
        if request.path().contains(CRASHING) {
            lock(&shared.crashes).push(Instant::now());
            return crash(&shared, &proxy);
        }
        if !answer_request(&shared, &stream, &request, &mut refused).await {
            return;
        }
    }
}

/// Ends the target's process. Another one starts later under the same id and at the same address.
fn crash(shared: &Arc<TargetState>, proxy: &FleetProxy) {
    let outage = *lock(&shared.outage);
    if shared.is_down.swap(true, Ordering::AcqRel) {
        return;
    }
    proxy.crash(outage);
    let shared = Arc::clone(shared);
    task::spawn(async move {
        task::sleep(outage).await;
        shared.born.fetch_add(1_000, Ordering::AcqRel);
        shared.is_down.store(false, Ordering::Release);
    });
}

/// Returns the header lines that report the target's load, its limit and that it leaves.
fn load_header(shared: &TargetState) -> String {
    let running = shared.running.load(Ordering::Acquire);
    let limit = lock(&shared.limit).clone();
    let limit = limit.map(|value| format!("Server-Limit: {value}\r\n"));
    let leaving = lock(&shared.leaving).clone();
    let leaving = leaving.map(|value| format!("Server-Leaving: {value}\r\n"));
    format!(
        "X-Hibiscusway-Server-Load: {running},0,{},100\r\n{}{}",
        shared.spec.slots,
        limit.unwrap_or_default(),
        leaving.unwrap_or_default()
    )
}

/// Answers one request. Returns whether the connection may carry further requests.
/// `refused` is the header with the id of the request that was refused before, if one was.
async fn answer_request(
    shared: &TargetState,
    stream: &TcpStream,
    request: &Request,
    refused: &mut Option<String>,
) -> bool {
    lock(&shared.arrivals).push(Instant::now());
    let id = request
        .headers
        .single_value("x-hibiscusway-request-id")
        .unwrap_or_default()
        .to_owned();
    let expected = request
        .headers
        .single_value("x-hibiscusway-expect-instance");
    let id_header = format!("X-Hibiscusway-Request-Id: {id}\r\n");
    if expected.is_some_and(|e| e != shared.spec.id) {
        let head = format!(
            "X-Hibiscusway-Instance-Id: {}\r\n{id_header}",
            shared.spec.id
        );
        return respond(stream, 421, &head, b"").await.is_ok();
    }
    let fault = *lock(&shared.fault);
    let is_full = shared.running.load(Ordering::Acquire) >= shared.spec.slots * 3;
    let retry_after = lock(&shared.retry_after).clone();
    if fault == TargetFault::Shed || is_full || retry_after.is_some() {
        let retry_after = retry_after.map(|value| format!("Retry-After: {value}\r\n"));
        let head = format!(
            "X-Hibiscusway-Not-Executed: 1\r\n{id_header}{}{}",
            retry_after.unwrap_or_default(),
            load_header(shared)
        );
        return respond(stream, 503, &head, b"").await.is_ok();
    }
    if let TargetFault::RepeatRefusal { has_id } = fault {
        let refusal = |id_header: &str| format!("X-Hibiscusway-Not-Executed: 1\r\n{id_header}");
        let Some(refused) = refused.take() else {
            *refused = Some(id_header.clone());
            return respond(stream, 503, &refusal(&id_header), b"")
                .await
                .is_ok();
        };
        let id_header = if has_id { &*refused } else { "" };
        if respond(stream, 503, &refusal(id_header), b"")
            .await
            .is_err()
        {
            return false;
        }
    }
    *lock(&shared.run_counts).entry(id.clone()).or_default() += 1;
    keep_headers(shared, &id, request);
    if !process(shared, stream).await {
        shared.cancelled.fetch_add(1, Ordering::AcqRel);
        return false;
    }
    send_response(shared, stream, &id, fault, request).await
}

/// Keeps the header lines of a request. Tests look at them soon after, so that few are kept.
fn keep_headers(shared: &TargetState, id: &str, request: &Request) {
    let mut kept = lock(&shared.headers);
    if kept.len() >= MAX_KEPT_HEADERS {
        kept.clear();
    }
    kept.insert(id.to_owned(), request.headers.clone());
}

/// Waits for the processing time of a request. Returns `false` if the client closed the connection
/// before.
async fn process(shared: &TargetState, stream: &TcpStream) -> bool {
    shared.running.fetch_add(1, Ordering::AcqRel);
    let end = Instant::now() + Duration::from_millis(shared.spec.processing_ms);
    let mut is_connected = true;
    while is_connected && Instant::now() < end {
        task::sleep(Duration::from_millis(2)).await;
        let mut byte = [0];
        let peeked = futures::FutureExt::now_or_never(stream.peek(&mut byte));
        is_connected = !matches!(peeked, Some(Ok(0) | Err(_)));
    }
    shared.running.fetch_sub(1, Ordering::AcqRel);
    is_connected
}

/// Returns the body of the response to a request.
fn response_body(spec: &TargetSpec, id: &str, request: &Request) -> Vec<u8> {
    let mut body = format!("{id}:{}:{}", spec.id, request.body.len()).into_bytes();
    if request.path().contains(LARGE) {
        body.resize(body.len() + LARGE_BYTES, b' ');
    }
    body
}

/// Sends the response to a request that ran, with the fault applied. Returns whether the connection
/// may carry further requests.
async fn send_response(
    shared: &TargetState,
    mut stream: &TcpStream,
    id: &str,
    fault: TargetFault,
    request: &Request,
) -> bool {
    let base_headers = format!("{}X-Hibiscusway-Request-Id: {id}\r\n", load_header(shared));
    let signed_headers = format!("{base_headers}X-Hibiscusway-Response-Signature: 1.{id}\r\n");
    let body = response_body(&shared.spec, id, request);
    let send_raw =
        |text: String| async move { (&mut stream).write_all(text.as_bytes()).await.is_ok() };
    match fault {
        TargetFault::Error => respond(stream, 500, &signed_headers, &body).await.is_ok(),
        TargetFault::FalseRefusal => respond(stream, 503, &signed_headers, &body).await.is_ok(),
        TargetFault::LoseAnswer => false,
        TargetFault::Mute => {
            task::sleep(Duration::from_secs(20)).await;
            false
        }
        TargetFault::Truncate => {
            send_raw(format!(
                "HTTP/1.1 200 OK\r\n{signed_headers}Content-Length: 1000\r\n\r\n{id}"
            ))
            .await;
            false
        }
        TargetFault::Garbage => {
            send_raw(String::from("\u{1}\u{2} no response at all\r\n\r\n")).await;
            false
        }
        TargetFault::Status { status, has_body } => {
            let sent = if has_body { &*body } else { b"" };
            respond(stream, status, &signed_headers, sent).await.is_ok()
        }
        TargetFault::Unsigned => respond(stream, 200, &base_headers, &body).await.is_ok(),
        TargetFault::Encoded => {
            let head = format!("{signed_headers}Content-Encoding: gzip\r\n");
            respond(stream, 200, &head, &body).await.is_ok()
        }
        TargetFault::StrayFirst => {
            let stray_headers = signed_headers.replace(id, "another-request");
            respond(stream, 200, &stray_headers, b"another")
                .await
                .is_ok()
                && respond(stream, 200, &signed_headers, &body).await.is_ok()
        }
        TargetFault::Extra => {
            respond(stream, 200, &signed_headers, &body).await.is_ok()
                && respond(stream, 200, &signed_headers, b"second")
                    .await
                    .is_ok()
        }
        TargetFault::NoLength => {
            send_raw(format!("HTTP/1.1 200 OK\r\n{signed_headers}\r\n")).await;
            send_raw(String::from_utf8_lossy(&body).into_owned()).await;
            false
        }
        TargetFault::EndlessHead => {
            send_endlessly(stream, "HTTP/1.1 200 OK\r\n", "X-Filler: 0123456789\r\n").await
        }
        TargetFault::EndlessInterim => {
            send_endlessly(stream, "", "HTTP/1.1 103 Early Hints\r\n\r\n").await
        }
        TargetFault::EndlessStray => {
            let stray = "HTTP/1.1 200 OK\r\nX-Hibiscusway-Request-Id: another-request\r\n\
                Content-Length: 0\r\n\r\n";
            send_endlessly(stream, "", stray).await
        }
        TargetFault::EndlessBody => {
            let head = format!("HTTP/1.1 200 OK\r\n{signed_headers}\r\n");
            send_endlessly(stream, &head, "endless ").await
        }
        TargetFault::EndlessChunks
        | TargetFault::EndlessExtensions
        | TargetFault::EndlessTrailers => {
            let head =
                format!("HTTP/1.1 200 OK\r\n{signed_headers}Transfer-Encoding: chunked\r\n\r\n");
            let extension = format!("1;x={}\r\nx\r\n", "y".repeat(900));
            let (last, repeated) = match fault {
                TargetFault::EndlessChunks => ("", "8\r\nendless \r\n"),
                TargetFault::EndlessExtensions => ("", &*extension),
                _ => ("0\r\n", "X-Filler: 0123456789\r\n"),
            };
            send_endlessly(stream, &format!("{head}{last}"), repeated).await
        }
        TargetFault::Padded(bytes) => {
            let padded = [body, vec![b' '; bytes]].concat();
            respond(stream, 200, &signed_headers, &padded).await.is_ok()
        }
        TargetFault::EndlessLines => send_endlessly(stream, "", "\r\n").await,
        TargetFault::CutHead(bytes) => {
            let head = format!(
                "HTTP/1.1 200 OK\r\n{signed_headers}Content-Length: {}\r\n\r\n",
                body.len()
            );
            send_raw(head[..bytes.min(head.len())].to_owned()).await;
            false
        }
        TargetFault::None | TargetFault::Shed | TargetFault::RepeatRefusal { .. } => {
            respond(stream, 200, &signed_headers, &body).await.is_ok()
        }
    }
}

/// Sends `first`, then `repeated` until the other side closes the connection. Returns `false`: the
/// connection cannot carry further requests.
async fn send_endlessly(mut stream: &TcpStream, first: &str, repeated: &str) -> bool {
    let block = repeated.repeat(64 * 1_024 / repeated.len());
    let mut is_open = stream.write_all(first.as_bytes()).await.is_ok();
    while is_open {
        is_open = stream.write_all(block.as_bytes()).await.is_ok();
    }
    false
}
