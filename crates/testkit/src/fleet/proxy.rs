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
    channel::{Receiver, Sender, bounded},
    io::{ReadExt, WriteExt},
    net::{Shutdown, TcpListener, TcpStream},
    task,
};
use futures::{
    future::{Either, select},
    pin_mut,
};
use socket2::SockRef;

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
    /// Outages that begin now.
    outages: Sender<Outage>,
}

/// What happens to connections during an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageKind {
    /// Open ones are closed and new ones refused.
    Refuse,
    /// Open ones fall silent and new ones are never established.
    Hang,
}

/// An outage of the proxy.
#[derive(Clone, Copy, Debug)]
struct Outage {
    kind: OutageKind,
    length: Duration,
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
        let (outages, starting) = bounded(1);
        let proxy = Self {
            addr: listener.local_addr()?,
            state: Arc::default(),
            outages,
        };
        let (addr, state) = (proxy.addr, Arc::clone(&proxy.state));
        task::spawn(async move {
            let mut listener = Some(listener);
            while let Some(open) = listener.take() {
                let Some(outage) = serve(&open, target, &state, &starting).await else {
                    return;
                };
                listener = match outage.kind {
                    OutageKind::Hang => hang(open, addr, outage.length).await,
                    OutageKind::Refuse => {
                        drop(open);
                        task::sleep(outage.length).await;
                        TcpListener::bind(addr).await.ok()
                    }
                };
            }
        });
        Ok(proxy)
    }

    /// Closes all connections and refuses new ones for `outage`, as if the process behind the proxy
    /// had crashed.
    pub fn crash(&self, outage: Duration) {
        self.begin_outage(OutageKind::Refuse, outage);
    }

    /// Stops serving for `length`, as if the machine behind the proxy could not be reached.
    pub fn begin_outage(&self, kind: OutageKind, length: Duration) {
        if kind == OutageKind::Hang {
            self.silence_open();
        }
        // If the channel is full, an outage is about to start.
        let _ = self.outages.try_send(Outage { kind, length });
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

/// Leaves new connections in the queue of the listener, which then takes no further ones, for `length`.
async fn hang(listener: TcpListener, addr: SocketAddr, length: Duration) -> Option<TcpListener> {
    /// Length of the queue while connections are accepted.
    const BACKLOG: i32 = 128;
    SockRef::from(&listener).listen(0).ok()?;
    // A queue of length 0 takes one connection.
    let _in_queue = TcpStream::connect(addr).await.ok()?;
    task::sleep(length).await;
    SockRef::from(&listener).listen(BACKLOG).ok()?;
    Some(listener)
}

/// Forwards connections until an outage begins. Returns `None` if the proxy is gone.
async fn serve(
    listener: &TcpListener,
    target: SocketAddr,
    state: &Arc<ProxyState>,
    outages: &Receiver<Outage>,
) -> Option<Outage> {
    // The connections end when the sender is dropped.
    let (is_up, ended) = bounded::<()>(1);
    let accepting = async {
        while let Ok((caller, _)) = listener.accept().await {
            let number = state.accepted.fetch_add(1, Ordering::AcqRel);
            if let Ok(stream) = TcpStream::connect(target).await {
                for (from, to, is_response) in [
                    (caller.clone(), stream.clone(), false),
                    (stream.clone(), caller.clone(), true),
                ] {
                    let link = Link {
                        state: Arc::clone(state),
                        number,
                        is_response,
                    };
                    task::spawn(forward(from, to, link, ended.clone()));
                }
            }
        }
    };
    let outage = outages.recv();
    pin_mut!(accepting, outage);
    match select(accepting, outage).await {
        Either::Right((Ok(outage), _)) => {
            if outage.kind == OutageKind::Hang {
                // Silent connections stay open for the rest of the test.
                std::mem::forget(is_up);
            }
            Some(outage)
        }
        // No handle is left that could start an outage.
        Either::Right((Err(_), accepting)) => {
            accepting.await;
            None
        }
        Either::Left(_) => None,
    }
}

async fn forward(from: TcpStream, to: TcpStream, link: Link, ended: Receiver<()>) {
    let copying = copy(from.clone(), to.clone(), &link);
    let ended = ended.recv();
    pin_mut!(copying, ended);
    select(copying, ended).await;
    // Ends the other direction as well; errors are ignored because it may have ended already.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

async fn copy(mut from: TcpStream, mut to: TcpStream, link: &Link) {
    let mut chunk = vec![0; 16 * 1024];
    while let Ok(len) = from.read(&mut chunk).await {
        if len == 0 || !link.wait_to_forward().await {
            break;
        }
        if to.write_all(&chunk[..len]).await.is_err() {
            break;
        }
    }
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
