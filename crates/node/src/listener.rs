//! Accepts callers' connections, within limits.

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

/// Most connections of callers. Each takes up to about 100 KiB with a held body and buffers, so that
/// all together stay below 400 MB.
const MAX_CONNECTIONS: u64 = 4_096;
/// Most connections from one address, so that one caller cannot take them all. A caller with 14
/// nested calls for each of 64 requests at a time needs 896.
const MAX_PER_ADDRESS: u64 = 1_024;
/// Addresses whose counts are kept before unused ones are removed.
const MAX_ADDRESSES: usize = 4_096;
/// Pause after a failed accept, such as for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Open connections by caller address. Owned by the task that accepts.
#[derive(Debug, Default)]
struct Counts {
    by_addr: HashMap<IpAddr, Arc<AtomicU64>>,
}

/// Counts a connection of one address until dropped.
struct Counted(Arc<AtomicU64>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Counts {
    /// Counts one more connection, or none if the address has enough.
    fn add(&mut self, addr: IpAddr, most: u64) -> Option<Counted> {
        if self.by_addr.len() >= MAX_ADDRESSES {
            self.by_addr.retain(|_, c| c.load(Ordering::Acquire) > 0);
        }
        let count = self.by_addr.entry(addr).or_default();
        if count.load(Ordering::Acquire) >= most {
            return None;
        }
        count.fetch_add(1, Ordering::AcqRel);
        Some(Counted(Arc::clone(count)))
    }
}

/// Serves callers until cancelled or drained.
pub async fn serve_callers(ctx: Arc<Context>, cancel: Token, listener: TcpListener) {
    let mut counts = Counts::default();
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
            Ok((stream, peer)) => take(&ctx, &cancel, &mut counts, stream, peer),
            Err(error) => {
                warn!(event = "accept_failed", instance = %ctx.settings.instance, %error);
                task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    // Connections that the system accepted before are served; closing would reset them.
    while let Some(Ok((stream, peer))) = listener.accept().now_or_never() {
        take(&ctx, &cancel, &mut counts, stream, peer);
    }
}

fn take(
    ctx: &Arc<Context>,
    cancel: &Token,
    counts: &mut Counts,
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
