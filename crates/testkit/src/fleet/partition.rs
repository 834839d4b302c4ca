//! A partition between one gateway instance and all targets. Clients, the store and the other instances
//! still reach the instance.

use std::{collections::BTreeMap, io, net::SocketAddr, time::Duration};

use super::{FleetProxy, FleetStore, FleetTarget, OutageKind};

/// The paths of one instance to all targets, which can be cut.
#[derive(Debug)]
pub struct Partition {
    /// Store of the instance, which names the proxies as the addresses of the targets.
    pub store: FleetStore,
    proxies: Vec<FleetProxy>,
}

impl Partition {
    /// Starts a path to each of the targets, which must all have been registered in `store`.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback port is free.
    pub async fn start(store: &FleetStore, targets: &[FleetTarget]) -> io::Result<Self> {
        let mut proxies = Vec::new();
        let mut addresses: BTreeMap<SocketAddr, SocketAddr> = BTreeMap::new();
        for target in targets {
            let proxy = FleetProxy::start(target.proxy.addr).await?;
            addresses.insert(target.proxy.addr, proxy.addr);
            proxies.push(proxy);
        }
        Ok(Self {
            store: store.view(addresses).await?,
            proxies,
        })
    }

    /// Cuts the instance off from all targets for `length`.
    pub fn cut(&self, kind: OutageKind, length: Duration) {
        self.cut_some(kind, length, self.len());
    }

    /// Returns the number of targets that the instance has a path to.
    #[must_use]
    pub fn len(&self) -> usize {
        self.proxies.len()
    }

    /// Returns whether the instance has a path to no target at all.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.proxies.is_empty()
    }

    /// Cuts the instance off from the first `count` targets for `length`.
    pub fn cut_some(&self, kind: OutageKind, length: Duration, count: usize) {
        for proxy in self.proxies.iter().take(count) {
            proxy.begin_outage(kind, length);
        }
    }
}
