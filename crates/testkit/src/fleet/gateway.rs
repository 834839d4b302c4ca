//! A gateway instance as a child process with its own loopback address.

use std::{
    env, fs, io,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::atomic::{AtomicU32, Ordering},
};

// All instances use the same ports, each on its own address.
const CALLER_PORT: u16 = 18_144;
const READY_PORT: u16 = 18_140;
const DIRECTORY_PORT: u16 = 18_143;
const PEER_PORT: u16 = 17_660;
const METRICS_PORT: u16 = 17_661;

/// Number of the next instance that this process starts.
static NEXT_NUMBER: AtomicU32 = AtomicU32::new(1);

/// A gateway process. Dropping it kills the process.
#[derive(Debug)]
pub struct GatewayProcess {
    child: Child,
    binary: PathBuf,
    settings: PathBuf,
    /// File that receives the process's standard output and standard error.
    pub log_path: PathBuf,
    /// Loopback address that the instance listens on with all its ports.
    pub ip: Ipv4Addr,
    /// Availability zone.
    pub zone: String,
}

impl GatewayProcess {
    /// Starts an instance. `seeds` are the addresses of instances that it asks for the other ones.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings or log file cannot be written or the process cannot be
    /// started.
    pub fn start(
        binary: &Path,
        zone: &str,
        store: SocketAddr,
        seeds: &[Ipv4Addr],
    ) -> io::Result<Self> {
        Self::start_with_settings(binary, zone, store, seeds, "")
    }

    /// Same as [`Self::start`], with further lines of settings.
    ///
    /// # Errors
    ///
    /// See [`Self::start`].
    pub fn start_with_settings(
        binary: &Path,
        zone: &str,
        store: SocketAddr,
        seeds: &[Ipv4Addr],
        lines: &str,
    ) -> io::Result<Self> {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        // The process id in the address keeps test binaries that run at the same time apart.
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, high | 1, low, number as u8);
        let name = format!("hibiscusway-gateway-{}-{number}", std::process::id());
        let settings = env::temp_dir().join(format!("{name}.toml"));
        let log = env::temp_dir().join(format!("{name}.log"));
        let text = settings_text(number, ip, zone, store, seeds) + lines;
        fs::write(&settings, text)?;
        let child = spawn(binary, &settings, &log)?;
        Ok(Self {
            child,
            binary: binary.to_owned(),
            settings,
            log_path: log,
            ip,
            zone: zone.to_owned(),
        })
    }

    /// Kills the process and starts one whose standard output is a pipe that nothing reads.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be killed or the new one cannot be started.
    pub fn restart_with_unread_output(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        self.child = command(&self.binary, &self.settings)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()?;
        Ok(())
    }

    /// Kills the process and starts it with `extra` at the end of its settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written or the process cannot be killed or started.
    pub fn restart_with_settings(&mut self, extra: &str) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        self.add_settings(extra)?;
        self.child = spawn(&self.binary, &self.settings, &self.log_path)?;
        Ok(())
    }

    /// Adds `text` to the settings, which are in force after the next start.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings file cannot be written.
    pub fn add_settings(&self, text: &str) -> io::Result<()> {
        let mut settings = fs::read_to_string(&self.settings)?;
        settings.push_str(text);
        fs::write(&self.settings, settings)
    }

    /// Lets the next start run the program at `binary`.
    pub fn set_binary(&mut self, binary: &Path) {
        binary.clone_into(&mut self.binary);
    }

    /// Waits until the process has ended and starts it again.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child.wait()?;
        self.child = spawn(&self.binary, &self.settings, &self.log_path)?;
        Ok(())
    }

    /// Returns the address for callers.
    #[must_use]
    pub fn caller_addr(&self) -> SocketAddr {
        SocketAddr::from((self.ip, CALLER_PORT))
    }

    /// Returns the address of the readiness check.
    #[must_use]
    pub fn ready_addr(&self) -> SocketAddr {
        SocketAddr::from((self.ip, READY_PORT))
    }

    /// Returns the address of the address query.
    #[must_use]
    pub fn directory_addr(&self) -> SocketAddr {
        SocketAddr::from((self.ip, DIRECTORY_PORT))
    }

    /// Returns the address for other instances.
    #[must_use]
    pub fn peer_addr(&self) -> SocketAddr {
        SocketAddr::from((self.ip, PEER_PORT))
    }

    /// Returns the address of the metrics.
    #[must_use]
    pub fn metrics_addr(&self) -> SocketAddr {
        SocketAddr::from((self.ip, METRICS_PORT))
    }

    /// Returns the id of the process.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the number of file descriptors that the process has open.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn open_fds(&self) -> io::Result<usize> {
        Ok(fs::read_dir(format!("/proc/{}/fd", self.child.id()))?.count())
    }

    /// Sends the process a signal, given by name, such as `TERM`, `KILL`, `STOP` or `CONT`.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status()?;
        sent.success()
            .then_some(())
            .ok_or_else(|| io::Error::other(format!("signal {name} was not sent to {pid}")))
    }

    /// Returns the exit status of the process, or `None` while it runs.
    ///
    /// # Errors
    ///
    /// Returns an error if the state of the process cannot be read.
    pub fn exit_status(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Returns the largest resident memory of the process so far, in kilobytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the status of the process cannot be read.
    pub fn peak_memory_kb(&self) -> io::Result<u64> {
        self.status_kb("VmHWM:")
    }

    /// Returns the resident memory of the process, in kilobytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the status of the process cannot be read.
    pub fn memory_kb(&self) -> io::Result<u64> {
        self.status_kb("VmRSS:")
    }

    /// Returns a value of the status of the process, in kilobytes.
    fn status_kb(&self, name: &str) -> io::Result<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let value = status.lines().find_map(|l| l.strip_prefix(name));
        let number = value.and_then(|text| text.split_whitespace().next()?.parse().ok());
        number.ok_or_else(|| io::Error::other(format!("no {name} in the status of the process")))
    }

    /// Returns the text that the process has logged so far.
    ///
    /// # Errors
    ///
    /// Returns an error if the log file cannot be read.
    pub fn log_text(&self) -> io::Result<String> {
        fs::read_to_string(&self.log_path)
    }

    /// Returns the latest version of a configuration that the process has logged as in force; 0 if none.
    ///
    /// # Errors
    ///
    /// Returns an error if the log file cannot be read.
    pub fn logged_config(&self) -> io::Result<u64> {
        let text = self.log_text()?;
        let lines = text.lines().filter(|line| line.contains("event=config "));
        let versions = lines.filter_map(|line| line.split_once(" version=")?.1.split(' ').next());
        Ok(versions.filter_map(|v| v.parse().ok()).max().unwrap_or(0))
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
        if !std::thread::panicking() && env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_file(&self.log_path);
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

/// Returns the settings file of an instance.
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
         callers = \"{ip}:{CALLER_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n\
         directory = \"{ip}:{DIRECTORY_PORT}\"\npeer = \"{ip}:{PEER_PORT}\"\n\
         metrics = \"{ip}:{METRICS_PORT}\"\nstore = \"{store}\"\nseeds = [{}]\n\
         stop_s = 6\nretry_ratio = 0.2\nretry_slack = 60\nretry_window_s = 10\nprobes_per_s = 60\n",
        seeds.join(", ")
    )
}
