//! Connections to targets. A connection carries one exchange at a time and is kept only after a
//! whole answer. The call path takes no lock: the map is replaced as a whole when a target appears,
//! and idle connections wait in a bounded queue.

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

/// Time to open a connection. Opening takes about 1 ms.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// Longest time that a connection stays idle.
const MAX_IDLE: Duration = Duration::from_secs(10);
/// Longest time since the last whole answer of a connection that a non-idempotent call may use. A
/// target that restarts or drops connections without notice within it costs a call, not a repeat.
const FRESH_IDLE: Duration = Duration::from_secs(1);
/// Most connections to a target from one instance, busy and idle: 16 instances hold 240 together.
pub const MAX_OPEN: usize = 15;

/// Connections by target address.
#[derive(Debug, Default)]
pub struct Pools {
    by_addr: ArcSwap<HashMap<SocketAddr, Arc<TargetPool>>>,
}

impl Pools {
    /// An idle connection, or a new one opened within `limit`. Unless `replayable`, only a
    /// connection that carried a whole answer lately is used again.
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
        let stream = timeout(limit.min(CONNECT_LIMIT), TcpStream::connect(addr))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        Ok(Conn::new(stream, permit))
    }

    /// Closes idle connections that are too old or that the target closed, and forgets targets
    /// without connections.
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

/// Age of an idle connection at which it is of no more use.
fn is_older(since: Instant, age: Duration) -> bool {
    since.elapsed() >= age
}

#[cfg(test)]
mod tests;
