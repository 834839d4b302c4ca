//! Pool of idle connections to targets.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use async_std::net::TcpStream;
use futures::FutureExt;
use model::Time;
use socket2::{SockRef, TcpKeepalive};

use crate::target_stream::TargetStream;

/// Longest idle time of a connection if the target states none, in milliseconds. Targets close idle
/// connections after some seconds, and a request sent at the same moment is lost.
const DEFAULT_KEEP_MS: u64 = 4_000;
/// Time before the end of the stated idle timeout from which a connection is not used, in
/// milliseconds.
const KEEP_MARGIN_MS: u64 = 1_500;
/// Most idle connections to one target.
const MAX_IDLE: usize = 4;
/// Timeout for opening a connection. Targets accept within a few milliseconds.
pub const CONNECT_LIMIT_US: u64 = 250_000;
/// Timeout for the acknowledgement of sent bytes, and interval of TCP keepalive probes. Finds targets
/// whose machine is gone.
const ACK_LIMIT: Duration = Duration::from_secs(1);

/// Size of a request, in bytes, that fits into the receive buffer of any target. The system acknowledges
/// it even if the target does not read.
const BUFFERED_BYTES: usize = 32 * 1_024;

/// An idle connection and the time until which it may be used.
#[derive(Debug)]
struct IdleConnection {
    stream: TargetStream,
    until: Time,
}

/// Reason why no connection was opened.
#[derive(Debug)]
pub enum ConnectError {
    /// As many connections are open as the instance may have.
    NoRoom,
    /// Error of the system.
    System(std::io::Error),
}

/// Idle connections by the address of the target, and the number of all connections to targets.
#[derive(Debug)]
pub struct Pool {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    open: Rc<Cell<usize>>,
    max_open: usize,
}

impl Pool {
    /// Creates a pool that opens at most `max_open` connections at the same time.
    pub fn new(max_open: usize) -> Self {
        Self {
            idle: RefCell::default(),
            open: Rc::default(),
            max_open,
        }
    }

    /// Opens a connection. Closes the idle ones if no other may be opened.
    pub async fn connect(&self, addr: SocketAddr) -> Result<TargetStream, ConnectError> {
        if self.open.get() >= self.max_open {
            self.idle.borrow_mut().clear();
        }
        if self.open.get() >= self.max_open {
            return Err(ConnectError::NoRoom);
        }
        TargetStream::open(Rc::clone(&self.open), connect(addr))
            .await
            .map_err(ConnectError::System)
    }

    /// Returns the number of open connections to targets.
    pub fn open_count(&self) -> usize {
        self.open.get()
    }

    /// Takes an idle connection that the target has neither written to nor closed.
    pub fn take(&self, addr: SocketAddr, now: Time) -> Option<TargetStream> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&addr)?;
        while let Some(IdleConnection { stream, until }) = list.pop() {
            if now >= until {
                list.clear();
                return None;
            }
            // Readable data means that the connection was closed or that a late response arrived.
            if stream.peek(&mut [0]).now_or_never().is_none() {
                return Some(stream);
            }
        }
        None
    }

    /// Adds an idle connection. `keep_ms` is the idle timeout that the target stated.
    pub fn put(&self, addr: SocketAddr, stream: TargetStream, keep_ms: Option<u64>, now: Time) {
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(addr).or_default();
        let keep_ms = keep_ms.map_or(DEFAULT_KEEP_MS, |ms| ms.saturating_sub(KEEP_MARGIN_MS));
        if list.len() < MAX_IDLE && keep_ms > 0 {
            list.push(IdleConnection {
                stream,
                until: now.plus_ms(keep_ms),
            });
        }
    }

    /// Closes all idle connections to an address.
    pub fn close_all(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }

    /// Closes connections whose idle time is over, and those to addresses that no target has.
    pub fn sweep(&self, now: Time, has_target: impl Fn(SocketAddr) -> bool) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|addr, list| {
            list.retain(|i| now < i.until);
            !list.is_empty() && has_target(*addr)
        });
    }
}

/// Opens a connection and sets its TCP options.
///
/// # Errors
///
/// Returns the error of the system, or a timeout after [`CONNECT_LIMIT_US`]. Nothing was sent.
async fn connect(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = async_std::io::timeout(
        Duration::from_micros(CONNECT_LIMIT_US),
        TcpStream::connect(addr),
    )
    .await?;
    let socket = SockRef::from(&stream);
    let keepalive = TcpKeepalive::new()
        .with_time(ACK_LIMIT)
        .with_interval(ACK_LIMIT)
        .with_retries(1);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(ACK_LIMIT))?;
    Ok(stream)
}

/// Whether the target may be slow to read a request of `request_bytes` without being gone.
pub fn may_fill_buffers(request_bytes: usize) -> bool {
    request_bytes > BUFFERED_BYTES
}

/// Removes the timeout for acknowledgements, which also ends a connection whose target reads nothing for
/// that long. The deadline of the request remains.
///
/// # Errors
///
/// Returns the error of the system.
pub fn await_slow_reader(stream: &TcpStream) -> std::io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(None)
}
