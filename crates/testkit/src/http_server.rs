//! A loopback HTTP/1.1 server whose handler is a closure. Dropping it closes the listener.

use std::{future::Future, net::SocketAddr};

use async_std::{
    net::{TcpListener, TcpStream},
    stream::StreamExt,
    task::{self, JoinHandle},
};
use http_types::{Request, Response, StatusCode};
use serde::Serialize;

/// A running server.
#[derive(Debug)]
pub struct HttpServer {
    addr: SocketAddr,
    task: Option<JoinHandle<()>>,
}

impl HttpServer {
    /// Listens on a free loopback port and passes each request to `handler`.
    ///
    /// # Panics
    ///
    /// If no port can be had.
    pub async fn start<F, Fut>(handler: F) -> Self
    where
        F: Fn(Request, TcpStream) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = http_types::Result<Response>> + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a free loopback port");
        let addr = listener.local_addr().expect("a bound address");
        let task = task::spawn(accept_all(listener, handler));
        Self {
            addr,
            task: Some(task),
        }
    }

    /// Where the server listens.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        if let Some(task) = self.task.take() {
            task::spawn(task.cancel());
        }
    }
}

async fn accept_all<F, Fut>(listener: TcpListener, handler: F)
where
    F: Fn(Request, TcpStream) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = http_types::Result<Response>> + Send + 'static,
{
    let mut incoming = listener.incoming();
    while let Some(stream) = incoming.next().await {
        let Ok(stream) = stream else {
            continue;
        };
        let handler = handler.clone();
        task::spawn(async move {
            let _ = stream.set_nodelay(true);
            let copy = stream.clone();
            let _ = async_h1::accept(stream, |req| handler(req, copy.clone())).await;
        });
    }
}

/// A 200 answer with a JSON body.
///
/// # Errors
///
/// If the value cannot be written as JSON.
pub fn json_response<T: Serialize>(value: &T) -> http_types::Result<Response> {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(serde_json::to_vec(value)?);
    response.insert_header("content-type", "application/json");
    Ok(response)
}
