//! A gateway instance as a process, on a loopback address of its own.

use std::{
    env, fs, io,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::atomic::{AtomicU32, Ordering},
};

/// Ports of every instance.
const CALLERS_PORT: u16 = 18_144;
const READY_PORT: u16 = 18_140;
const DIRECTORY_PORT: u16 = 18_143;
const PEER_PORT: u16 = 17_660;
const METRICS_PORT: u16 = 17_661;

static NEXT: AtomicU32 = AtomicU32::new(1);

/// A gateway process. Dropping it kills it.
#[derive(Debug)]
pub struct GatewayProcess {
    child: Child,
    binary: PathBuf,
    settings: PathBuf,
    /// File that its log goes to.
    pub log: PathBuf,
    /// Address of the machine.
    pub ip: Ipv4Addr,
    /// Availability zone.
    pub zone: String,
}

impl GatewayProcess {
    /// Starts an instance. `seeds` are the machines that it may ask for others.
    ///
    /// # Errors
    ///
    /// If files cannot be written or the process cannot be started.
    pub fn start(
        binary: &Path,
        zone: &str,
        store: SocketAddr,
        seeds: &[Ipv4Addr],
    ) -> io::Result<Self> {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        // Loopback has a /8 network; the process id keeps test binaries apart.
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, high | 1, low, number as u8);
        let name = format!("hibiscusway-gateway-{}-{number}", std::process::id());
        let settings = env::temp_dir().join(format!("{name}.toml"));
        let log = env::temp_dir().join(format!("{name}.log"));
        fs::write(&settings, settings_text(number, ip, zone, store, seeds))?;
        let child = spawn(binary, &settings, &log)?;
        Ok(Self {
            child,
            binary: binary.to_owned(),
            settings,
            log,
            ip,
            zone: zone.to_owned(),
        })
    }

    /// Replaces the process by one whose output nobody reads.
    ///
    /// # Errors
    ///
    /// If the process cannot be replaced.
    pub fn restart_unread(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        self.child = command(&self.binary, &self.settings)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        Ok(())
    }

    /// Starts the process again after it ended.
    ///
    /// # Errors
    ///
    /// If it cannot be started.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child.wait()?;
        self.child = spawn(&self.binary, &self.settings, &self.log)?;
        Ok(())
    }

    /// Address for callers.
    #[must_use]
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::from((self.ip, CALLERS_PORT))
    }

    /// Address of the readiness check.
    #[must_use]
    pub fn ready(&self) -> SocketAddr {
        SocketAddr::from((self.ip, READY_PORT))
    }

    /// Address of the address query.
    #[must_use]
    pub fn directory(&self) -> SocketAddr {
        SocketAddr::from((self.ip, DIRECTORY_PORT))
    }

    /// Address of the metrics.
    #[must_use]
    pub fn metrics(&self) -> SocketAddr {
        SocketAddr::from((self.ip, METRICS_PORT))
    }

    /// Sends a signal by name, such as `TERM`, `KILL`, `STOP` or `CONT`.
    ///
    /// # Errors
    ///
    /// If the signal cannot be sent.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status()?;
        sent.success()
            .then_some(())
            .ok_or_else(|| io::Error::other("the signal was not sent"))
    }

    /// How the process ended; `None` while it runs.
    ///
    /// # Errors
    ///
    /// If its state cannot be read.
    pub fn ended(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// What it has logged.
    ///
    /// # Errors
    ///
    /// If the file cannot be read.
    pub fn log_text(&self) -> io::Result<String> {
        fs::read_to_string(&self.log)
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
        if !std::thread::panicking() && env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_file(&self.log);
        }
    }
}

fn spawn(binary: &Path, settings: &Path, log: &Path) -> io::Result<Child> {
    let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
    command(binary, settings)
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

fn command(binary: &Path, settings: &Path) -> Command {
    let mut command = Command::new(binary);
    command
        .args(["--gateway", "--settings"])
        .arg(settings)
        .stdin(Stdio::null());
    command
}

fn settings_text(
    number: u32,
    ip: Ipv4Addr,
    zone: &str,
    store: SocketAddr,
    seeds: &[Ipv4Addr],
) -> String {
    let seeds: Vec<String> = seeds
        .iter()
        .map(|s| format!("\"{s}:{PEER_PORT}\""))
        .collect();
    format!(
        "instance = \"edge-{number}\"\nzone = \"{zone}\"\n\
         callers = \"{ip}:{CALLERS_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n\
         directory = \"{ip}:{DIRECTORY_PORT}\"\npeer = \"{ip}:{PEER_PORT}\"\n\
         metrics = \"{ip}:{METRICS_PORT}\"\nstore = \"{store}\"\nseeds = [{}]\n\
         stop_s = 6\nretry_ratio = 0.2\nretry_slack = 60\nretry_window_s = 10\nprobes_per_s = 60\n",
        seeds.join(", ")
    )
}
