//! An instance as a child process, whose CPU time and memory are read from `/proc`.

use std::{
    env, fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

/// Ticks per second of the times in `/proc/<pid>/stat`, fixed in Linux's interface.
const TICKS_PER_SECOND: f64 = 100.0;
/// Positions of the user and system time among the fields after the command name in
/// `/proc/<pid>/stat`.
const CPU_FIELDS: [usize; 2] = [11, 12];

/// An instance in a separate process. Dropping it kills the process.
#[derive(Debug)]
pub struct ChildInstance {
    child: Child,
    settings: PathBuf,
    /// Address for calls.
    pub addr: SocketAddr,
}

impl ChildInstance {
    /// Starts `binary` as instance `id`.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings cannot be written, no port is free or the process cannot be
    /// started.
    pub fn start(
        binary: &Path,
        id: &str,
        zone: &str,
        log: SocketAddr,
        list: SocketAddr,
    ) -> io::Result<Self> {
        Self::start_with_settings(binary, id, zone, log, list, "")
    }

    /// Starts `binary` as instance `id` with additional lines in its settings.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`ChildInstance::start`].
    pub fn start_with_settings(
        binary: &Path,
        id: &str,
        zone: &str,
        log: SocketAddr,
        list: SocketAddr,
        extra_settings: &str,
    ) -> io::Result<Self> {
        let addrs = crate::cluster::free_addrs()?;
        let text = crate::cluster::settings_text(id, zone, log, list, addrs) + extra_settings;
        let name = format!("hibiscusway-testkit-{}-{id}.toml", std::process::id());
        let settings = env::temp_dir().join(name);
        fs::write(&settings, text)?;
        let child = Command::new(binary)
            .arg("--settings")
            .arg(&settings)
            .args(["--log", "error"])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()?;
        Ok(Self {
            child,
            settings,
            addr: addrs[0],
        })
    }

    /// Returns the CPU time that the process has used so far.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn cpu_time(&self) -> io::Result<Duration> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let ticks = |i: &usize| fields.get(*i)?.parse::<f64>().ok();
        let used: Option<f64> = CPU_FIELDS.iter().map(ticks).sum();
        let used = used.ok_or_else(|| io::Error::other("unexpected /proc/<pid>/stat"))?;
        Ok(Duration::from_secs_f64(used / TICKS_PER_SECOND))
    }

    /// Returns the resident memory of the process in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn resident_bytes(&self) -> io::Result<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kib = line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<u64>().ok());
        kib.map(|k| k * 1024)
            .ok_or_else(|| io::Error::other("unexpected /proc/<pid>/status"))
    }

    /// Sends the process `TERM`, which starts a planned stop.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn terminate(&self) -> io::Result<()> {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &pid]).status()?;
        sent.success()
            .then_some(())
            .ok_or_else(|| io::Error::other(format!("signal TERM was not sent to {pid}")))
    }

    /// Returns the exit status of the process, or `None` while it runs.
    ///
    /// # Errors
    ///
    /// Returns an error if the state of the process cannot be read.
    pub fn exit_status(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }
}

impl Drop for ChildInstance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Returns the path of the `hibiscusway` binary in the build directory of the running example, if
/// it was built.
#[must_use]
pub fn built_binary() -> Option<PathBuf> {
    let example = env::current_exe().ok()?;
    let binary = example.parent()?.parent()?.join("hibiscusway");
    binary.is_file().then_some(binary)
}
