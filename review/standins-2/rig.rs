//! A small deployment: a store, targets, gateways, and clients that keep their channels.

use std::{
    env, fs, io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    gateway::{Gateway, wait_ready},
    http::{Channel, Message},
    record::Record,
    store::Store,
    target::{Spec, Target},
};

pub const HOST: &str = "shop.example";
pub const ZONES: [&str; 3] = ["a", "b", "c"];

pub struct Rig {
    pub record: Record,
    pub store: Store,
    pub targets: Vec<Target>,
    pub gateways: Vec<Gateway>,
    pub folder: PathBuf,
    net: [u8; 2],
    next_target: u8,
}

impl Rig {
    /// Starts a store. All addresses are in a loopback network that this process has for itself.
    pub fn start(record: &Record) -> io::Result<Self> {
        let pid = std::process::id();
        let net = [(pid >> 8) as u8 | 1, pid as u8];
        let folder = env::temp_dir().join(format!("hibiscusway-review-{pid}"));
        fs::create_dir_all(&folder)?;
        let store = Store::start(SocketAddr::new(ip(net, 250), 18_142))?;
        Ok(Self {
            record: record.clone(),
            store,
            targets: Vec::new(),
            gateways: Vec::new(),
            folder,
            net,
            next_target: 100,
        })
    }

    /// Writes the first manifest.
    pub fn publish(&self, routes: &str, services: &str) {
        // The limits are those of the example in `fleetbench wire`.
        let config = format!(
            "{{\"version\":\"00000007\",\"routes\":[{routes}],\"services\":[{services}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\
             \"header_timeout_s\":3,\"idle_timeout_s\":15}}}}"
        );
        self.record.line(&format!("operator writes {config}"));
        self.store.put("keyed.op", "config", &config);
    }

    pub fn add_target(&mut self, spec: Spec) -> io::Result<Target> {
        let addr = SocketAddr::new(ip(self.net, self.next_target), 18_101);
        self.next_target += 1;
        let target = Target::start(addr, spec, &self.store, &self.record)?;
        self.targets.push(target.clone());
        Ok(target)
    }

    /// Starts `count` gateways over the zones, beside those that run.
    pub fn start_gateways(&mut self, count: usize) -> io::Result<()> {
        let is_first = self.gateways.is_empty();
        let first = self.gateways.len();
        let seeds: Vec<Ipv4Addr> = (0..3).map(|index| self.gateway_ip(index)).collect();
        for index in first..first + count {
            let name = format!("edge-{}", index + 1);
            let (zone, ip) = (ZONES[index % 3], self.gateway_ip(index));
            let addr = self.store.addr;
            let gateway = Gateway::start(&self.folder, &name, zone, ip, addr, &seeds, is_first)?;
            self.gateways.push(gateway);
        }
        Ok(())
    }

    /// Waits until all gateways are ready.
    pub fn wait_ready(&self) -> io::Result<()> {
        if wait_ready(&self.gateways, Duration::from_secs(15)) {
            return Ok(());
        }
        Err(io::Error::other("the gateways are not ready within 15 s"))
    }

    fn gateway_ip(&self, index: usize) -> Ipv4Addr {
        ipv4(self.net, index as u8 + 1)
    }

    /// Kills the gateways of some zones at the same moment.
    pub fn kill(&mut self, is_hit: impl Fn(&str) -> bool) {
        let hit = |gateway: &&mut Gateway| is_hit(&gateway.zone);
        for gateway in self.gateways.iter_mut().filter(hit) {
            gateway.signal("KILL");
        }
        for gateway in self.gateways.iter_mut().filter(hit) {
            gateway.kill();
            self.record
                .line(&format!("platform kills {}", gateway.name));
        }
    }

    /// Starts the gateways again that have ended.
    pub fn restart_ended(&mut self) -> io::Result<()> {
        for gateway in &mut self.gateways {
            if gateway.has_ended() {
                gateway.restart()?;
                self.record
                    .line(&format!("platform starts {}", gateway.name));
            }
        }
        Ok(())
    }

    /// Kills all gateways at the same moment and starts them again after `down`.
    pub fn kill_all(&mut self, down: Duration) -> io::Result<()> {
        self.kill(|_| true);
        thread::sleep(down);
        self.restart_ended()
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.gateways.clear();
        if env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("logs: {}", self.folder.display());
        }
    }
}

fn ipv4(net: [u8; 2], host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, net[0], net[1], host)
}

fn ip(net: [u8; 2], host: u8) -> IpAddr {
    IpAddr::V4(ipv4(net, host))
}

/// A route in the form of the manifest.
pub fn route(name: &str, kind: &str, prefix: &str, service: &str, more: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"service\":\"{service}\",{more}}}"
    )
}

pub fn service(name: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_conns\":240,\"protocol\":\"h1\",\
         \"tls\":false,\"warmup_s\":3.0,\"warmup_per_s\":11.0}}"
    )
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns the id of the next client attempt.
pub fn next_id() -> String {
    format!(
        "{:016x}",
        0x9c41_0000_u64 + NEXT_ID.fetch_add(1, Ordering::SeqCst)
    )
}

/// Encodes a client's request.
pub fn request(method: &str, target: &str, id: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut head = format!(
        "{method} {target} HTTP/1.1\r\nHost: {HOST}\r\nX-Hibiscusway-Request-Id: {id}\r\n\
         X-Hibiscusway-Deadline-Ms: {deadline_ms}\r\n"
    );
    if method != "GET" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// What a client has seen of one request.
#[derive(Clone, Debug)]
pub struct Seen {
    pub id: String,
    pub gateway: usize,
    pub sent: Instant,
    /// Status; 0 if the channel ended without an answer.
    pub status: u16,
}

/// Sends a request on `channel`, or on a new one, and waits for the answer until the deadline.
pub fn exchange(
    record: &Record,
    gateway: usize,
    addr: SocketAddr,
    channel: &mut Option<Channel>,
    id: &str,
    bytes: &[u8],
    limit: Duration,
) -> Option<Seen> {
    if channel.is_none() {
        *channel = Channel::connect(addr).ok();
    }
    let open = channel.as_mut()?;
    let sent = Instant::now();
    let end = sent + limit;
    let line = String::from_utf8_lossy(bytes.split(|b| *b == b'\r').next().unwrap_or_default());
    record.line(&format!(
        "client sends {id} to edge-{} ({line})",
        gateway + 1
    ));
    let result = open.write(bytes).and_then(|()| open.read_until(end));
    let answer = match result {
        Ok(answer) => Some(answer),
        Err(error) => {
            record.line(&format!(
                "client sees the end of the channel of {id}: {error}"
            ));
            None
        }
    };
    if let Some(answer) = &answer {
        record.line(&format!("client gets {id}: {}", answer.status()));
    }
    let closes = |a: &Message| a.header("connection").is_some_and(|c| c.contains("close"));
    if answer.as_ref().is_none_or(closes) {
        *channel = None;
    }
    Some(Seen {
        id: id.to_owned(),
        gateway,
        sent,
        status: answer.as_ref().map_or(0, Message::status),
    })
}

/// Clients that each send one request after the other, with a pause between, on channels that they keep.
pub struct Load {
    pub seen: Arc<Mutex<Vec<Seen>>>,
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Load {
    pub fn start(
        rig: &Rig,
        clients: usize,
        pause: Duration,
        deadline_ms: u64,
        make: impl Fn(usize, &str) -> Vec<u8> + Send + Sync + 'static,
    ) -> Self {
        let (seen, stop) = (
            Arc::new(Mutex::new(Vec::new())),
            Arc::new(AtomicBool::new(false)),
        );
        let make = Arc::new(make);
        let addrs: Vec<SocketAddr> = rig.gateways.iter().map(Gateway::callers).collect();
        let threads = (0..clients).map(|number| {
            let (seen, stop, make) = (Arc::clone(&seen), Arc::clone(&stop), Arc::clone(&make));
            let (record, addrs) = (rig.record.clone(), addrs.clone());
            thread::spawn(move || {
                let gateway = number % addrs.len();
                let mut channel = None;
                thread::sleep(pause * number as u32 / clients.max(1) as u32);
                while !stop.load(Ordering::SeqCst) {
                    let id = next_id();
                    let bytes = make(number, &id);
                    let limit = Duration::from_millis(deadline_ms);
                    let addr = addrs[gateway];
                    let result = exchange(&record, gateway, addr, &mut channel, &id, &bytes, limit);
                    if let Some(result) = result {
                        seen.lock().unwrap().push(result);
                    }
                    thread::sleep(pause);
                }
            })
        });
        Self {
            threads: threads.collect(),
            seen,
            stop,
        }
    }

    pub fn stop(self) -> Vec<Seen> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.seen.lock().unwrap().clone()
    }
}

/// Whether the run has its disruption.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").as_deref() != Ok("0")
}

/// Creates the record in the folder of a case.
pub fn record_in(folder: &Path) -> io::Result<Record> {
    Record::create(&folder.join("record.txt"))
}
