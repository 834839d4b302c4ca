//! One attempt at a call: an exchange with one target.

use std::{sync::Arc, time::Duration};

use async_std::{future::timeout, net::TcpStream};
use http_types::{Body, Request, Response, Url};
use policy::{CallId, End, TargetView};

use crate::{Token, context::Context};

/// Longest idle age of a connection that a non-idempotent call may use.
const FRESH_IDLE: Duration = Duration::from_secs(1);

/// An answer's head, and the connection that carries its body.
pub struct Answer {
    /// Head and body reader.
    pub response: Response,
    /// The connection, to be kept after the whole body.
    pub stream: TcpStream,
}

/// Sends the call to `target` and waits for the answer's head.
pub async fn attempt(
    ctx: &Context,
    cancel: &Token,
    call: CallId,
    target: &Arc<TargetView>,
    req: Request,
    limit: Duration,
) -> Result<Answer, End> {
    let stream = ctx
        .pools
        .get(target.addr, FRESH_IDLE)
        .await
        .map_err(|_| End::ConnectFailed)?;
    let message = build(call, target, req, limit).map_err(|_| End::ConnectFailed)?;
    let exchange = timeout(limit, Box::pin(async_h1::connect(stream.clone(), message)));
    match cancel.run(exchange).await {
        None => Err(End::Cancelled),
        Some(Err(_)) => Err(End::Timeout),
        Some(Ok(Err(_))) => Err(End::Cut),
        Some(Ok(Ok(response))) => Ok(Answer { response, stream }),
    }
}

fn build(
    call: CallId,
    target: &TargetView,
    mut req: Request,
    limit: Duration,
) -> http_types::Result<Request> {
    let path = req.url().path().to_owned();
    let mut url = Url::parse(&format!("http://{}{path}", target.addr))?;
    url.set_query(req.url().query());
    let body: Body = req.take_body();
    let mut message = Request::new(req.method(), url);
    for (name, values) in &req {
        if !is_hop_header(name.as_str()) {
            message.insert_header(name, values);
        }
    }
    message.insert_header("hw-call", call.0.to_string());
    message.insert_header("hw-deadline-ms", limit.as_millis().to_string());
    message.set_body(body);
    Ok(message)
}

/// Headers that belong to one connection and are not passed on.
fn is_hop_header(name: &str) -> bool {
    const HOP_HEADERS: [&str; 8] = [
        "connection",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "proxy-connection",
        "host",
    ];
    HOP_HEADERS.contains(&name)
}
