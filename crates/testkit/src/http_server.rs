//! A loopback HTTP/1.1 server whose handler is a closure.

use std::{future::Future, net::SocketAddr};

use async_std::{
    net::{TcpListener, TcpStream},
    stream::StreamExt,
    task,
};
use http_types::{Request, Response, StatusCode};
use node::Token;
use serde::Serialize;

/// A running server. Dropping it closes the listener and all connections, as the end of a process
/// does.
#[derive(Debug)]
pub struct HttpServer {
    addr: SocketAddr,
    cancel: Token,
}

impl HttpServer {
    /// Listens on a free loopback port and passes each request to `handler`, together with its
    /// connection.
    ///
    /// # Panics
    ///
    /// Panics if no loopback port is free.
    pub async fn start<F, Fut>(handler: F) -> Self
    where
        F: Fn(Request, TcpStream) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = http_types::Result<Response>> + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a free loopback port");
        let addr = listener.local_addr().expect("a bound address");
        let cancel = Token::new();
        task::spawn(accept_all(cancel.clone(), listener, handler));
        Self { addr, cancel }
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

async fn accept_all<F, Fut>(cancel: Token, listener: TcpListener, handler: F)
where
    F: Fn(Request, TcpStream) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = http_types::Result<Response>> + Send + 'static,
{
    let mut incoming = listener.incoming();
    while let Some(Some(stream)) = cancel.run(incoming.next()).await {
        let Ok(stream) = stream else {
            continue;
        };
        let handler = handler.clone();
        let cancel = cancel.clone();
        task::spawn(async move {
            let _ = stream.set_nodelay(true);
            let copy = stream.clone();
            let serve = async_h1::accept(stream, |req| handler(req, copy.clone()));
            cancel.run(Box::pin(serve)).await;
        });
    }
}

/// Returns a response with status 200 and a JSON body.
///
/// # Errors
///
/// Returns an error if the value cannot be serialized.
pub fn json_response<T: Serialize>(value: &T) -> http_types::Result<Response> {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(serde_json::to_vec(value)?);
    response.insert_header("content-type", "application/json");
    Ok(response)
}
