//! A small deployment: a store, targets of one service and gateways.

use std::{env, fs, io, time::Duration};

use crate::{
    gateway::{Gateway, free_ip, wait_ready},
    record::Record,
    store::Store,
    target::{Spec, Target},
};

/// Host name of all routes.
pub const HOST: &str = "shop.example";

/// A running deployment. Dropping it ends its processes and removes its folder.
pub struct Rig {
    pub store: Store,
    pub targets: Vec<Target>,
    pub gateways: Vec<Gateway>,
    pub folder: String,
    ip: String,
    record: Record,
}

/// Times of the routes, in seconds.
#[derive(Clone, Copy)]
pub struct Times {
    pub timeout_s: f64,
    pub aim_s: f64,
}

impl Rig {
    /// Starts a deployment. Targets are in the zones in turn, and so are gateways.
    pub fn start(
        specs: Vec<Spec>,
        gateways: usize,
        times: Times,
        record: &Record,
    ) -> io::Result<Self> {
        let folder = format!(
            "{}/review-{}",
            env::temp_dir().display(),
            std::process::id()
        );
        fs::create_dir_all(&folder)?;
        let ip = free_ip();
        let store = Store::start(&ip)?;
        publish(&store, 1, times);
        let mut rig = Self {
            store,
            targets: Vec::new(),
            gateways: Vec::new(),
            folder,
            ip,
            record: record.clone(),
        };
        for spec in specs {
            rig.add_target(spec)?;
        }
        let ips: Vec<String> = (0..gateways).map(|_| free_ip()).collect();
        let seeds: Vec<String> = ips.iter().take(3).cloned().collect();
        for (ip, zone) in ips.iter().zip(["a", "b", "c"].into_iter().cycle()) {
            let gateway = Gateway::start(&rig.folder, ip, zone, rig.store.addr, &seeds, true)?;
            rig.gateways.push(gateway);
        }
        if !wait_ready(&rig.gateways, Duration::from_secs(15)) {
            return Err(io::Error::other("the gateways are not ready within 15 s"));
        }
        // Traffic starts 8 s after the machines do.
        std::thread::sleep(Duration::from_secs(5));
        record.line("all gateways are ready");
        Ok(rig)
    }

    /// Returns the address of the store and the targets.
    pub fn ip(&self) -> &str {
        &self.ip
    }

    /// Starts and registers one more target.
    pub fn add_target(&mut self, spec: Spec) -> io::Result<()> {
        let target = Target::start(&self.ip, spec, &self.store, &self.record)?;
        self.targets.push(target);
        Ok(())
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.gateways.clear();
        if env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Writes a manifest with a route for reads and one for writes.
pub fn publish(store: &Store, version: u64, times: Times) {
    publish_routes(store, version, times, &[]);
}

/// Writes a manifest with these routes and the `more` ones: kind, name and priority of each.
pub fn publish_routes(store: &Store, version: u64, times: Times, more: &[(&str, &str, u32)]) {
    let Times { timeout_s, aim_s } = times;
    let route = |kind: &str, prefix: &str, priority: u32| {
        format!(
            "{{\"name\":\"r-{prefix}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{prefix}/\",\
             \"kind\":\"{kind}\",\"timeout_s\":{timeout_s},\"aim_s\":{aim_s},\
             \"priority\":{priority},\"service\":\"orders\",\"attempts\":2}}"
        )
    };
    let always = [("idempotent", "read", 2), ("non_idempotent", "write", 1)];
    let routes = always.iter().chain(more);
    let routes: Vec<String> = routes
        .map(|(kind, name, rank)| route(kind, name, *rank))
        .collect();
    let routes = routes.join(",");
    let config = format!(
        "{{\"version\":\"{version:08x}\",\"routes\":[{routes}],\"services\":[{{\"name\":\"orders\",\
         \"health_path\":\"/healthz\",\"max_conns\":240,\"protocol\":\"h1\",\"tls\":false,\
         \"warmup_s\":3.0,\"warmup_per_s\":11.0}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}}}"
    );
    store.put("keyed.op", "config", &config);
}

/// Returns the text of a request.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, body: usize) -> String {
    let length = if method == "POST" {
        format!("Content-Length: {body}\r\n")
    } else {
        String::new()
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Hibiscusway-Request-Id: {id}\r\n\
         X-Hibiscusway-Deadline-Ms: {deadline_ms}\r\n{length}\r\n"
    )
}
