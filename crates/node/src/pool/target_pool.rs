//! The connection pool of one target.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::{
    channel::{Receiver, Sender, bounded},
    net::TcpStream,
};
use futures::FutureExt;

use crate::pool::{Conn, MAX_OPEN, is_older};

/// An idle connection. Dropping it closes the connection.
#[derive(Debug)]
pub struct IdleConn {
    stream: TcpStream,
    permit: Permit,
    since: Instant,
}

/// Idle connections to one target, and the number of all open ones.
#[derive(Debug)]
pub struct TargetPool {
    open: AtomicUsize,
    sender: Sender<IdleConn>,
    receiver: Receiver<IdleConn>,
}

/// Permission to keep one connection open. Dropping it decrements the number of open connections.
#[derive(Debug)]
pub struct Permit {
    pool: Arc<TargetPool>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.pool.open.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Permit {
    /// Puts the connection into the queue of idle ones.
    pub fn keep(self, stream: TcpStream) {
        let pool = Arc::clone(&self.pool);
        let idle = IdleConn {
            stream,
            permit: self,
            since: Instant::now(),
        };
        // Cannot fail: the queue has as many places as there are permits.
        let _ = pool.sender.try_send(idle);
    }

    /// Closes the idle connections to the same target.
    pub fn close_siblings(&self) {
        while self.pool.receiver.try_recv().is_ok() {}
    }
}

impl TargetPool {
    /// Creates a pool without connections.
    pub fn new() -> Self {
        let (sender, receiver) = bounded(MAX_OPEN);
        Self {
            open: AtomicUsize::new(0),
            sender,
            receiver,
        }
    }

    /// Returns the permission to open one more connection. At the limit, closes an idle connection to
    /// make room; returns `None` if there is none.
    pub fn permit(self: &Arc<Self>) -> Option<Permit> {
        for _ in 0..=MAX_OPEN {
            let incremented = self
                .open
                .fetch_update(Ordering::AcqRel, Ordering::Acquire, |open| {
                    (open < MAX_OPEN).then_some(open + 1)
                });
            if incremented.is_ok() {
                return Some(Permit {
                    pool: Arc::clone(self),
                });
            }
            self.receiver.try_recv().ok()?;
        }
        None
    }

    /// Returns an idle connection younger than `max_age` that is still open. Older ones are moved to the
    /// end of the queue.
    pub fn take(&self, max_age: Duration) -> Option<Conn> {
        for _ in 0..self.receiver.len() {
            let idle = self.receiver.try_recv().ok()?;
            if !is_reusable(&idle.stream) {
                continue;
            }
            if !is_older(idle.since, max_age) {
                return Some(Conn::new(idle.stream, idle.permit, true));
            }
            let _ = self.sender.try_send(idle);
        }
        None
    }

    /// Closes idle connections that are `max_age` old, were closed by the target or received
    /// unexpected bytes.
    pub fn sweep(&self, max_age: Duration) {
        for _ in 0..self.receiver.len() {
            let Ok(idle) = self.receiver.try_recv() else {
                return;
            };
            if !is_older(idle.since, max_age) && is_reusable(&idle.stream) {
                let _ = self.sender.try_send(idle);
            }
        }
    }

    /// Returns whether no connection is open and nothing else refers to the pool.
    pub fn is_unused(self: &Arc<Self>) -> bool {
        self.open.load(Ordering::Acquire) == 0 && Arc::strong_count(self) == 1
    }
}

/// Returns whether an idle connection is open and has no unread bytes. Bytes that arrive between two
/// exchanges belong to no call, so the connection must not be reused.
fn is_reusable(stream: &TcpStream) -> bool {
    let mut byte = [0];
    stream.peek(&mut byte).now_or_never().is_none()
}
