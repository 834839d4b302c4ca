//! A whole deployment on loopback: store, targets and gateway processes.

use std::{
    io,
    net::Ipv4Addr,
    path::Path,
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

use async_std::task;
use futures::future::join_all;

use super::{
    FleetAnswer, FleetRequest, FleetStore, FleetTarget, GatewayProcess, TargetSpec, fetch, send,
};

/// Host of all routes.
const HOST: &str = "shop.example";
/// Time for all instances to become ready.
const READY_LIMIT: Duration = Duration::from_secs(10);

/// Size of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct RigSpec {
    /// Gateway instances.
    pub instances: usize,
    /// Targets of the service `orders`.
    pub targets: usize,
    /// Time that a request takes, in milliseconds.
    pub work_ms: u64,
}

/// A running deployment.
#[derive(Debug)]
pub struct FleetRig {
    /// Store.
    pub store: FleetStore,
    /// Targets.
    pub targets: Vec<FleetTarget>,
    /// Instances.
    pub instances: Vec<GatewayProcess>,
    version: AtomicU64,
    next_id: AtomicU64,
}

impl FleetRig {
    /// Starts a deployment and waits until all instances are ready.
    ///
    /// # Errors
    ///
    /// If a part cannot be started or is not ready in time.
    pub async fn start(binary: &Path, spec: RigSpec) -> io::Result<Self> {
        let store = FleetStore::start().await?;
        let mut targets = Vec::new();
        for at in 0..spec.targets {
            targets.push(FleetTarget::start(&store, target_spec(at, spec.work_ms)).await?);
        }
        let rig = Self {
            store,
            targets,
            instances: Vec::new(),
            version: AtomicU64::new(1),
            next_id: AtomicU64::new(1),
        };
        rig.publish(&[]);
        rig.start_instances(binary, spec.instances).await
    }

    async fn start_instances(mut self, binary: &Path, count: usize) -> io::Result<Self> {
        let mut seeds: Vec<Ipv4Addr> = Vec::new();
        for at in 0..count {
            let zone = zone(at);
            let instance = GatewayProcess::start(binary, &zone, self.store.addr, &seeds)?;
            if seeds.len() < 3 {
                seeds.push(instance.ip);
            }
            self.instances.push(instance);
        }
        let start = Instant::now();
        while !self.all_ready().await {
            if start.elapsed() > READY_LIMIT {
                return Err(io::Error::other("not all instances are ready in time"));
            }
            task::sleep(Duration::from_millis(50)).await;
        }
        Ok(self)
    }

    /// Whether all instances say that they are ready.
    pub async fn all_ready(&self) -> bool {
        join_all(self.instances.iter().map(is_ready))
            .await
            .iter()
            .all(|ready| *ready)
    }

    /// Publishes a configuration with the usual routes and `more`, given as JSON. Returns its version.
    pub fn publish(&self, more: &[serde_json::Value]) -> u64 {
        let version = self.version.fetch_add(2, Ordering::Relaxed);
        let route = |name: &str, kind: &str, prefix: &str, priority: u32| {
            serde_json::json!({
                "name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "timeout_s": 2,
                "aim_s": 0.5, "priority": priority, "service": "orders", "attempts": 2,
            })
        };
        let mut routes = vec![
            route("read", "idempotent", "/read/", 2),
            route("write", "non_idempotent", "/write/", 1),
        ];
        routes.extend_from_slice(more);
        let config = serde_json::json!({
            "version": format!("{version:08x}"), "routes": routes,
            "services": [{ "name": "orders", "health_path": "/healthz", "max_conns": 240,
                "warmup_s": 3.0, "warmup_per_s": 11.0 }],
            "limits": { "max_header_bytes": 16384, "max_body_bytes": 1_000_000,
                "header_timeout_s": 1, "idle_timeout_s": 15 },
        });
        self.store.put("keyed.op", "config", &config.to_string());
        version
    }

    /// A request with an identity of its own. `is_write`: it may run once only.
    pub fn request(&self, is_write: bool) -> FleetRequest {
        let id = format!("{:016x}", self.next_id.fetch_add(1, Ordering::Relaxed));
        let (method, prefix) = if is_write {
            ("POST", "write")
        } else {
            ("GET", "read")
        };
        FleetRequest {
            method,
            path: format!("/{prefix}/{id}?q=1"),
            host: HOST.to_owned(),
            id,
            deadline_ms: 1_500,
            body: if is_write {
                vec![b'x'; 2_000]
            } else {
                Vec::new()
            },
        }
    }

    /// Sends `count` requests to the instances in turn, `pause` apart, every third one a write.
    /// Returns them with their answers.
    pub async fn send_many(
        &self,
        count: usize,
        pause: Duration,
    ) -> Vec<(FleetRequest, FleetAnswer)> {
        let mut sent = Vec::new();
        for at in 0..count {
            let addr = self.instances[at % self.instances.len()].callers();
            let request = self.request(at % 3 == 0);
            sent.push(task::spawn(async move {
                let answer = send(addr, &request).await;
                (request, answer)
            }));
            task::sleep(pause).await;
        }
        join_all(sent).await
    }

    /// How often a request ran, over all targets.
    #[must_use]
    pub fn runs(&self, id: &str) -> u32 {
        self.targets
            .iter()
            .filter_map(|t| t.runs().get(id).copied())
            .sum()
    }

    /// Starts one more target.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub async fn add_target(&mut self, spec: TargetSpec) -> io::Result<()> {
        self.targets
            .push(FleetTarget::start(&self.store, spec).await?);
        Ok(())
    }
}

/// What the target `at` is like.
fn target_spec(at: usize, work_ms: u64) -> TargetSpec {
    TargetSpec {
        id: format!("i-{at}"),
        service: String::from("orders"),
        zone: zone(at),
        version: String::from("v1"),
        slots: 3,
        work_ms,
    }
}

fn zone(at: usize) -> String {
    ["a", "b", "c"][at % 3].to_owned()
}

async fn is_ready(instance: &GatewayProcess) -> bool {
    let request = b"GET /-/readyz HTTP/1.1\r\nHost: r\r\n\r\n";
    fetch(instance.ready(), "GET", request).await.status() == 200
}
