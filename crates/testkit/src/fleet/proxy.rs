//! A loopback TCP proxy in front of a target, which can delay, close or block connections, also in
//! one direction only.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use async_std::{
    io::{ReadExt, WriteExt},
    net::{Shutdown, TcpListener, TcpStream},
    task,
};

/// Delay of each chunk of data in the mode `Delay`.
const DELAY: Duration = Duration::from_millis(30);
/// Interval at which a blocked connection checks for a change of the mode.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What the proxy does with data in both directions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyMode {
    /// Forwards data.
    Pass,
    /// Forwards each chunk after a delay.
    Delay,
    /// Closes a connection when data arrives on it.
    Reset,
    /// Blocks data in both directions.
    Silent,
    /// Forwards requests and blocks responses.
    OneWay,
}

const MODES: [ProxyMode; 5] = [
    ProxyMode::Pass,
    ProxyMode::Delay,
    ProxyMode::Reset,
    ProxyMode::Silent,
    ProxyMode::OneWay,
];

/// A running proxy.
#[derive(Clone, Debug)]
pub struct FleetProxy {
    /// Address that the proxy listens on.
    pub addr: SocketAddr,
    mode: Arc<AtomicU8>,
}

impl FleetProxy {
    /// Starts a proxy that forwards connections to the address `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback port is free.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let proxy = Self {
            addr: listener.local_addr()?,
            mode: Arc::default(),
        };
        let mode = Arc::clone(&proxy.mode);
        task::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                if let Ok(stream) = TcpStream::connect(target).await {
                    task::spawn(forward(
                        caller.clone(),
                        stream.clone(),
                        Arc::clone(&mode),
                        false,
                    ));
                    task::spawn(forward(stream, caller, Arc::clone(&mode), true));
                }
            }
        });
        Ok(proxy)
    }

    /// Sets the mode for new and open connections.
    pub fn set_mode(&self, mode: ProxyMode) {
        let at = MODES.iter().position(|m| *m == mode).unwrap_or(0);
        self.mode
            .store(u8::try_from(at).unwrap_or(0), Ordering::Release);
    }
}

async fn forward(mut from: TcpStream, mut to: TcpStream, mode: Arc<AtomicU8>, is_response: bool) {
    let mut chunk = vec![0; 16 * 1024];
    while let Ok(len) = from.read(&mut chunk).await {
        if len == 0 || !wait_to_forward(&mode, is_response).await {
            break;
        }
        if to.write_all(&chunk[..len]).await.is_err() {
            break;
        }
    }
    // Ends the other direction as well; errors are ignored because it may have ended already.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

/// Waits until data may be forwarded. Returns `false` if the connection is to be closed.
async fn wait_to_forward(mode: &AtomicU8, is_response: bool) -> bool {
    loop {
        match MODES[usize::from(mode.load(Ordering::Acquire))] {
            ProxyMode::Pass => return true,
            ProxyMode::OneWay if !is_response => return true,
            ProxyMode::Reset => return false,
            ProxyMode::Delay => {
                task::sleep(DELAY).await;
                return true;
            }
            ProxyMode::Silent | ProxyMode::OneWay => task::sleep(POLL_INTERVAL).await,
        }
    }
}
