//! Accepts connections from callers and limits their number, in total and for each address.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_std::{
    net::{TcpListener, TcpStream},
    task,
};
use futures::{FutureExt, pin_mut, select_biased};
use model::Code;
use tracing::warn;

use crate::{
    Token,
    connection::{refuse_connection, serve_connection},
    context::Context,
};

/// Maximum number of caller connections. Each takes up to about 100 KiB with a buffered body and its
/// buffers, so that all together stay below 400 MB.
const MAX_CONNECTIONS: u64 = 4_096;
/// Maximum number of connections from one address, so that one caller cannot occupy all of them. A
/// caller with 14 nested calls for each of 64 concurrent requests needs 896.
const MAX_PER_ADDRESS: u64 = 1_024;
/// Number of tracked addresses at which those without connections are removed.
const MAX_ADDRESSES: usize = 4_096;
/// Pause after a failed accept, for example when no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Numbers of open connections by caller address. Only the task that accepts connections uses it.
#[derive(Debug, Default)]
struct ConnectionCounts {
    by_addr: HashMap<IpAddr, Arc<AtomicU64>>,
}

/// Counts one connection of an address until it is dropped.
struct CountedConnection(Arc<AtomicU64>);

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl ConnectionCounts {
    /// Counts one more connection of `addr`. Returns `None` if the address already has `max_count`
    /// connections.
    fn add(&mut self, addr: IpAddr, max_count: u64) -> Option<CountedConnection> {
        if self.by_addr.len() >= MAX_ADDRESSES {
            self.by_addr.retain(|_, c| c.load(Ordering::Acquire) > 0);
        }
        let count = self.by_addr.entry(addr).or_default();
        if count.load(Ordering::Acquire) >= max_count {
            return None;
        }
        count.fetch_add(1, Ordering::AcqRel);
        Some(CountedConnection(Arc::clone(count)))
    }
}

/// Accepts and serves connections until `cancel` is cancelled or the instance drains.
pub async fn serve_callers(ctx: Arc<Context>, cancel: Token, listener: TcpListener) {
    let mut counts = ConnectionCounts::default();
    loop {
        let next = {
            let accepted = listener.accept().fuse();
            let drained = ctx.progress.drain.cancelled().fuse();
            let ended = cancel.cancelled().fuse();
            pin_mut!(accepted, drained, ended);
            select_biased! {
                () = ended => return,
                accepted = accepted => accepted,
                () = drained => break,
            }
        };
        match next {
            Ok((stream, peer)) => start_serving(&ctx, &cancel, &mut counts, stream, peer),
            Err(error) => {
                warn!(event = "accept_failed", instance = %ctx.settings.instance, %error);
                task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    // Serves the connections that the operating system has accepted already: closing the listener
    // would reset them.
    while let Some(Ok((stream, peer))) = listener.accept().now_or_never() {
        start_serving(&ctx, &cancel, &mut counts, stream, peer);
    }
}

/// Starts a task that serves the connection, or refuses it if a limit is reached.
fn start_serving(
    ctx: &Arc<Context>,
    cancel: &Token,
    counts: &mut ConnectionCounts,
    stream: TcpStream,
    peer: SocketAddr,
) {
    let open = ctx.progress.start_connection();
    if open.total() > MAX_CONNECTIONS {
        refuse(ctx, stream, Code::QueueFull);
        return;
    }
    let Some(counted) = counts.add(peer.ip(), MAX_PER_ADDRESS) else {
        refuse(ctx, stream, Code::FairShare);
        return;
    };
    let (ctx, cancel) = (Arc::clone(ctx), cancel.clone());
    task::spawn(async move {
        serve_connection(ctx, cancel, stream, peer).await;
        drop((counted, open));
    });
}

fn refuse(ctx: &Arc<Context>, stream: TcpStream, code: Code) {
    task::spawn(refuse_connection(Arc::clone(ctx), stream, code));
}

#[cfg(test)]
mod tests;
