//! Connections to targets. A connection carries one exchange at a time and is kept only after a
//! whole answer.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use async_std::{future::timeout, io, net::TcpStream};

/// Time to open a connection. Opening takes about 1 ms.
const CONNECT_LIMIT: Duration = Duration::from_millis(250);
/// Longest time that a connection stays idle.
const MAX_IDLE: Duration = Duration::from_secs(10);
/// Most idle connections to a target from one instance: 16 instances hold 240 together.
const MAX_IDLE_COUNT: usize = 15;

#[derive(Debug)]
struct Idle {
    stream: TcpStream,
    since: Instant,
}

/// Idle connections by target address.
#[derive(Debug, Default)]
pub struct Pools {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

impl Pools {
    /// An idle connection no older than `max_age`, or a fresh one.
    pub async fn get(&self, addr: SocketAddr, max_age: Duration) -> io::Result<TcpStream> {
        if let Some(stream) = self.take_idle(addr, max_age.min(MAX_IDLE)) {
            return Ok(stream);
        }
        let stream = timeout(CONNECT_LIMIT, TcpStream::connect(addr))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    /// Keeps a connection whose exchange ended with a whole answer.
    pub fn put(&self, addr: SocketAddr, stream: TcpStream) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.entry(addr).or_default();
        if kept.len() < MAX_IDLE_COUNT {
            kept.push(Idle {
                stream,
                since: Instant::now(),
            });
        }
    }

    fn take_idle(&self, addr: SocketAddr, max_age: Duration) -> Option<TcpStream> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.get_mut(&addr)?;
        kept.retain(|i| i.since.elapsed() < MAX_IDLE);
        let newest = kept.pop()?;
        (newest.since.elapsed() < max_age).then_some(newest.stream)
    }
}
