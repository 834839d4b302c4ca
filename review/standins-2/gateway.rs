//! Gateway processes, started with the command and the settings of the deploy file.

use std::{
    fs, io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::http::call;

const CALLERS: u16 = 18_144;
const READY: u16 = 18_140;
const CONTROL: u16 = 18_146;
const DIRECTORY: u16 = 18_143;
const PORTS: (u16, u16) = (17_660, 17_675);

/// A gateway process; dropping it kills the process.
pub struct Gateway {
    pub name: String,
    pub ip: Ipv4Addr,
    child: Child,
    folder: PathBuf,
    pub zone: String,
    store: SocketAddr,
    seeds: Vec<Ipv4Addr>,
}

impl Gateway {
    pub fn start(
        folder: &Path,
        name: &str,
        zone: &str,
        ip: Ipv4Addr,
        store: SocketAddr,
        seeds: &[Ipv4Addr],
        bootstrap: bool,
    ) -> io::Result<Self> {
        let text = settings(name, zone, ip, store, seeds, bootstrap)?;
        Ok(Self {
            name: name.to_owned(),
            ip,
            child: spawn(folder, name, &text)?,
            folder: folder.to_owned(),
            zone: zone.to_owned(),
            store,
            seeds: seeds.to_vec(),
        })
    }

    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), CALLERS)
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn is_ready(&self) -> bool {
        let addr = SocketAddr::new(IpAddr::V4(self.ip), READY);
        let request = b"GET /-/readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
        call(addr, request, Duration::from_secs(1)).is_ok_and(|answer| answer.status() == 200)
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again, as the platform does after it has ended.
    pub fn restart(&mut self) -> io::Result<()> {
        let text = settings(
            &self.name,
            &self.zone,
            self.ip,
            self.store,
            &self.seeds,
            false,
        )?;
        self.child = spawn(&self.folder, &self.name, &text)?;
        Ok(())
    }

    /// Sends a signal by its name, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, signal: &str) {
        let pid = self.pid().to_string();
        let _ = Command::new("kill")
            .args([&format!("-{signal}"), &pid])
            .status();
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(folder: &Path, name: &str, text: &str) -> io::Result<Child> {
    let file = folder.join(format!("{name}.toml"));
    fs::write(&file, text)?;
    let log = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(folder.join(format!("{name}.log")))?;
    // The command of `deploy/system.toml`.
    Command::new("target/release/hibiscusway")
        .args(["--gateway", "--settings-var", "HIBISCUSWAY_SETTINGS"])
        .env("HIBISCUSWAY_SETTINGS", &file)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

/// Fills in `deploy/settings.toml` with the values of a small site.
fn settings(
    name: &str,
    zone: &str,
    ip: Ipv4Addr,
    store: SocketAddr,
    seeds: &[Ipv4Addr],
    bootstrap: bool,
) -> io::Result<String> {
    let mut text = fs::read_to_string("deploy/settings.toml")?;
    let list: Vec<String> = seeds
        .iter()
        .map(|ip| format!("\"{ip}:{CONTROL}\""))
        .collect();
    if let (Some(start), Some(end)) = (text.find("{{#seeds}}"), text.find("{{/seeds}}")) {
        text.replace_range(start..end + "{{/seeds}}".len(), &list.join(","));
    }
    let values = [
        ("node", name.to_owned()),
        ("zone", zone.to_owned()),
        ("ip", ip.to_string()),
        ("listen.front", format!("{ip}:{CALLERS}")),
        ("listen.ready", format!("{ip}:{READY}")),
        ("listen.directory", format!("{ip}:{DIRECTORY}")),
        ("internal_port_range.0", PORTS.0.to_string()),
        ("internal_port_range.1", PORTS.1.to_string()),
        ("platform.address", store.to_string()),
        ("bounds.grace_s", String::from("6")),
        ("bounds.drain_s", String::from("2")),
        ("bounds.config_apply_s", String::from("2")),
        ("bounds.retry_budget_ratio", String::from("0.2")),
        ("bounds.retry_budget_slack", String::from("60")),
        ("bounds.budget_window_s", String::from("10")),
        ("bounds.expose_share", String::from("0.1")),
        ("bounds.expose_slack", String::from("50")),
        ("bounds.probes_per_s", String::from("60")),
        ("bootstrap", bootstrap.to_string()),
        ("limits.link_mbps", String::from("1000.0")),
    ];
    for (key, value) in values {
        text = text.replace(&format!("{{{{{key}}}}}"), &value);
    }
    if text.contains("{{") {
        return Err(io::Error::other(
            "a placeholder of the settings is not filled in",
        ));
    }
    Ok(text)
}

/// Waits until all gateways are ready.
pub fn wait_ready(gateways: &[Gateway], limit: Duration) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if gateways.iter().all(Gateway::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}
