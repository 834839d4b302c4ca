//! Connections to instances. A connection carries one call at a time.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use async_std::{future::timeout, io, net::TcpStream};

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum idle time of a connection that is reused. Instances close idle connections after 10 s.
const MAX_IDLE: Duration = Duration::from_secs(5);

/// Idle connections by instance, each with the time since which it is idle.
#[derive(Debug, Default)]
pub(super) struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<(TcpStream, Instant)>>>,
}

impl Pool {
    /// Returns an idle connection or opens a new one.
    pub(super) async fn get(&self, addr: SocketAddr) -> io::Result<TcpStream> {
        if let Some(stream) = self.take_idle(addr) {
            return Ok(stream);
        }
        let opened = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
        let stream = opened.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    /// Returns a connection to the pool.
    pub(super) fn put(&self, addr: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.entry(addr).or_default().push((stream, Instant::now()));
    }

    /// Closes all idle connections to an instance.
    pub(super) fn remove(&self, addr: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&addr);
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&addr)?;
        connections.retain(|(_, since)| since.elapsed() < MAX_IDLE);
        connections.pop().map(|(stream, _)| stream)
    }
}
