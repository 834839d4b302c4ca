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

use super::{ClusterError, Instance, Target, publish::append_record};
use crate::{
    ColdStart, ListServer, LogServer, Upstream, UpstreamCounts, UpstreamSpec, load, query_addresses,
};

/// Log stream that instances read by default.
const STREAM: &str = "hibiscusway";
/// Interval at which [`Cluster::wait_for_offset`] queries the instances.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Specification of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterSpec {
    /// Customer whose services and zones the cluster has.
    pub customer: Arc<load::Customer>,
    /// Number of instances, which are spread over the zones.
    pub instances: usize,
    /// Version of the services that all upstreams run.
    pub version: &'static str,
    /// Seed of the service times of upstreams.
    pub seed: u64,
}

/// A running cluster. Dropping it ends all instances.
#[derive(Debug)]
pub struct Cluster {
    /// The log service.
    pub log: LogServer,
    /// The instance list.
    pub list: ListServer,
    /// Upstreams with their list entries.
    pub targets: Vec<Target>,
    /// Instances, including killed ones.
    pub instances: Vec<Instance>,
    spec: ClusterSpec,
    cancel: Token,
    log_client: LogClient,
    /// Log offset of the configuration in force.
    revision: u64,
    /// Log offset of the latest record of each zone.
    zone_revisions: HashMap<String, u64>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

impl Cluster {
    /// Starts all components and publishes the customer's configuration. Returns when it is in
    /// force at all instances.
    ///
    /// # Errors
    ///
    /// Returns an error if an instance does not start or the configuration is not in force within
    /// 10 s.
    pub async fn start(spec: ClusterSpec) -> Result<Self, ClusterError> {
        let log = LogServer::start().await;
        let list = ListServer::start().await;
        let log_client = LogClient::new(log.addr(), STREAM);
        let mut cluster = Self {
            log,
            list,
            targets: Vec::new(),
            instances: Vec::new(),
            cancel: Token::new(),
            log_client,
            revision: 0,
            zone_revisions: HashMap::new(),
            spec,
        };
        cluster.start_targets().await;
        cluster.start_instances().await?;
        let text = cluster.spec.customer.config(cluster.spec.version, "");
        let offset = cluster.publish(&text).await?;
        cluster
            .wait_for_offset(offset, Duration::from_secs(10))
            .await?;
        Ok(cluster)
    }

    async fn start_targets(&mut self) {
        let customer = Arc::clone(&self.spec.customer);
        for service in &customer.services {
            for number in 0..service.targets {
                let zone = customer.zones[number % customer.zones.len()];
                let id = format!("{}-{number:02}", service.name);
                let version = self.spec.version;
                self.add_target(&id, zone, service, version).await;
            }
        }
    }

    async fn start_instances(&mut self) -> Result<(), ClusterError> {
        for _ in 0..self.spec.instances {
            self.add_instance().await?;
        }
        Ok(())
    }

    /// Starts another instance in the next zone.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance does not start.
    pub async fn add_instance(&mut self) -> Result<(), ClusterError> {
        let (log, list) = (self.log.addr(), self.list.addr());
        let number = self.instances.len();
        let zone = self.spec.customer.zones[number % self.spec.customer.zones.len()];
        let id = format!("i-{number:02}");
        let started = Instance::start(&id, zone, log, list, &self.cancel);
        self.instances.push(Box::pin(started).await?);
        Ok(())
    }

    /// Starts an upstream and adds it to the instance list.
    pub async fn add_target(
        &mut self,
        id: &str,
        zone: &str,
        service: &load::ServiceProfile,
        version: &str,
    ) {
        let upstream = self.start_upstream(service).await;
        self.list_target(Target::new(id, zone, service, version, upstream));
    }

    /// Starts an upstream with a cold start and adds it to the instance list.
    pub async fn add_cold_target(
        &mut self,
        id: &str,
        zone: &str,
        service: &load::ServiceProfile,
        version: &str,
        cold: ColdStart,
    ) {
        let upstream = self.start_upstream(service).await;
        upstream.begin_cold_start(cold);
        self.list_target(Target::new(id, zone, service, version, upstream));
    }

    async fn start_upstream(&self, service: &load::ServiceProfile) -> Upstream {
        let spec = UpstreamSpec {
            slots: service.slots,
            mean_us: service.mean_us,
            sigma: 0.0,
            seed: self.spec.seed + self.targets.len() as u64,
        };
        Upstream::start_with(spec, service.service_times).await
    }

    fn list_target(&mut self, target: Target) {
        self.list.put(target.entry.clone());
        self.targets.push(target);
    }

    /// Changes the state of an upstream in the instance list.
    pub fn set_target_state(&mut self, index: usize, state: EntryState) {
        let entry = &mut self.targets[index].entry;
        entry.state = state;
        self.list.put(entry.clone());
    }

    /// Publishes a configuration of the customer and returns the offset of its record.
    ///
    /// # Errors
    ///
    /// Returns an error if the log service does not append the record.
    pub async fn publish(&mut self, text: &str) -> Result<u64, ClusterError> {
        let body = Body::Config {
            tenant: Tenant::new(self.spec.customer.name),
            base: self.revision,
            text: text.to_owned(),
        };
        self.revision = append_record(&self.log_client, body).await?;
        Ok(self.revision)
    }

    /// Takes an availability zone out of service or, with `out` false, back into service. Returns
    /// the offset of the record.
    ///
    /// # Errors
    ///
    /// Returns an error if the log service does not append the record.
    pub async fn set_zone(&mut self, zone: &str, out: bool) -> Result<u64, ClusterError> {
        let base = self.zone_revisions.get(zone).copied().unwrap_or(0);
        let body = Body::Zone {
            zone: Zone::new(zone),
            base,
            out,
        };
        let offset = append_record(&self.log_client, body).await?;
        self.zone_revisions.insert(zone.to_owned(), offset);
        Ok(offset)
    }

    /// Waits until every running instance has reached a log offset and answers address queries.
    /// Returns the time waited.
    ///
    /// # Errors
    ///
    /// Returns an error if some instance has not within `timeout`.
    pub async fn wait_for_offset(
        &self,
        offset: u64,
        timeout: Duration,
    ) -> Result<Duration, ClusterError> {
        let start = Instant::now();
        loop {
            let reached = self.offsets().await;
            let behind = reached.iter().filter(|o| o.is_none_or(|o| o < offset));
            let behind = behind.count();
            let waited = start.elapsed();
            if behind == 0 {
                return Ok(waited);
            }
            if waited > timeout {
                let waited_ms = waited.as_millis();
                return Err(ClusterError::Behind {
                    behind,
                    offset,
                    waited_ms,
                });
            }
            task::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the log offset in force at each running instance, or `None` for an instance that
    /// does not answer an address query.
    pub async fn offsets(&self) -> Vec<Option<u64>> {
        let service = self.spec.customer.services[0].name;
        let query = |addr| async move { Some(query_addresses(addr, service, "").await?.offset) };
        join_all(self.instance_addrs().into_iter().map(query)).await
    }

    /// Returns the addresses for calls of the running instances.
    #[must_use]
    pub fn instance_addrs(&self) -> Vec<SocketAddr> {
        let running = self.instances.iter().filter(|i| i.is_running());
        running.map(|i| i.addr).collect()
    }

    /// Returns the number of invariant violations that the running instances counted.
    #[must_use]
    pub fn violations(&self) -> u64 {
        let nodes = self.instances.iter().filter_map(|i| i.node.as_ref());
        nodes.map(node::Node::violations).sum()
    }

    /// Returns the retained records of the log.
    #[must_use]
    pub fn records(&self) -> Vec<wire::LogEntry> {
        self.log.records(STREAM)
    }

    /// Returns how many times each call ran, by call id, summed over all upstreams.
    #[must_use]
    pub fn run_counts(&self) -> HashMap<String, u64> {
        let mut all = HashMap::new();
        for target in &self.targets {
            for (key, count) in target.upstream.run_counts() {
                *all.entry(key).or_default() += count;
            }
        }
        all
    }

    /// Returns the added counters of the upstreams that `filter` accepts.
    pub fn counts(&self, filter: impl Fn(&Target) -> bool) -> UpstreamCounts {
        let mut sum = UpstreamCounts::default();
        for target in self.targets.iter().filter(|t| filter(t)) {
            sum.add(target.upstream.counts());
        }
        sum
    }
}
