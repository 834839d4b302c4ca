//! Accepts connections and serves one request on each, with a time limit for every phase.

use std::{
    net::{IpAddr, Shutdown},
    sync::{Arc, Weak},
    time::Duration,
};

use async_h1::server::{Encoder, decode};
use async_std::{
    future::timeout,
    io::{self, ReadExt},
    net::{TcpListener, TcpStream},
    task,
};
use http_types::{Method, Response, StatusCode};
use model::Code;
use tide::Server;

use crate::{
    Token,
    admin::{access::Operators, endpoints::Admin, problem::Problem, routes::routes},
    context::Context,
};

/// Most connections at a time. Operators and their programs are few.
const MAX_CONNECTIONS: usize = 64;
/// Most connections from one address, so that one host with stuck clients does not lock out others.
const MAX_PER_ADDRESS: usize = 32;
/// Time for a whole request head to arrive.
const HEAD_LIMIT: Duration = Duration::from_secs(5);
/// Time for a whole answer to be taken by the client.
const WRITE_LIMIT: Duration = Duration::from_secs(5);
/// Bytes of an unwanted request body that are read and dropped after the answer. Closing with unread
/// bytes would reset the connection, and the client could lose the answer.
const MAX_DROPPED_BYTES: u64 = 1024 * 1024;
/// Time for reading and dropping them.
const DROP_LIMIT: Duration = Duration::from_secs(1);
/// Pause after a failed accept, such as one for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Open connections with the addresses of their peers. Owned by the task that accepts.
#[derive(Debug, Default)]
struct Open {
    held: Vec<(IpAddr, Weak<()>)>,
}

impl Open {
    /// Room for one more connection until the result is dropped, if there is any.
    fn take(&mut self, peer: IpAddr) -> Option<Arc<()>> {
        self.held.retain(|(_, slot)| slot.strong_count() > 0);
        let same = self.held.iter().filter(|(ip, _)| *ip == peer).count();
        if self.held.len() >= MAX_CONNECTIONS || same >= MAX_PER_ADDRESS {
            return None;
        }
        let slot = Arc::new(());
        self.held.push((peer, Arc::downgrade(&slot)));
        Some(slot)
    }
}

/// Serves the administration API until cancelled.
pub async fn serve_admin(ctx: Arc<Context>, cancel: Token, listener: TcpListener) {
    let operators = Operators::new(&ctx.settings.operators);
    let app = routes(Arc::new(Admin { ctx, operators }));
    let mut open = Open::default();
    while let Some(next) = cancel.run(listener.accept()).await {
        let Ok((stream, peer)) = next else {
            cancel.run(task::sleep(ACCEPT_PAUSE)).await;
            continue;
        };
        let Some(slot) = open.take(peer.ip()) else {
            continue;
        };
        let app = app.clone();
        let cancel = cancel.child();
        task::spawn(async move {
            let _ = cancel.run(serve_connection(&app, stream)).await;
            drop(slot);
        });
    }
}

async fn serve_connection(app: &Server<Arc<Admin>>, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let head = timeout(HEAD_LIMIT, Box::pin(decode(stream.clone()))).await;
    let (method, response) = match head {
        Ok(Ok(Some((req, _)))) => (req.method(), respond(app, req).await),
        Ok(Ok(None)) => return Ok(()),
        Ok(Err(error)) => {
            let detail = format!("head: {error}");
            (Method::Get, refusal(Code::BadAdminRequest, detail))
        }
        Err(_) => {
            let detail = format!("head: not complete after {} s", HEAD_LIMIT.as_secs());
            (Method::Get, refusal(Code::SlowSender, detail))
        }
    };
    write_response(&stream, response, method).await?;
    stream.shutdown(Shutdown::Write)?;
    drop_rest(&stream).await;
    Ok(())
}

async fn respond(app: &Server<Arc<Admin>>, req: http_types::Request) -> Response {
    app.respond(req)
        .await
        .unwrap_or_else(|_: http_types::Error| Response::new(StatusCode::InternalServerError))
}

fn refusal(code: Code, detail: String) -> Response {
    Problem::new(code, detail).response().into()
}

async fn write_response(
    stream: &TcpStream,
    mut response: Response,
    method: Method,
) -> io::Result<()> {
    response.insert_header("connection", "close");
    let mut out = stream;
    let copy = io::copy(Encoder::new(response, method), &mut out);
    timeout(WRITE_LIMIT, copy)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    Ok(())
}

async fn drop_rest(stream: &TcpStream) {
    let mut rest = stream.take(MAX_DROPPED_BYTES);
    let _ = timeout(DROP_LIMIT, io::copy(&mut rest, &mut io::sink())).await;
}
