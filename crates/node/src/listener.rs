//! Accepts callers' connections and serves one request after the other on each.

use std::{sync::Arc, time::Duration};

use async_h1::server::{Encoder, decode};
use async_std::{
    future::timeout,
    io,
    net::{TcpListener, TcpStream},
    stream::StreamExt,
    task,
};
use http_types::{Method, Request, Response};
use model::Code;

use crate::{
    Token,
    addresses::{ADDRESSES_PATH, answer_addresses},
    call::{handle_call, refusal},
    context::Context,
};

/// Time for a whole request head to arrive on an open connection.
const HEAD_LIMIT: Duration = Duration::from_secs(10);

/// Serves callers until cancelled.
pub async fn serve_callers(ctx: Arc<Context>, cancel: Token, listener: TcpListener) {
    let mut incoming = listener.incoming();
    while let Some(Some(next)) = cancel.run(incoming.next()).await {
        let Ok(stream) = next else {
            continue;
        };
        task::spawn(serve_connection(Arc::clone(&ctx), cancel.child(), stream));
    }
}

async fn serve_connection(ctx: Arc<Context>, cancel: Token, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    loop {
        let head = cancel
            .run(timeout(HEAD_LIMIT, Box::pin(decode(stream.clone()))))
            .await;
        let Some(Ok(Ok(Some((req, body))))) = head else {
            return;
        };
        let method = req.method();
        let response = handle(&ctx, &cancel, req, &stream).await;
        let close = response
            .header("connection")
            .is_some_and(|v| v.as_str() == "close");
        if write_response(&stream, response, method).await.is_err() || close {
            return;
        }
        drop(body);
    }
}

async fn handle(ctx: &Arc<Context>, cancel: &Token, req: Request, stream: &TcpStream) -> Response {
    if req.header("hw-service").is_some() {
        let peer = stream.peer_addr().ok();
        return handle_call(ctx, cancel, req, peer).await;
    }
    if req.method() == Method::Get && req.url().path() == ADDRESSES_PATH {
        return answer_addresses(ctx, &req);
    }
    refusal(Code::BadHeader, 0)
}

async fn write_response(stream: &TcpStream, response: Response, method: Method) -> io::Result<()> {
    let mut out = stream;
    io::copy(Encoder::new(response, method), &mut out).await?;
    Ok(())
}
