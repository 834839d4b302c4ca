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
    channel::{Receiver, Sender, bounded},
    io::{ReadExt, WriteExt},
    net::{Shutdown, TcpListener, TcpStream},
    task,
};
use futures::{
    future::{Either, select},
    pin_mut,
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
    /// For how long the proxy is to refuse connections from now on.
    outages: Sender<Duration>,
}

impl FleetProxy {
    /// Starts a proxy that forwards connections to the address `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback port is free.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (outages, starting) = bounded(1);
        let proxy = Self {
            addr: listener.local_addr()?,
            mode: Arc::default(),
            outages,
        };
        let (addr, mode) = (proxy.addr, Arc::clone(&proxy.mode));
        task::spawn(async move {
            let mut listener = Some(listener);
            while let Some(open) = listener.take() {
                let Some(outage) = serve(open, target, &mode, &starting).await else {
                    return;
                };
                task::sleep(outage).await;
                listener = TcpListener::bind(addr).await.ok();
            }
        });
        Ok(proxy)
    }

    /// Closes all connections and refuses new ones for `outage`, as if the process behind the proxy
    /// had crashed.
    pub fn crash(&self, outage: Duration) {
        // If the channel is full, an outage is about to start.
        let _ = self.outages.try_send(outage);
    }

    /// Sets the mode for new and open connections.
    pub fn set_mode(&self, mode: ProxyMode) {
        let at = MODES.iter().position(|m| *m == mode).unwrap_or(0);
        self.mode
            .store(u8::try_from(at).unwrap_or(0), Ordering::Release);
    }
}

/// Forwards connections until an outage begins; then closes them and returns for how long. Returns
/// `None` if the proxy is gone.
async fn serve(
    listener: TcpListener,
    target: SocketAddr,
    mode: &Arc<AtomicU8>,
    outages: &Receiver<Duration>,
) -> Option<Duration> {
    // The connections end when the sender is dropped.
    let (_is_up, ended) = bounded::<()>(1);
    let accepting = async {
        while let Ok((caller, _)) = listener.accept().await {
            if let Ok(stream) = TcpStream::connect(target).await {
                for (from, to, is_response) in [
                    (caller.clone(), stream.clone(), false),
                    (stream.clone(), caller.clone(), true),
                ] {
                    let (mode, ended) = (Arc::clone(mode), ended.clone());
                    task::spawn(forward(from, to, mode, ended, is_response));
                }
            }
        }
    };
    let outage = outages.recv();
    pin_mut!(accepting, outage);
    match select(accepting, outage).await {
        Either::Right((Ok(outage), _)) => Some(outage),
        // No handle is left that could start an outage.
        Either::Right((Err(_), accepting)) => {
            accepting.await;
            None
        }
        Either::Left(_) => None,
    }
}

async fn forward(
    from: TcpStream,
    to: TcpStream,
    mode: Arc<AtomicU8>,
    ended: Receiver<()>,
    is_response: bool,
) {
    let copying = copy(from.clone(), to.clone(), &mode, is_response);
    let ended = ended.recv();
    pin_mut!(copying, ended);
    select(copying, ended).await;
    // Ends the other direction as well; errors are ignored because it may have ended already.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

async fn copy(mut from: TcpStream, mut to: TcpStream, mode: &AtomicU8, is_response: bool) {
    let mut chunk = vec![0; 16 * 1024];
    while let Ok(len) = from.read(&mut chunk).await {
        if len == 0 || !wait_to_forward(mode, is_response).await {
            break;
        }
        if to.write_all(&chunk[..len]).await.is_err() {
            break;
        }
    }
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
