//! Accepts connections and serves one request on each, with a timeout for every phase.

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
    admin::{access::Operators, api_error::ApiError, endpoints::AdminState, routes::routes},
    context::Context,
};

/// Maximum number of open connections. Only a few operators and programs use the API.
const MAX_CONNECTIONS: usize = 64;
/// Maximum number of open connections from one IP address, so that a host whose clients hang does not
/// lock out others.
const MAX_PER_ADDRESS: usize = 32;
/// Timeout for reading a whole request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for writing a whole response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of unread request bytes that the server reads and discards after the response.
/// Closing a connection with unread bytes resets it, and the client could lose the response.
const MAX_DISCARDED_BYTES: u64 = 1024 * 1024;
/// Timeout for reading and discarding these bytes.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed accept, for example when the process has no free file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Counts the open connections by client address. The accepting task owns it.
#[derive(Debug, Default)]
struct OpenConnections {
    /// The client address of each connection, with a weak reference to its permit. The reference
    /// cannot be upgraded any more once the connection has dropped the permit.
    permits: Vec<(IpAddr, Weak<()>)>,
}

impl OpenConnections {
    /// Returns a permit for one more connection from `client`, or `None` at a limit. The connection
    /// counts until the permit is dropped.
    fn try_acquire(&mut self, client: IpAddr) -> Option<Arc<()>> {
        self.permits.retain(|(_, permit)| permit.strong_count() > 0);
        let same_address = self.permits.iter().filter(|(ip, _)| *ip == client).count();
        if self.permits.len() >= MAX_CONNECTIONS || same_address >= MAX_PER_ADDRESS {
            return None;
        }
        let permit = Arc::new(());
        self.permits.push((client, Arc::downgrade(&permit)));
        Some(permit)
    }
}

/// Serves the administration API until cancelled.
pub async fn serve_admin(ctx: Arc<Context>, cancel: Token, listener: TcpListener) {
    let operators = Operators::new(&ctx.settings.operators);
    let app = routes(Arc::new(AdminState { ctx, operators }));
    let mut open = OpenConnections::default();
    while let Some(accepted) = cancel.run(listener.accept()).await {
        let Ok((stream, client)) = accepted else {
            cancel.run(task::sleep(ACCEPT_PAUSE)).await;
            continue;
        };
        let Some(permit) = open.try_acquire(client.ip()) else {
            continue;
        };
        let app = app.clone();
        let cancel = cancel.child();
        task::spawn(async move {
            let _ = cancel.run(serve_connection(&app, stream)).await;
            drop(permit);
        });
    }
}

/// Reads one request, writes the response and closes the connection.
async fn serve_connection(app: &Server<Arc<AdminState>>, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let head = timeout(HEAD_TIMEOUT, Box::pin(decode(stream.clone()))).await;
    let (method, response) = match head {
        Ok(Ok(Some((req, _)))) => (req.method(), respond(app, req).await),
        Ok(Ok(None)) => return Ok(()),
        Ok(Err(error)) => {
            let detail = format!("head: {error}");
            (Method::Get, error_response(Code::BadAdminRequest, detail))
        }
        Err(_) => {
            let detail = format!("head: not complete after {} s", HEAD_TIMEOUT.as_secs());
            (Method::Get, error_response(Code::SlowSender, detail))
        }
    };
    write_response(&stream, response, method).await?;
    stream.shutdown(Shutdown::Write)?;
    discard_input(&stream).await;
    Ok(())
}

async fn respond(app: &Server<Arc<AdminState>>, req: http_types::Request) -> Response {
    app.respond(req)
        .await
        .unwrap_or_else(|_: http_types::Error| Response::new(StatusCode::InternalServerError))
}

fn error_response(code: Code, detail: String) -> Response {
    ApiError::new(code, detail).into_response().into()
}

async fn write_response(
    stream: &TcpStream,
    mut response: Response,
    method: Method,
) -> io::Result<()> {
    response.insert_header("connection", "close");
    let mut out = stream;
    let copy = io::copy(Encoder::new(response, method), &mut out);
    timeout(WRITE_TIMEOUT, copy)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    Ok(())
}

/// Reads and discards what the client still sends, up to a size and a time.
async fn discard_input(stream: &TcpStream) {
    let mut rest = stream.take(MAX_DISCARDED_BYTES);
    let _ = timeout(DISCARD_TIMEOUT, io::copy(&mut rest, &mut io::sink())).await;
}
