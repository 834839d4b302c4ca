//! The receiving side: accepts streams of peers and routes their messages to the tasks that handle
//! them.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use async_std::{
    future::timeout,
    net::{TcpListener, TcpStream},
    stream::StreamExt,
    task,
};
use bytes::Bytes;
use h2::{RecvStream, server};
use model::{Code, InstanceId};
use policy::Event;
use tokio_util::compat::FuturesAsyncReadCompatExt;
use tracing::warn;
use wire::{KeyHash, PEER_SCHEMA, PeerMsg};

use crate::{
    Token,
    context::Context,
    control::ControlEvent,
    dispatch::DispatchMsg,
    peer::{SILENCE_TIMEOUT, WINDOW_BYTES, frame::FrameReader},
};

/// Maximum number of streams of one connection. A peer opens one.
const MAX_STREAMS: u32 = 2;
/// Time limit of the h2 handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Accepts connections of peers until cancelled.
pub async fn serve_peers(ctx: Arc<Context>, cancel: Token, listener: TcpListener) {
    let mut incoming = listener.incoming();
    while let Some(Some(next)) = cancel.run(incoming.next()).await {
        let Ok(stream) = next else {
            continue;
        };
        let ctx = Arc::clone(&ctx);
        let cancel = cancel.child();
        task::spawn(async move {
            cancel
                .run(Box::pin(serve_connection(&ctx, &cancel, stream)))
                .await;
            cancel.cancel();
        });
    }
}

async fn serve_connection(ctx: &Arc<Context>, cancel: &Token, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut builder = server::Builder::new();
    builder
        .initial_window_size(WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS);
    let handshake = builder.handshake::<_, Bytes>(stream.compat());
    let Ok(Ok(mut connection)) = timeout(HANDSHAKE_TIMEOUT, handshake).await else {
        return;
    };
    while let Some(Ok((request, _respond))) = connection.accept().await {
        let ctx = Arc::clone(ctx);
        let cancel = cancel.child();
        let body = request.into_body();
        task::spawn(async move {
            cancel.run(Box::pin(read_stream(&ctx, body))).await;
        });
    }
}

/// Reads messages until the stream ends, breaks, or is silent for too long.
async fn read_stream(ctx: &Arc<Context>, mut body: RecvStream) {
    let mut reader = FrameReader::default();
    let mut peer = None;
    loop {
        let Ok(Some(Ok(bytes))) = timeout(SILENCE_TIMEOUT, body.data()).await else {
            break;
        };
        let _ = body.flow_control().release_capacity(bytes.len());
        ctx.peers
            .stats
            .received_bytes
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
        reader.push(&bytes);
        if let Err(code) = handle_messages(ctx, &mut reader, &mut peer) {
            warn!(event = "peer_stream_refused", instance = %ctx.settings.instance, ?peer, code = code.number());
            return;
        }
    }
}

fn handle_messages(
    ctx: &Arc<Context>,
    reader: &mut FrameReader,
    peer: &mut Option<InstanceId>,
) -> Result<(), Code> {
    while let Some(msg) = reader.next().map_err(|e| e.code)? {
        ctx.peers.stats.received.fetch_add(1, Ordering::Relaxed);
        match (&msg, &*peer) {
            (
                PeerMsg::Hello {
                    schema, instance, ..
                },
                None,
            ) => {
                if *schema != PEER_SCHEMA {
                    return Err(Code::PeerSchema);
                }
                *peer = Some(instance.clone());
                route_message(ctx, instance, msg.clone());
            }
            (PeerMsg::Hello { .. }, Some(_)) | (_, None) => return Err(Code::BadFrame),
            (_, Some(from)) => route_message(ctx, from, msg.clone()),
        }
    }
    Ok(())
}

/// Sends a message about loans to the dispatcher of the service and a message about idempotency keys
/// to the table of keys. All other messages go to the control thread.
fn route_message(ctx: &Arc<Context>, from: &InstanceId, msg: PeerMsg) {
    let from = from.clone();
    match msg {
        PeerMsg::Loan { service, msg } => {
            if let Some(dispatcher) = ctx.dispatchers.load().get(&service) {
                let _ = dispatcher.try_send(DispatchMsg::Event(Event::Peer { from, msg }));
            }
        }
        PeerMsg::KeyClaim { seq, key } => {
            task::spawn(answer_claim(Arc::clone(ctx), from, seq, key));
        }
        PeerMsg::KeyReply { seq, state } => ctx.keys.deliver_reply(seq, state),
        PeerMsg::KeyEnd { key, state } => ctx.keys.end(key, state),
        msg => {
            let _ = ctx.control.try_send(ControlEvent::Peer { from, msg });
        }
    }
}

/// Claims an idempotency key for a peer and sends it the state of the key. If the table of keys is
/// full, the peer gets no answer and does not run the call.
async fn answer_claim(ctx: Arc<Context>, from: InstanceId, seq: u64, key: KeyHash) {
    if let Some(state) = ctx.keys.claim(key).await {
        ctx.peers.send(&from, PeerMsg::KeyReply { seq, state });
    }
}
