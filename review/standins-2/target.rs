//! Stand-in for a target. It registers in the store, runs up to `slots` requests at a time, queues a few
//! more, refuses the others, and drops a request when its channel closes.

use std::{
    io,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Channel, Message, response},
    record::Record,
    store::Store,
};

/// Interval at which a target writes its entry: `heartbeat_s` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Requests that wait for a slot; `queue` of the site file.
const QUEUE: usize = 6;

/// What a target is.
#[derive(Clone, Debug)]
pub struct Spec {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub version: String,
    pub slots: usize,
    pub work: Duration,
    /// Time for which the target is cold after a start during the run, in seconds.
    pub cold_s: f64,
    /// Part of the path of requests that crash the target some time after it has begun to run them.
    pub deadly: Option<&'static str>,
    pub crash_after: Duration,
    /// Time for which it is down after a crash.
    pub down: Duration,
    /// Requests in one second from which on the target crashes while it is cold.
    pub most_cold: Option<f64>,
}

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub path: String,
    /// Entry id of the process that runs it.
    pub target: String,
    pub is_cold: bool,
}

struct Process {
    id: String,
    born: u64,
    cold_until: Instant,
    is_up: AtomicBool,
    is_draining: AtomicBool,
    /// Whether the target writes its entry.
    has_entry: AtomicBool,
    /// Whether the port refuses new channels.
    is_port_closed: AtomicBool,
    running: AtomicUsize,
    waiting: AtomicUsize,
    channels: Mutex<Vec<TcpStream>>,
}

/// A target; it may be started again, as a new process with a new id.
#[derive(Clone)]
pub struct Target {
    pub spec: Arc<Spec>,
    pub addr: SocketAddr,
    store: Store,
    record: Record,
    boots: Arc<AtomicU64>,
    process: Arc<Mutex<Option<Arc<Process>>>>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// When requests that crash targets have crashed this one, with their paths.
    pub crashes: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Target {
    pub fn start(addr: SocketAddr, spec: Spec, store: &Store, record: &Record) -> io::Result<Self> {
        let target = Self {
            spec: Arc::new(spec),
            addr,
            store: store.clone(),
            record: record.clone(),
            boots: Arc::default(),
            process: Arc::default(),
            runs: Arc::default(),
            crashes: Arc::default(),
        };
        target.boot(0.0)?;
        Ok(target)
    }

    /// Starts a process that is cold for `cold_s`.
    pub fn boot(&self, cold_s: f64) -> io::Result<()> {
        let listener = TcpListener::bind(self.addr)?;
        listener.set_nonblocking(true)?;
        let boot = self.boots.fetch_add(1, Ordering::SeqCst) + 1;
        let process = Arc::new(Process {
            id: format!("{}-{boot}", self.spec.name),
            born: crate::record::unix_ms(),
            cold_until: Instant::now() + Duration::from_secs_f64(cold_s),
            is_up: AtomicBool::new(true),
            is_draining: AtomicBool::new(false),
            has_entry: AtomicBool::new(true),
            is_port_closed: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            channels: Mutex::default(),
        });
        *self.process.lock().unwrap() = Some(Arc::clone(&process));
        self.record.line(&format!(
            "target {} starts, cold for {cold_s} s",
            process.id
        ));
        let (target, accepting) = (self.clone(), Arc::clone(&process));
        thread::spawn(move || {
            while accepting.is_up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        if let Ok(clone) = stream.try_clone() {
                            accepting.channels.lock().unwrap().push(clone);
                        }
                        let (target, process) = (target.clone(), Arc::clone(&accepting));
                        thread::spawn(move || target.serve(&process, Channel::new(stream)));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(listener);
            accepting.is_port_closed.store(true, Ordering::SeqCst);
        });
        let target = self.clone();
        thread::spawn(move || {
            let mut seq = 0;
            while process.is_up.load(Ordering::SeqCst) {
                if process.has_entry.load(Ordering::SeqCst) {
                    target.write_entry(&process, seq);
                }
                seq += 1;
                let next = Instant::now() + HEARTBEAT;
                while process.is_up.load(Ordering::SeqCst) && Instant::now() < next {
                    thread::sleep(Duration::from_millis(20));
                }
            }
        });
        Ok(())
    }

    fn write_entry(&self, process: &Process, seq: u64) {
        let spec = &self.spec;
        let cold = process.cold_until.saturating_duration_since(Instant::now());
        let is_draining = process.is_draining.load(Ordering::SeqCst);
        let state = if is_draining { "draining" } else { "ready" };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{},\
             \"state\":\"{state}\",\"warmup_left_s\":{},\"seq\":{seq},\"born\":{}}}",
            spec.service,
            self.addr,
            spec.zone,
            spec.version,
            spec.slots,
            cold.as_secs_f64(),
            process.born
        );
        self.store.put("keyed.servers", &process.id, &entry);
    }

    fn process(&self) -> Option<Arc<Process>> {
        self.process.lock().unwrap().clone()
    }

    /// Returns the id of the entry.
    pub fn id(&self) -> String {
        self.process()
            .map(|process| process.id.clone())
            .unwrap_or_default()
    }

    /// Reports `draining`. The target serves on.
    pub fn drain(&self) {
        if let Some(process) = self.process() {
            process.is_draining.store(true, Ordering::SeqCst);
            self.write_entry(&process, 1_000);
            self.record
                .line(&format!("target {} reports draining", process.id));
        }
    }

    /// Removes the entry without reporting `draining`. The target serves on.
    pub fn leave(&self) {
        if let Some(process) = self.process() {
            process.has_entry.store(false, Ordering::SeqCst);
            self.store.put("keyed.servers", &process.id, "");
            self.record
                .line(&format!("target {}: its entry is removed", process.id));
        }
    }

    /// Ends the process as a crash does: all channels close and the port refuses new ones. The platform
    /// removes the entry after three intervals of silence. Returns whether a process was running.
    pub fn crash(&self) -> bool {
        let Some(process) = self.process.lock().unwrap().take() else {
            return false;
        };
        process.is_up.store(false, Ordering::SeqCst);
        // The port is closed before the channels end, as when the system ends a process.
        while !process.is_port_closed.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_micros(100));
        }
        for channel in process.channels.lock().unwrap().drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
        self.record.line(&format!("target {} crashes", process.id));
        let (store, id) = (self.store.clone(), process.id.clone());
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * 3);
            store.put("keyed.servers", &id, "");
        });
        true
    }

    /// Crashes, and starts again after the time for which it is down.
    fn crash_and_return(&self, path: &str) {
        let at = Instant::now();
        if !self.crash() {
            // It has crashed under another request already.
            return;
        }
        self.crashes.lock().unwrap().push((at, path.to_owned()));
        let target = self.clone();
        thread::spawn(move || {
            thread::sleep(target.spec.down);
            while target.boot(target.spec.cold_s).is_err() {
                thread::sleep(Duration::from_millis(20));
            }
        });
    }

    /// Returns the number of requests that the process began to run in the last second.
    fn in_last_second(&self, process: &Process) -> usize {
        let from = Instant::now() - Duration::from_secs(1);
        let runs = self.runs.lock().unwrap();
        runs.iter()
            .filter(|run| run.target == process.id && run.at >= from)
            .count()
    }

    fn headers(&self, process: &Process) -> String {
        let running = process.running.load(Ordering::SeqCst);
        let waiting = process.waiting.load(Ordering::SeqCst);
        format!(
            "X-Hibiscusway-Server-Load: {running},{waiting},{},100\r\nKeep-Alive: timeout=10\r\n",
            self.spec.slots
        )
    }

    fn serve(&self, process: &Arc<Process>, mut channel: Channel) {
        while let Ok(request) = channel.read() {
            if !process.is_up.load(Ordering::SeqCst) {
                return;
            }
            let reply = if request.path() == "/healthz" {
                let cold = process.cold_until.saturating_duration_since(Instant::now());
                let headers = format!(
                    "X-Hibiscusway-Instance-Id: {}\r\nX-Hibiscusway-Warmup-Ms: {}\r\n{}",
                    process.id,
                    cold.as_millis(),
                    self.headers(process)
                );
                Some(response(200, &headers, b""))
            } else {
                self.run(process, &channel, &request)
            };
            let Some(reply) = reply else { return };
            if channel.write(&reply).is_err() {
                return;
            }
        }
    }

    /// Runs a request. Returns the response, or `None` if the channel or the process has ended.
    fn run(&self, process: &Arc<Process>, channel: &Channel, request: &Message) -> Option<Vec<u8>> {
        let id = request
            .header("x-hibiscusway-request-id")
            .unwrap_or("-")
            .to_owned();
        let own = format!("X-Hibiscusway-Request-Id: {id}\r\n");
        let not_run = "X-Hibiscusway-Not-Executed: 1\r\n";
        let expected = request.header("x-hibiscusway-expect-instance");
        if expected.is_some_and(|expected| expected != process.id) {
            return Some(response(421, &format!("{not_run}{own}"), b""));
        }
        // Takes a slot, waits for one, or refuses.
        let mut is_waiting = false;
        loop {
            let taken = process
                .running
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| {
                    (n < self.spec.slots).then_some(n + 1)
                });
            if taken.is_ok() {
                break;
            }
            if !is_waiting {
                if process.waiting.fetch_add(1, Ordering::SeqCst) >= QUEUE {
                    process.waiting.fetch_sub(1, Ordering::SeqCst);
                    self.record
                        .line(&format!("target {} refuses {id}", process.id));
                    let headers = format!("{not_run}{own}{}", self.headers(process));
                    return Some(response(503, &headers, b""));
                }
                is_waiting = true;
            }
            thread::sleep(Duration::from_millis(1));
            if channel.is_closed() || !process.is_up.load(Ordering::SeqCst) {
                process.waiting.fetch_sub(1, Ordering::SeqCst);
                return None;
            }
        }
        if is_waiting {
            process.waiting.fetch_sub(1, Ordering::SeqCst);
        }
        let began = Instant::now();
        let is_cold = began < process.cold_until;
        let path = request.target().to_owned();
        self.record
            .line(&format!("target {} runs {id} {path}", process.id));
        self.runs.lock().unwrap().push(Run {
            at: began,
            id: id.clone(),
            path,
            target: process.id.clone(),
            is_cold,
        });
        if is_cold
            && self
                .spec
                .most_cold
                .is_some_and(|most| self.in_last_second(process) as f64 > most)
        {
            self.record.line(&format!(
                "target {} got too much while it is cold",
                process.id
            ));
            self.crash_and_return("cold");
        }
        let is_deadly = self
            .spec
            .deadly
            .is_some_and(|part| request.target().contains(part));
        let end = began + self.spec.work;
        let mut is_open = true;
        while is_open && Instant::now() < end {
            thread::sleep(Duration::from_millis(2));
            if is_deadly && began.elapsed() >= self.spec.crash_after {
                self.crash_and_return(request.target());
            }
            is_open = !channel.is_closed() && process.is_up.load(Ordering::SeqCst);
        }
        process.running.fetch_sub(1, Ordering::SeqCst);
        if !is_open {
            return None;
        }
        let headers = format!(
            "{own}X-Hibiscusway-Response-Signature: {}.{id}\r\n{}",
            process.id,
            self.headers(process)
        );
        let body = format!("{id}:{}:{}", process.id, request.body.len());
        Some(response(200, &headers, body.as_bytes()))
    }
}
