//! Connection pools of the targets. A connection carries one exchange at a time and is reused only
//! after a complete response. The call path takes no lock: the map of pools is replaced when a target
//! is added, and idle connections are kept in a bounded queue.

mod conn;
mod target_pool;

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use async_std::{future::timeout, net::TcpStream};

pub use self::conn::Conn;
use self::target_pool::TargetPool;

/// Time limit for opening a connection, which usually takes about 1 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time that a connection stays idle.
const MAX_IDLE: Duration = Duration::from_secs(10);
/// Maximum idle time of a connection that a non-idempotent call may use. If the target closes the
/// connection unnoticed within this time, the call fails and is not sent again.
const FRESH_IDLE: Duration = Duration::from_secs(1);
/// Maximum number of connections from one instance to a target, both in use and idle. 16 instances
/// together open at most 240.
pub const MAX_OPEN: usize = 15;

/// Connection pools by target address.
#[derive(Debug, Default)]
pub struct Pools {
    by_addr: ArcSwap<HashMap<SocketAddr, Arc<TargetPool>>>,
}

impl Pools {
    /// Returns an idle connection, or opens a new one within `limit`. Unless the call is `replayable`,
    /// only a connection that completed a response recently is reused.
    pub async fn get(
        &self,
        addr: SocketAddr,
        replayable: bool,
        limit: Duration,
    ) -> io::Result<Conn> {
        let pool = self.pool(addr);
        let max_age = if replayable { MAX_IDLE } else { FRESH_IDLE };
        if let Some(conn) = pool.take(max_age) {
            return Ok(conn);
        }
        let Some(permit) = pool.permit() else {
            let text = format!("{addr}: all {MAX_OPEN} connections are in use");
            return Err(io::Error::new(io::ErrorKind::QuotaExceeded, text));
        };
        let stream = timeout(limit.min(CONNECT_TIMEOUT), TcpStream::connect(addr))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        Ok(Conn::new(stream, permit, false))
    }

    /// Closes idle connections that are too old or that the target closed, and removes pools without
    /// connections.
    pub fn sweep(&self) {
        let pools = self.by_addr.load_full();
        for pool in pools.values() {
            pool.sweep(MAX_IDLE);
        }
        let unused: Vec<SocketAddr> = pools
            .iter()
            .filter(|(_, pool)| pool.is_unused())
            .map(|(addr, _)| *addr)
            .collect();
        if !unused.is_empty() {
            self.by_addr.rcu(|map| {
                let mut map = HashMap::clone(map);
                map.retain(|addr, _| !unused.contains(addr));
                map
            });
        }
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        for pool in self.by_addr.load().values() {
            pool.sweep(Duration::ZERO);
        }
    }

    fn pool(&self, addr: SocketAddr) -> Arc<TargetPool> {
        if let Some(pool) = self.by_addr.load().get(&addr) {
            return Arc::clone(pool);
        }
        self.by_addr.rcu(|map| {
            let mut map = HashMap::clone(map);
            map.entry(addr)
                .or_insert_with(|| Arc::new(TargetPool::new()));
            map
        });
        let pools = self.by_addr.load();
        let pool = pools.get(&addr).map(Arc::clone);
        pool.unwrap_or_else(|| Arc::new(TargetPool::new()))
    }
}

/// Returns whether at least `age` has passed since `since`.
fn is_older(since: Instant, age: Duration) -> bool {
    since.elapsed() >= age
}

#[cfg(test)]
mod tests;
