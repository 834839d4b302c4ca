//! A complete gateway deployment on loopback: store, targets and gateway processes.

use std::{
    io,
    net::Ipv4Addr,
    path::Path,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::task;
use futures::future::join_all;
use serde_json::Value;

use super::{
    FleetProxy, FleetRequest, FleetResult, FleetStore, FleetTarget, GatewayProcess, Partition,
    TargetSpec, fetch, send,
};

/// Host name that all routes match.
const HOST: &str = "shop.example";
/// Time for which configurations follow one another, and the time between two of them.
const STORM_TIME: Duration = Duration::from_secs(9);
const STORM_INTERVAL: Duration = Duration::from_millis(600);
/// Maximum time for all instances to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Size of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct RigSpec {
    /// Number of gateway instances.
    pub instances: usize,
    /// Number of targets of the service `orders`.
    pub targets: usize,
    /// Time that a target takes to process a request, in milliseconds.
    pub processing_ms: u64,
}

/// A running deployment. Dropping it ends all its processes.
#[derive(Debug)]
pub struct FleetRig {
    /// Stand-in for the platform's store.
    pub store: FleetStore,
    /// Targets of the service `orders`, alternating between the zones.
    pub targets: Vec<FleetTarget>,
    /// Gateway processes, alternating between the zones.
    pub instances: Vec<GatewayProcess>,
    /// Version of the next configuration.
    version: AtomicU64,
    /// Latest configuration that was published.
    config: Mutex<String>,
    /// Number of the next request, from which its id is made.
    next_id: AtomicU64,
}

impl FleetRig {
    /// Starts a deployment and waits until all instances are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a component does not start or an instance is not ready within 10 s.
    pub async fn start(binary: &Path, spec: RigSpec) -> io::Result<Self> {
        Self::start_with_settings(binary, spec, "").await
    }

    /// Same as [`Self::start`], with further lines in the settings of all instances.
    ///
    /// # Errors
    ///
    /// See [`Self::start`].
    pub async fn start_with_settings(
        binary: &Path,
        spec: RigSpec,
        extra_settings: &str,
    ) -> io::Result<Self> {
        let store = FleetStore::start().await?;
        let mut targets = Vec::new();
        for index in 0..spec.targets {
            targets.push(FleetTarget::start(&store, target_spec(index, spec.processing_ms)).await?);
        }
        let rig = Self {
            store,
            targets,
            instances: Vec::new(),
            version: AtomicU64::new(1),
            config: Mutex::default(),
            next_id: AtomicU64::new(1),
        };
        rig.publish(&[]);
        rig.start_instances(binary, spec.instances, extra_settings)
            .await
    }

    /// Starts a deployment with three targets and one instance, whose settings file has the lines
    /// `extra_settings` in addition and whose configuration has the limits `limits`. Waits until it is
    /// ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a component does not start or the instance is not ready within 10 s.
    pub async fn start_limited(
        binary: &Path,
        extra_settings: &str,
        limits: &Value,
    ) -> io::Result<Self> {
        let spec = RigSpec {
            instances: 0,
            targets: 3,
            processing_ms: 20,
        };
        let mut rig = Self::start(binary, spec).await?;
        rig.publish_with(&[], limits, &Value::Null);
        let instance =
            GatewayProcess::start_with_settings(binary, "a", rig.store.addr, &[], extra_settings)?;
        rig.instances.push(instance);
        rig.wait_until_ready().await?;
        Ok(rig)
    }

    /// Starts a deployment with three targets and `count` instances, each of which reaches the store
    /// through a proxy of its own, and waits until all instances are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a component does not start or an instance is not ready within 10 s.
    pub async fn start_with_proxies(
        binary: &Path,
        count: usize,
    ) -> io::Result<(Self, Vec<FleetProxy>)> {
        let spec = RigSpec {
            instances: 0,
            targets: 3,
            processing_ms: 20,
        };
        let mut rig = Self::start(binary, spec).await?;
        let mut proxies = Vec::new();
        for index in 0..count {
            let proxy = FleetProxy::start(rig.store.addr).await?;
            let seeds: Vec<_> = rig.instances.iter().take(3).map(|i| i.ip).collect();
            let instance = GatewayProcess::start(binary, &zone(index), proxy.addr, &seeds)?;
            rig.instances.push(instance);
            proxies.push(proxy);
        }
        rig.wait_until_ready().await?;
        Ok((rig, proxies))
    }

    /// Starts a deployment in which each instance can be cut off from all targets, and waits until all
    /// instances are ready. Once the entry of a target changes, instances tell one another of the change, and
    /// may use the path of another one to that target.
    ///
    /// # Errors
    ///
    /// See [`Self::start`].
    pub async fn start_with_partitions(
        binary: &Path,
        spec: RigSpec,
    ) -> io::Result<(Self, Vec<Partition>)> {
        Self::start_partly_partitioned(binary, spec, spec.instances, "").await
    }

    /// Same as [`Self::start_with_partitions`], for the first `count` instances only, and with further lines
    /// in the settings of all instances.
    ///
    /// # Errors
    ///
    /// See [`Self::start`].
    pub async fn start_partly_partitioned(
        binary: &Path,
        spec: RigSpec,
        count: usize,
        extra_settings: &str,
    ) -> io::Result<(Self, Vec<Partition>)> {
        let without_instances = RigSpec {
            instances: 0,
            ..spec
        };
        let mut rig = Self::start(binary, without_instances).await?;
        let mut partitions = Vec::new();
        for index in 0..spec.instances {
            let mut store = rig.store.addr;
            let mut seeds: Vec<Ipv4Addr> = Vec::new();
            if index < count {
                // Without seeds, an instance reads the entries itself.
                let partition = Partition::start(&rig.store, &rig.targets).await?;
                store = partition.store.addr;
                partitions.push(partition);
            } else {
                seeds.extend(rig.instances.iter().take(3).map(|i| i.ip));
            }
            rig.instances.push(GatewayProcess::start_with_settings(
                binary,
                &zone(index),
                store,
                &seeds,
                extra_settings,
            )?);
        }
        rig.wait_until_ready().await?;
        Ok((rig, partitions))
    }

    async fn start_instances(
        mut self,
        binary: &Path,
        count: usize,
        extra_settings: &str,
    ) -> io::Result<Self> {
        let mut seeds: Vec<Ipv4Addr> = Vec::new();
        for index in 0..count {
            let zone = zone(index);
            let instance = GatewayProcess::start_with_settings(
                binary,
                &zone,
                self.store.addr,
                &seeds,
                extra_settings,
            )?;
            if seeds.len() < 3 {
                seeds.push(instance.ip);
            }
            self.instances.push(instance);
        }
        self.wait_until_ready().await?;
        Ok(self)
    }

    async fn wait_until_ready(&self) -> io::Result<()> {
        let start = Instant::now();
        while !self.all_ready().await {
            if start.elapsed() > READY_TIMEOUT {
                return Err(io::Error::other(format!(
                    "not all instances were ready within {READY_TIMEOUT:?}"
                )));
            }
            task::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    /// Returns whether the readiness check of every instance answers 200.
    pub async fn all_ready(&self) -> bool {
        join_all(self.instances.iter().map(is_ready))
            .await
            .iter()
            .all(|ready| *ready)
    }

    /// Publishes a configuration with the routes `read` and `write` and with `extra_routes`, given
    /// as JSON. Returns the version of the configuration.
    pub fn publish(&self, extra_routes: &[Value]) -> u64 {
        self.publish_tenants(extra_routes, &Value::Null)
    }

    /// Publishes a configuration like [`Self::publish`], with these `tenants`; `null` requires no
    /// keys.
    pub fn publish_tenants(&self, extra_routes: &[Value], tenants: &Value) -> u64 {
        let limits = serde_json::json!({ "max_header_bytes": 16384, "max_body_bytes": 1_000_000,
            "header_timeout_s": 1, "idle_timeout_s": 15 });
        self.publish_with(extra_routes, &limits, tenants)
    }

    /// Publishes a configuration like [`Self::publish_tenants`], with other limits of requests.
    fn publish_with(&self, extra_routes: &[Value], limits: &Value, tenants: &Value) -> u64 {
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
        routes.extend_from_slice(extra_routes);
        let config = serde_json::json!({
            "version": format!("{version:08x}"), "routes": routes,
            "services": [{ "name": "orders", "health_path": "/healthz", "max_conns": 240,
                "warmup_s": 3.0, "warmup_per_s": 11.0 }],
            "limits": limits, "tenants": tenants,
        });
        *lock(&self.config) = config.to_string();
        self.republish();
        version
    }

    /// Publishes configurations with `extra_routes`, one after the other for some seconds, and returns the longest time
    /// until one was in force at an instance. Waits for `limit` after the last one.
    ///
    /// # Errors
    ///
    /// Returns an error if the log file of the instance cannot be read.
    pub async fn longest_apply(
        &self,
        instance: &GatewayProcess,
        extra_routes: &[Value],
        limit: Duration,
    ) -> io::Result<Duration> {
        let mut published: Vec<(u64, Instant)> = Vec::new();
        let mut longest = Duration::ZERO;
        let start = Instant::now();
        while start.elapsed() < STORM_TIME + limit {
            let next =
                STORM_INTERVAL.saturating_mul(u32::try_from(published.len()).unwrap_or(u32::MAX));
            if next < STORM_TIME && start.elapsed() > next {
                published.push((self.publish(extra_routes), Instant::now()));
            }
            let version = instance.logged_config()?;
            let missing = published.iter().find(|(published, _)| *published > version);
            longest = longest.max(missing.map_or(Duration::ZERO, |(_, at)| at.elapsed()));
            task::sleep(Duration::from_millis(20)).await;
        }
        Ok(longest)
    }

    /// Writes the latest configuration again.
    pub fn republish(&self) {
        let config = lock(&self.config).clone();
        self.store.put("keyed.op", "config", &config);
    }

    /// Returns a request with a new id. A write goes to the non-idempotent route, so it may run at
    /// most once.
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
            key: None,
            deadline_ms: 1_500,
            body: if is_write {
                vec![b'x'; 2_000]
            } else {
                Vec::new()
            },
        }
    }

    /// Sends `count` requests to the instances in turn, one every `interval`; every third request
    /// is a write. Returns the requests with their results.
    pub async fn send_many(
        &self,
        count: usize,
        interval: Duration,
    ) -> Vec<(FleetRequest, FleetResult)> {
        let mut sent = Vec::new();
        for index in 0..count {
            let addr = self.instances[index % self.instances.len()].caller_addr();
            let request = self.request(index % 3 == 0);
            sent.push(task::spawn(async move {
                let result = send(addr, &request).await;
                (request, result)
            }));
            task::sleep(interval).await;
        }
        join_all(sent).await
    }

    /// Returns how many times the request `id` ran, summed over all targets.
    #[must_use]
    pub fn run_count(&self, id: &str) -> u32 {
        self.targets.iter().map(|target| target.run_count(id)).sum()
    }

    /// Starts and registers another target.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback port is free.
    pub async fn add_target(&mut self, spec: TargetSpec) -> io::Result<()> {
        self.targets
            .push(FleetTarget::start(&self.store, spec).await?);
        Ok(())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Returns the specification of the target with this index.
fn target_spec(index: usize, processing_ms: u64) -> TargetSpec {
    TargetSpec {
        id: format!("i-{index}"),
        service: String::from("orders"),
        zone: zone(index),
        version: String::from("v1"),
        slots: 3,
        processing_ms,
    }
}

/// Returns the zone of the target or instance with this index.
fn zone(index: usize) -> String {
    ["a", "b", "c"][index % 3].to_owned()
}

async fn is_ready(instance: &GatewayProcess) -> bool {
    let request = b"GET /-/readyz HTTP/1.1\r\nHost: r\r\n\r\n";
    fetch(instance.ready_addr(), "GET", request).await.status() == 200
}
