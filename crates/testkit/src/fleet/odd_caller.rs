//! Clients that read slowly or stop sending, as a load beside ordinary requests.

use std::{net::SocketAddr, time::Duration};

use async_std::{
    future::timeout,
    io::{ReadExt, WriteExt},
    net::TcpStream,
    task,
};

/// Time after which such a client closes its connection.
const CALL_TIME: Duration = Duration::from_millis(1_500);
/// Interval at which a slow reader reads [`READ_BYTES`].
const READ_INTERVAL: Duration = Duration::from_millis(50);
const READ_BYTES: usize = 1_024;

/// How a client behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OddCaller {
    /// Sends a complete request and reads 20 KB/s of the response.
    SlowReader,
    /// Sends half of the body and no more.
    HalfBody,
}

impl OddCaller {
    /// Sends the request `bytes`, whose body is more than twice as long as its head.
    pub(super) async fn call(self, addr: SocketAddr, bytes: &[u8]) {
        let sent = match self {
            Self::SlowReader => bytes,
            Self::HalfBody => &bytes[..bytes.len() / 2],
        };
        let _ = timeout(CALL_TIME, exchange(addr, sent)).await;
    }
}

/// Sends `bytes` and reads slowly until the connection ends.
async fn exchange(addr: SocketAddr, bytes: &[u8]) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(addr).await?;
    stream.write_all(bytes).await?;
    let mut chunk = [0; READ_BYTES];
    while stream.read(&mut chunk).await? > 0 {
        task::sleep(READ_INTERVAL).await;
    }
    Ok(())
}
