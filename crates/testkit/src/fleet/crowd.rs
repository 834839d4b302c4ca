//! Callers who send as fast as they are answered.

use std::{net::SocketAddr, time::Duration};

use async_std::{
    io::{ReadExt, WriteExt},
    net::TcpStream,
    task::{self, JoinHandle},
};

/// Requests that a caller sends at once.
const PIPELINED: usize = 8;
/// Pause after a connection that was refused.
const REFUSED_PAUSE: Duration = Duration::from_millis(100);

/// A crowd of callers of one instance. Dropping it lets them go on until the process ends.
#[derive(Debug)]
pub struct Crowd {
    callers: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Starts `count` callers who send requests that match no route.
    #[must_use]
    pub fn start(instance: SocketAddr, count: usize) -> Self {
        let callers = (0..count).map(|_| task::spawn(press(instance)));
        Self {
            callers: callers.collect(),
        }
    }

    /// Ends the callers' connections.
    pub async fn end(self) {
        for caller in self.callers {
            caller.cancel().await;
        }
    }
}

/// Sends requests on one connection at a time.
async fn press(instance: SocketAddr) {
    let request = "GET /none/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n".repeat(PIPELINED);
    let mut chunk = vec![0; 16 * 1_024];
    loop {
        let Ok(mut stream) = TcpStream::connect(instance).await else {
            task::sleep(REFUSED_PAUSE).await;
            continue;
        };
        while stream.write_all(request.as_bytes()).await.is_ok() {
            match stream.read(&mut chunk).await {
                Ok(count) if count > 0 => {}
                _ => break,
            }
        }
    }
}
