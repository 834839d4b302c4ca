//! Stand-in for a target: registers in the store, runs a few requests at a time, queues a few more
//! and turns away the rest, as the pages say.

use std::{
    collections::VecDeque,
    io::{self, ErrorKind},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Message, read_message, respond, respond_head},
    record::Record,
    store::Store,
};

/// Interval at which a target writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Time between two checks of a request that waits or runs.
const STEP: Duration = Duration::from_millis(2);

/// What a target is.
#[derive(Clone, Debug)]
pub struct Spec {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    /// Requests that wait for a slot; more are turned away.
    pub queue: u32,
    /// Time that a request takes.
    pub work: Duration,
    /// Time from the start of a request that crashes targets to the crash.
    pub fuse: Duration,
    /// Time for which the target is down after a crash.
    pub outage: Duration,
    /// Requests a second that the target takes from all machines, named in all its answers.
    pub limit: Option<u32>,
}

impl Spec {
    /// Returns a target as those of the small deployments.
    pub fn new(id: &str, service: &str, zone: &str) -> Self {
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots: 3,
            queue: 6,
            work: Duration::from_millis(90),
            fuse: Duration::from_millis(30),
            outage: Duration::from_secs(2),
            limit: None,
        }
    }
}

/// What became of one request at a target. Times are since the start of the record.
#[derive(Clone, Debug, Default)]
pub struct Run {
    pub id: String,
    pub arrived: Duration,
    /// When it began to run.
    pub began: Option<Duration>,
    /// When it ended or was given up, also because of a crash.
    pub ended: Option<Duration>,
    /// Whether its channel was closed before the answer.
    pub is_cancelled: bool,
    /// Whether the target crashed before the answer.
    pub is_lost: bool,
    /// Whether it crashed the target itself.
    pub is_cause: bool,
}

#[derive(Default)]
struct State {
    running: u32,
    waiting: VecDeque<u64>,
    next_ticket: u64,
    runs: Vec<Run>,
    streams: Vec<TcpStream>,
    /// Number of the process; rises with each start.
    process: u32,
    is_up: bool,
    born: u64,
    crashes: u32,
}

/// A running target. Clones share its state.
#[derive(Clone)]
pub struct Target {
    pub spec: Arc<Spec>,
    pub addr: SocketAddr,
    store: Store,
    record: Record,
    state: Arc<Mutex<State>>,
}

impl Target {
    /// Starts a target on a free port of `ip` and registers it.
    pub fn start(ip: &str, spec: Spec, store: &Store, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let target = Self {
            spec: Arc::new(spec),
            addr: listener.local_addr()?,
            store: store.clone(),
            record: record.clone(),
            state: Arc::default(),
        };
        target.begin(listener);
        let beating = target.clone();
        thread::spawn(move || {
            for seq in 2_u64.. {
                thread::sleep(HEARTBEAT);
                if beating.lock().is_up {
                    beating.register(seq);
                }
            }
        });
        Ok(target)
    }

    /// Starts a process: listens, registers and serves.
    fn begin(&self, listener: TcpListener) {
        let mut state = self.lock();
        state.is_up = true;
        state.process += 1;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        state.born = now.as_millis() as u64;
        let process = state.process;
        drop(state);
        self.register(1);
        let server = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut state = server.lock();
                if !state.is_up || state.process != process {
                    return;
                }
                if let Ok(clone) = stream.try_clone() {
                    state.streams.push(clone);
                }
                drop(state);
                let server = server.clone();
                thread::spawn(move || server.serve(&stream, process));
            }
        });
    }

    fn register(&self, seq: u64) {
        let born = self.lock().born;
        let Spec {
            id,
            service,
            zone,
            slots,
            ..
        } = &*self.spec;
        let addr = self.addr;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\
             \"warmup_left_s\":0,\"seq\":{seq},\"born\":{born}}}"
        );
        self.store.put("keyed.servers", id, &entry);
    }

    /// Ends the process as a crash does. Another one starts after the outage.
    pub fn crash(&self) {
        let mut state = self.lock();
        if !state.is_up {
            return;
        }
        state.is_up = false;
        state.crashes += 1;
        state.waiting.clear();
        state.running = 0;
        for stream in state.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        drop(state);
        self.record.line(&format!("{} crashes", self.spec.id));
        // Ends the wait of the listener, which is dropped then.
        let _ = TcpStream::connect_timeout(&self.addr, Duration::from_millis(100));
        let target = self.clone();
        thread::spawn(move || {
            thread::sleep(target.spec.outage);
            loop {
                if let Ok(listener) = TcpListener::bind(target.addr) {
                    target.record.line(&format!("{} is back", target.spec.id));
                    return target.begin(listener);
                }
                thread::sleep(Duration::from_millis(20));
            }
        });
    }

    /// Returns what became of all requests so far.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Returns the number of crashes.
    pub fn crashes(&self) -> u32 {
        self.lock().crashes
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Returns the header lines that all answers have.
    fn load_head(&self) -> String {
        let (running, waiting) = {
            let state = self.lock();
            (state.running, state.waiting.len())
        };
        let slots = self.spec.slots;
        let limit = self
            .spec
            .limit
            .map(|rate| format!("Server-Limit: {rate}\r\n"));
        let limit = limit.unwrap_or_default();
        format!("X-Hibiscusway-Server-Load: {running},{waiting},{slots},100\r\n{limit}")
    }

    fn serve(&self, stream: &TcpStream, process: u32) {
        let _ = stream.set_nodelay(true);
        let mut input = Vec::new();
        while let Ok(Some(request)) = read_message(stream, &mut input) {
            let state = self.lock();
            if !state.is_up || state.process != process {
                return;
            }
            drop(state);
            let is_open = if request.path() == "/healthz" {
                let id = &self.spec.id;
                let load = self.load_head();
                let head = format!("X-Hibiscusway-Instance-Id: {id}\r\n{load}");
                respond(stream, 200, &head, b"").is_ok()
            } else {
                self.answer(stream, &request, process)
            };
            if !is_open {
                return;
            }
        }
    }

    /// Answers a request. Returns whether its channel stays open.
    fn answer(&self, stream: &TcpStream, request: &Message, process: u32) -> bool {
        let own = &self.spec.id;
        let id = request.id().to_owned();
        let id_line = format!("X-Hibiscusway-Request-Id: {id}\r\n");
        let expected = request.header("x-hibiscusway-expect-instance");
        if expected.is_some_and(|expected| expected != own) {
            let head = format!("X-Hibiscusway-Instance-Id: {own}\r\n{id_line}");
            return respond(stream, 421, &head, b"").is_ok();
        }
        let arrived = self.record.now();
        let mut state = self.lock();
        let index = state.runs.len();
        state.runs.push(Run {
            id: id.clone(),
            arrived,
            ..Run::default()
        });
        let is_full =
            state.running >= self.spec.slots && state.waiting.len() >= self.spec.queue as usize;
        let ticket = state.next_ticket;
        if !is_full {
            state.next_ticket += 1;
            state.waiting.push_back(ticket);
        }
        drop(state);
        self.record
            .line(&format!("{own} gets {id} {}", request.start));
        if is_full {
            let load = self.load_head();
            let head = format!("X-Hibiscusway-Not-Executed: 1\r\n{id_line}{load}");
            return respond(stream, 503, &head, b"").is_ok();
        }
        if !self.wait_for_slot(stream, ticket, process) {
            self.give_up(index, process);
            return false;
        }
        self.lock().runs[index].began = Some(self.record.now());
        let is_fatal = request.path().contains("/poison/");
        let work = if is_fatal {
            self.spec.fuse
        } else {
            self.spec.work
        };
        let is_done = self.work(stream, work, process);
        if is_fatal && is_done {
            let mut state = self.lock();
            let run = &mut state.runs[index];
            (run.is_lost, run.is_cause, run.ended) = (true, true, Some(self.record.now()));
            drop(state);
            self.crash();
            return false;
        }
        if !is_done {
            self.give_up(index, process);
            return false;
        }
        let ended = self.record.now();
        let mut state = self.lock();
        state.running -= 1;
        state.runs[index].ended = Some(ended);
        drop(state);
        self.record.line(&format!("{own} has run {id}"));
        let load = self.load_head();
        let head = format!("{id_line}X-Hibiscusway-Response-Signature: s.{id}\r\n{load}");
        let body = format!("{id}@{own}");
        if request.start.starts_with("HEAD ") {
            return respond_head(stream, 200, &head, body.len()).is_ok();
        }
        respond(stream, 200, &head, body.as_bytes()).is_ok()
    }

    /// Waits until a request may run. Returns `false` if its channel was closed before.
    fn wait_for_slot(&self, stream: &TcpStream, ticket: u64, process: u32) -> bool {
        loop {
            let mut state = self.lock();
            if !state.is_up || state.process != process {
                return false;
            }
            if state.running < self.spec.slots && state.waiting.front() == Some(&ticket) {
                state.waiting.pop_front();
                state.running += 1;
                return true;
            }
            drop(state);
            if !is_open(stream) {
                self.lock().waiting.retain(|t| *t != ticket);
                return false;
            }
            thread::sleep(STEP);
        }
    }

    /// Works on a request. Returns `false` if its channel was closed before the end.
    fn work(&self, stream: &TcpStream, work: Duration, process: u32) -> bool {
        let end = Instant::now() + work;
        while Instant::now() < end {
            thread::sleep(STEP);
            let state = self.lock();
            if !state.is_up || state.process != process {
                return false;
            }
            drop(state);
            if !is_open(stream) {
                return false;
            }
        }
        true
    }

    /// Ends a request without an answer.
    fn give_up(&self, index: usize, process: u32) {
        let now = self.record.now();
        let mut state = self.lock();
        let is_same = state.is_up && state.process == process;
        if state.runs[index].began.is_some() && is_same {
            state.running -= 1;
        }
        let run = &mut state.runs[index];
        run.ended = Some(now);
        run.is_cancelled = is_same;
        run.is_lost = !is_same;
        let id = run.id.clone();
        drop(state);
        let why = if is_same { "channel closed" } else { "crash" };
        self.record
            .line(&format!("{} gives up {id}: {why}", self.spec.id));
    }
}

/// Whether the other side has not closed a channel.
fn is_open(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return false;
    }
    let peeked = stream.peek(&mut [0]);
    let is_set = stream.set_nonblocking(false).is_ok();
    match peeked {
        Ok(count) => is_set && count > 0,
        Err(error) => is_set && error.kind() == ErrorKind::WouldBlock,
    }
}
