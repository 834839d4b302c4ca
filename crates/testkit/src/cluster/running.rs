//! A running cluster.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use futures::future::join_all;
use model::{Tenant, Zone};
use node::Token;
use store::LogClient;
use wire::{Body, EntryState};

use super::{ClusterError, Instance, Target, publish::append};
use crate::{
    ColdStart, ListServer, LogServer, Upstream, UpstreamCounts, UpstreamSpec, ask_addresses, load,
};

/// Stream of the log that instances read by default.
const STREAM: &str = "hibiscusway";
/// Pause between two looks at what instances have reached.
const LOOK: Duration = Duration::from_millis(20);

/// What to start.
#[derive(Clone, Debug)]
pub struct ClusterSpec {
    /// Services and zones.
    pub customer: Arc<load::Customer>,
    /// Instances, spread over the zones.
    pub instances: usize,
    /// Version of all upstreams.
    pub version: &'static str,
    /// Seed of service times.
    pub seed: u64,
}

/// A running cluster. Dropping it ends all instances.
#[derive(Debug)]
pub struct Cluster {
    /// The log service.
    pub log: LogServer,
    /// The instance list.
    pub list: ListServer,
    /// Upstreams.
    pub targets: Vec<Target>,
    /// Instances.
    pub instances: Vec<Instance>,
    spec: ClusterSpec,
    cancel: Token,
    client: LogClient,
    revision: u64,
    zone_bases: HashMap<String, u64>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

impl Cluster {
    /// Starts everything and publishes the customer's document, which is in force at all instances
    /// when this returns.
    ///
    /// # Errors
    ///
    /// If an instance does not start or does not follow the log within 10 s.
    pub async fn start(spec: ClusterSpec) -> Result<Self, ClusterError> {
        let log = LogServer::start().await;
        let list = ListServer::start().await;
        let client = LogClient::new(log.addr(), STREAM);
        let mut cluster = Self {
            log,
            list,
            targets: Vec::new(),
            instances: Vec::new(),
            cancel: Token::new(),
            client,
            revision: 0,
            zone_bases: HashMap::new(),
            spec,
        };
        cluster.start_targets().await;
        cluster.start_instances().await?;
        let text = cluster.spec.customer.config(cluster.spec.version, "");
        let offset = cluster.publish(&text).await?;
        cluster.wait_for(offset, Duration::from_secs(10)).await?;
        Ok(cluster)
    }

    async fn start_targets(&mut self) {
        let customer = Arc::clone(&self.spec.customer);
        for shape in &customer.services {
            for number in 0..shape.targets {
                let zone = customer.zones[number % customer.zones.len()];
                let id = format!("{}-{number:02}", shape.name);
                let version = self.spec.version;
                self.add_target(&id, zone, shape, version).await;
            }
        }
    }

    async fn start_instances(&mut self) -> Result<(), ClusterError> {
        for _ in 0..self.spec.instances {
            self.add_instance().await?;
        }
        Ok(())
    }

    /// Starts a further instance in the next zone.
    ///
    /// # Errors
    ///
    /// If it does not start.
    pub async fn add_instance(&mut self) -> Result<(), ClusterError> {
        let (log, list) = (self.log.addr(), self.list.addr());
        let number = self.instances.len();
        let zone = self.spec.customer.zones[number % self.spec.customer.zones.len()];
        let id = format!("i-{number:02}");
        let started = Instance::start(&id, zone, log, list, &self.cancel);
        self.instances.push(Box::pin(started).await?);
        Ok(())
    }

    /// Starts an upstream and lists it.
    pub async fn add_target(
        &mut self,
        id: &str,
        zone: &str,
        shape: &load::ServiceShape,
        version: &str,
    ) {
        let upstream = self.start_upstream(shape).await;
        self.list_target(Target::new(id, zone, shape, version, upstream));
    }

    /// Starts an upstream that is cold, and lists it.
    pub async fn add_cold_target(
        &mut self,
        id: &str,
        zone: &str,
        shape: &load::ServiceShape,
        version: &str,
        cold: ColdStart,
    ) {
        let upstream = self.start_upstream(shape).await;
        upstream.begin_cold_start(cold);
        self.list_target(Target::new(id, zone, shape, version, upstream));
    }

    async fn start_upstream(&self, shape: &load::ServiceShape) -> Upstream {
        let spec = UpstreamSpec {
            slots: shape.slots,
            mean_us: shape.mean_us,
            sigma: 0.0,
            seed: self.spec.seed + self.targets.len() as u64,
        };
        Upstream::start_with(spec, shape.tail).await
    }

    fn list_target(&mut self, target: Target) {
        self.list.put(target.entry.clone());
        self.targets.push(target);
    }

    /// Lists an upstream with another state.
    pub fn list_state(&mut self, index: usize, state: EntryState) {
        let entry = &mut self.targets[index].entry;
        entry.state = state;
        self.list.put(entry.clone());
    }

    /// Publishes the customer's document and returns the record's offset.
    ///
    /// # Errors
    ///
    /// If the log service does not take it.
    pub async fn publish(&mut self, text: &str) -> Result<u64, ClusterError> {
        let body = Body::Config {
            tenant: Tenant::new(self.spec.customer.name),
            base: self.revision,
            text: text.to_owned(),
        };
        self.revision = append(&self.client, body).await?;
        Ok(self.revision)
    }

    /// Takes an availability zone out or back.
    ///
    /// # Errors
    ///
    /// If the log service does not take the record.
    pub async fn set_zone(&mut self, zone: &str, out: bool) -> Result<u64, ClusterError> {
        let base = self.zone_bases.get(zone).copied().unwrap_or(0);
        let body = Body::Zone {
            zone: Zone::new(zone),
            base,
            out,
        };
        let offset = append(&self.client, body).await?;
        self.zone_bases.insert(zone.to_owned(), offset);
        Ok(offset)
    }

    /// Waits until every running instance has reached a log offset and answers for each service.
    ///
    /// # Errors
    ///
    /// If some instance has not within `limit`.
    pub async fn wait_for(&self, offset: u64, limit: Duration) -> Result<Duration, ClusterError> {
        let began = Instant::now();
        loop {
            let reached = self.offsets().await;
            let behind = reached.iter().filter(|o| o.is_none_or(|o| o < offset));
            let behind = behind.count();
            let waited = began.elapsed();
            if behind == 0 {
                return Ok(waited);
            }
            if waited > limit {
                let waited_ms = waited.as_millis();
                return Err(ClusterError::Behind {
                    behind,
                    offset,
                    waited_ms,
                });
            }
            task::sleep(LOOK).await;
        }
    }

    /// Log offset in force at each running instance; `None` where addresses are not answered.
    pub async fn offsets(&self) -> Vec<Option<u64>> {
        let service = self.spec.customer.services[0].name;
        let ask = |addr| async move { Some(ask_addresses(addr, service, "").await?.offset) };
        join_all(self.entries().into_iter().map(ask)).await
    }

    /// Addresses of running instances.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        let running = self.instances.iter().filter(|i| i.is_running());
        running.map(|i| i.addr).collect()
    }

    /// Violated invariants that running instances counted.
    #[must_use]
    pub fn violations(&self) -> u64 {
        let nodes = self.instances.iter().filter_map(|i| i.node.as_ref());
        nodes.map(node::Node::violations).sum()
    }

    /// Records of the log that are still kept.
    #[must_use]
    pub fn records(&self) -> Vec<wire::LogEntry> {
        self.log.records(STREAM)
    }

    /// How often each call id was run, at all upstreams together.
    #[must_use]
    pub fn runs(&self) -> HashMap<String, u64> {
        let mut all = HashMap::new();
        for target in &self.targets {
            for (key, count) in target.upstream.run_counts() {
                *all.entry(key).or_default() += count;
            }
        }
        all
    }

    /// Sums of the counters of the upstreams that `choose` accepts; the largest for peaks.
    pub fn counts(&self, choose: impl Fn(&Target) -> bool) -> UpstreamCounts {
        let mut sum = UpstreamCounts::default();
        for target in self.targets.iter().filter(|t| choose(t)) {
            sum.add(target.upstream.counts());
        }
        sum
    }
}
