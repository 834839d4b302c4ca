//! Connections to instances. One carries one exchange at a time.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use async_std::{future::timeout, io, net::TcpStream};

/// Time to open a connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Longest idle time of a reused connection; instances close after 10 s.
const MAX_IDLE: Duration = Duration::from_secs(5);

#[derive(Debug, Default)]
pub(super) struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<(TcpStream, Instant)>>>,
}

impl Pool {
    pub(super) async fn get(&self, addr: SocketAddr) -> io::Result<TcpStream> {
        if let Some(stream) = self.take_idle(addr) {
            return Ok(stream);
        }
        let opened = timeout(CONNECT_LIMIT, TcpStream::connect(addr)).await;
        let stream = opened.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    pub(super) fn put(&self, addr: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.entry(addr).or_default().push((stream, Instant::now()));
    }

    /// Closes the idle connections to an instance that broke one.
    pub(super) fn forget(&self, addr: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&addr);
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<TcpStream> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.get_mut(&addr)?;
        kept.retain(|(_, since)| since.elapsed() < MAX_IDLE);
        kept.pop().map(|(stream, _)| stream)
    }
}
