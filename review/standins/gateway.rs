//! A gateway process, started with the command of the deploy file.

use std::{
    env, fs, io,
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::http::{read_message, send_text};

const CALLER_PORT: u16 = 18_144;
const READY_PORT: u16 = 18_140;
const DIRECTORY_PORT: u16 = 18_143;
const CONTROL_PORT: u16 = 18_146;
const PEER_PORT: u16 = 17_660;
const METRICS_PORT: u16 = 17_675;

static NEXT: AtomicU32 = AtomicU32::new(1);

/// Returns a loopback address of this process on which all ports of a gateway are free.
pub fn free_ip() -> String {
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let process = std::process::id();
        let (high, low) = (process >> 8 & 63, process & 255);
        let ip = format!("127.{}.{}.{}", 64 + high, low, number & 255);
        let ports = [
            CALLER_PORT,
            READY_PORT,
            DIRECTORY_PORT,
            PEER_PORT,
            METRICS_PORT,
        ];
        let mut ports = ports.iter();
        if ports.all(|port| TcpListener::bind((&*ip, *port)).is_ok()) {
            return ip;
        }
    }
}

/// A gateway process. Dropping it kills the process.
pub struct Gateway {
    pub child: Child,
    pub ip: String,
    pub name: String,
    settings: PathBuf,
    log: PathBuf,
}

impl Gateway {
    /// Starts a process in `folder` with the settings of a small deployment. `is_first` states whether the
    /// whole system starts for the first time.
    pub fn start(
        folder: &str,
        ip: &str,
        zone: &str,
        store: SocketAddr,
        seeds: &[String],
        is_first: bool,
    ) -> io::Result<Self> {
        let name = format!("edge-{zone}-{}", ip.rsplit('.').next().unwrap_or_default());
        let settings = PathBuf::from(format!("{folder}/{name}.toml"));
        let log = PathBuf::from(format!("{folder}/{name}.log"));
        let mut text = settings_text(&name, ip, zone, store, seeds);
        if !is_first {
            text = later_start(&text);
        }
        fs::write(&settings, text)?;
        let child = spawn(&settings, &log)?;
        Ok(Self {
            child,
            ip: ip.to_owned(),
            name,
            settings,
            log,
        })
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child.wait()?;
        let text = fs::read_to_string(&self.settings)?;
        fs::write(&self.settings, later_start(&text))?;
        self.child = spawn(&self.settings, &self.log)?;
        Ok(())
    }

    pub fn callers(&self) -> SocketAddr {
        format!("{}:{CALLER_PORT}", self.ip).parse().unwrap()
    }

    /// Whether the readiness check answers 200.
    pub fn is_ready(&self) -> bool {
        let addr: SocketAddr = format!("{}:{READY_PORT}", self.ip).parse().unwrap();
        get(addr, "/-/readyz").is_some_and(|(status, _)| status == 200)
    }

    /// Returns a figure in kilobytes from the status of the process, such as `VmRSS`.
    pub fn memory_kb(&self, figure: &str) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|l| l.starts_with(figure))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until all gateways are ready. Returns whether they are within the limit.
pub fn wait_ready(gateways: &[Gateway], limit: Duration) -> bool {
    let start = Instant::now();
    while start.elapsed() < limit {
        if gateways.iter().all(Gateway::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Sends a `GET` on a new connection. Returns the status and the body of the answer.
pub fn get(addr: SocketAddr, target: &str) -> Option<(u16, Vec<u8>)> {
    let limit = Duration::from_secs(1);
    let stream = TcpStream::connect_timeout(&addr, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    send_text(
        &stream,
        &format!("GET {target} HTTP/1.1\r\nHost: h\r\n\r\n"),
    )
    .ok()?;
    let answer = read_message(&stream, &mut Vec::new()).ok()??;
    Some((answer.status(), answer.body))
}

/// Runs the command of the deploy file in the root of the repository.
fn spawn(settings: &PathBuf, log: &PathBuf) -> io::Result<Child> {
    let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
    let root = env::var("REPO_ROOT").unwrap_or_else(|_| String::from("."));
    Command::new(format!("{root}/target/release/hibiscusway"))
        .args(["--gateway", "--settings-var", "HIBISCUSWAY_SETTINGS"])
        .env("HIBISCUSWAY_SETTINGS", settings)
        .current_dir(root)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

/// Returns the settings of a process that starts when the system runs already.
fn later_start(text: &str) -> String {
    text.replace("first_start = true", "first_start = false")
}

/// Returns the settings that `deploy/settings.toml` gives for a small deployment.
fn settings_text(name: &str, ip: &str, zone: &str, store: SocketAddr, seeds: &[String]) -> String {
    let seeds: Vec<String> = seeds
        .iter()
        .map(|seed| format!("\"{seed}:{CONTROL_PORT}\""))
        .collect();
    let seeds = seeds.join(",");
    format!(
        "instance = \"{name}\"\nzone = \"{zone}\"\ncallers = \"{ip}:{CALLER_PORT}\"\n\
         ready = \"{ip}:{READY_PORT}\"\ndirectory = \"{ip}:{DIRECTORY_PORT}\"\n\
         peer = \"{ip}:{PEER_PORT}\"\nmetrics = \"{ip}:{METRICS_PORT}\"\nstore = \"{store}\"\n\
         seeds = [{seeds}]\nstop_s = 6\nleave_s = 2\napply_s = 2\nretry_ratio = 0.2\n\
         retry_slack = 60\nretry_window_s = 10\nprobes_per_s = 60\nfirst_start = true\n\
         link_mbps = 1000.0\n"
    )
}
