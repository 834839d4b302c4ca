//! A loopback TCP proxy in front of a target, which can delay, close or block connections, also in
//! one direction only.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU8, AtomicU64, Ordering},
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
    state: Arc<ProxyState>,
}

#[derive(Debug, Default)]
struct ProxyState {
    mode: AtomicU8,
    /// Number of connections accepted so far.
    accepted: AtomicU64,
    /// Connections with a smaller number forward nothing any more.
    silent_below: AtomicU64,
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
            state: Arc::default(),
        };
        let state = Arc::clone(&proxy.state);
        task::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let number = state.accepted.fetch_add(1, Ordering::AcqRel);
                if let Ok(stream) = TcpStream::connect(target).await {
                    let link = |is_response| Link {
                        state: Arc::clone(&state),
                        number,
                        is_response,
                    };
                    task::spawn(forward(caller.clone(), stream.clone(), link(false)));
                    task::spawn(forward(stream, caller, link(true)));
                }
            }
        });
        Ok(proxy)
    }

    /// Sets the mode for new and open connections.
    pub fn set_mode(&self, mode: ProxyMode) {
        let at = MODES.iter().position(|m| *m == mode).unwrap_or(0);
        self.state
            .mode
            .store(u8::try_from(at).unwrap_or(0), Ordering::Release);
    }

    /// Makes all open connections silent for good. New ones work.
    pub fn silence_open(&self) {
        let accepted = self.state.accepted.load(Ordering::Acquire);
        self.state.silent_below.store(accepted, Ordering::Release);
    }
}

/// One direction of a connection.
struct Link {
    state: Arc<ProxyState>,
    /// Number of the connection.
    number: u64,
    is_response: bool,
}

async fn forward(mut from: TcpStream, mut to: TcpStream, link: Link) {
    let mut chunk = vec![0; 16 * 1024];
    while let Ok(len) = from.read(&mut chunk).await {
        if len == 0 || !link.wait_to_forward().await {
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

impl Link {
    /// Waits until data may be forwarded. Returns `false` if the connection is to be closed.
    async fn wait_to_forward(&self) -> bool {
        loop {
            if self.number < self.state.silent_below.load(Ordering::Acquire) {
                task::sleep(POLL_INTERVAL).await;
                continue;
            }
            match MODES[usize::from(self.state.mode.load(Ordering::Acquire))] {
                ProxyMode::Pass => return true,
                ProxyMode::OneWay if !self.is_response => return true,
                ProxyMode::Reset => return false,
                ProxyMode::Delay => {
                    task::sleep(DELAY).await;
                    return true;
                }
                ProxyMode::Silent | ProxyMode::OneWay => task::sleep(POLL_INTERVAL).await,
            }
        }
    }
}
