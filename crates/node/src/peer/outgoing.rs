//! The sending side: one task for each peer connects, sends queued messages and heartbeats, and
//! reconnects when the stream breaks or the peer does not respond.

use std::{
    future::poll_fn,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use async_std::{
    channel::{Receiver, bounded},
    future::timeout,
    net::TcpStream,
    task,
};
use bytes::{Bytes, BytesMut};
use futures::future::{Either, select};
use h2::{
    Ping, PingPong, SendStream,
    client::{self, SendRequest},
};
use http::Request;
use model::{Code, InstanceId};
use thiserror::Error;
use tokio_util::compat::FuturesAsyncReadCompatExt;
use tracing::{debug, info};
use wire::{PEER_SCHEMA, PeerMsg};

use crate::{
    Token,
    context::Context,
    control::ControlEvent,
    peer::{HEARTBEAT_INTERVAL, Link, SILENCE_TIMEOUT, WINDOW_BYTES, frame::write_frame},
};

/// Maximum number of messages in the queue of a link.
const QUEUE_LENGTH: usize = 1_024;
/// Maximum estimated size of the messages that are sent in one write, in bytes.
const BATCH_BYTES: usize = 64 * 1024;
/// Time limit for opening a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before reconnecting after a connection broke.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);

#[derive(Debug, Error)]
enum LinkError {
    #[error("{}", Code::PeerSilent)]
    Silent,
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    H2(#[from] h2::Error),
    #[error("{0}")]
    Http(#[from] http::Error),
    #[error("{0}")]
    Frame(#[from] wire::WireError),
}

/// Starts the task that maintains the link to a peer.
pub fn spawn_link(
    ctx: &Arc<Context>,
    cancel: &Token,
    peer: &InstanceId,
    addr: SocketAddr,
    incarnation: u64,
) -> Link {
    let (queue, receiver) = bounded(QUEUE_LENGTH);
    let cancel = cancel.child();
    let link = Link {
        incarnation,
        addr,
        queue,
        cancel: cancel.clone(),
    };
    let ctx = Arc::clone(ctx);
    let peer = peer.clone();
    task::spawn(async move {
        cancel
            .run(Box::pin(maintain_link(&ctx, &peer, addr, &receiver)))
            .await;
    });
    link
}

async fn maintain_link(
    ctx: &Context,
    peer: &InstanceId,
    addr: SocketAddr,
    queue: &Receiver<PeerMsg>,
) {
    let instance = &ctx.settings.instance;
    loop {
        let Err(error) = run_link(ctx, peer, addr, queue).await;
        debug!(event = "peer_link_down", %instance, %peer, %error);
        let _ = ctx.control.send(ControlEvent::LinkDown(peer.clone())).await;
        task::sleep(RECONNECT_PAUSE).await;
        // Messages queued for the broken stream would arrive late. They are dropped, since all senders
        // tolerate the loss of messages.
        while queue.try_recv().is_ok() {
            ctx.peers.stats.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Connects and sends messages until the stream breaks.
async fn run_link(
    ctx: &Context,
    peer: &InstanceId,
    addr: SocketAddr,
    queue: &Receiver<PeerMsg>,
) -> Result<std::convert::Infallible, LinkError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
        .await
        .map_err(|_| LinkError::Silent)??;
    stream.set_nodelay(true)?;
    let (sender, mut connection) = client::Builder::new()
        .initial_window_size(WINDOW_BYTES)
        .handshake::<_, Bytes>(stream.compat())
        .await?;
    let pings = connection.ping_pong();
    let driver = Box::pin(connection);
    let work = Box::pin(send_loop(ctx, peer, addr, queue, sender, pings));
    match select(driver, work).await {
        Either::Left((end, _)) => {
            end?;
            Err(LinkError::Silent)
        }
        Either::Right((end, _)) => end,
    }
}

async fn send_loop(
    ctx: &Context,
    peer: &InstanceId,
    addr: SocketAddr,
    queue: &Receiver<PeerMsg>,
    sender: SendRequest<Bytes>,
    pings: Option<PingPong>,
) -> Result<std::convert::Infallible, LinkError> {
    let request = Request::post(format!("http://{addr}/peer")).body(())?;
    let mut sender = sender.ready().await?;
    let (_response, mut stream) = sender.send_request(request, false)?;
    let mut pings = pings.ok_or(LinkError::Silent)?;
    send(ctx, &mut stream, vec![hello(ctx), heartbeat(ctx)]).await?;
    timeout(SILENCE_TIMEOUT, pings.ping(Ping::opaque()))
        .await
        .map_err(|_| LinkError::Silent)??;
    info!(event = "peer_link_up", instance = %ctx.settings.instance, %peer);
    let _ = ctx.control.send(ControlEvent::LinkUp(peer.clone())).await;
    let pinger = Box::pin(ping_loop(pings));
    let work = Box::pin(send_queued(ctx, queue, &mut stream));
    match select(pinger, work).await {
        Either::Left((end, _)) | Either::Right((end, _)) => end,
    }
}

/// Sends pings, and returns an error if one is not answered in time. This detects a connection that
/// stays open but delivers nothing.
async fn ping_loop(mut pings: PingPong) -> Result<std::convert::Infallible, LinkError> {
    loop {
        task::sleep(HEARTBEAT_INTERVAL).await;
        timeout(SILENCE_TIMEOUT, pings.ping(Ping::opaque()))
            .await
            .map_err(|_| LinkError::Silent)??;
    }
}

async fn send_queued(
    ctx: &Context,
    queue: &Receiver<PeerMsg>,
    stream: &mut SendStream<Bytes>,
) -> Result<std::convert::Infallible, LinkError> {
    let mut next = ctx.clock.now();
    loop {
        let now = ctx.clock.now();
        if now >= next {
            next = now.plus_ms(u64::try_from(HEARTBEAT_INTERVAL.as_millis()).unwrap_or(u64::MAX));
            send(ctx, stream, vec![heartbeat(ctx)]).await?;
        }
        let wait = Duration::from_micros(next.since_us(now));
        if let Ok(Ok(msg)) = timeout(wait, queue.recv()).await {
            send(ctx, stream, batch(msg, queue)).await?;
        }
    }
}

/// Returns `first` and the queued messages after it, up to [`BATCH_BYTES`] by an estimated size per
/// message.
fn batch(first: PeerMsg, queue: &Receiver<PeerMsg>) -> Vec<PeerMsg> {
    const ESTIMATED_BYTES: usize = 64;
    let mut msgs = vec![first];
    while msgs.len() < BATCH_BYTES / ESTIMATED_BYTES {
        let Ok(msg) = queue.try_recv() else {
            break;
        };
        msgs.push(msg);
    }
    msgs
}

async fn send(
    ctx: &Context,
    stream: &mut SendStream<Bytes>,
    msgs: Vec<PeerMsg>,
) -> Result<(), LinkError> {
    let mut buffer = BytesMut::new();
    for msg in &msgs {
        write_frame(msg, &mut buffer)?;
    }
    let stats = &ctx.peers.stats;
    stats.sent.fetch_add(msgs.len() as u64, Ordering::Relaxed);
    stats
        .sent_bytes
        .fetch_add(buffer.len() as u64, Ordering::Relaxed);
    let mut rest = buffer.freeze();
    while !rest.is_empty() {
        stream.reserve_capacity(rest.len());
        let ready = poll_fn(|cx| stream.poll_capacity(cx));
        let granted = timeout(SILENCE_TIMEOUT, ready)
            .await
            .map_err(|_| LinkError::Silent)?;
        let size = granted.ok_or(LinkError::Silent)??.min(rest.len());
        stream.send_data(rest.split_to(size), false)?;
    }
    Ok(())
}

fn hello(ctx: &Context) -> PeerMsg {
    PeerMsg::Hello {
        schema: PEER_SCHEMA,
        instance: ctx.settings.instance.clone(),
        zone: ctx.settings.zone.clone(),
        region: ctx.settings.region.clone(),
        incarnation: ctx.incarnation,
    }
}

fn heartbeat(ctx: &Context) -> PeerMsg {
    let snapshot = ctx.snapshot.load();
    PeerMsg::Heartbeat {
        offset: snapshot.offset,
        leaving: ctx.progress.is_leaving(),
        view: snapshot.view,
    }
}
