//! A loopback proxy in front of a target, which delays, resets, silences or cuts connections one way.

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

/// Delay of each piece of data in the mode `Delay`.
const DELAY: Duration = Duration::from_millis(30);
/// Time between two looks at the mode while nothing is passed on.
const LOOK: Duration = Duration::from_millis(20);

/// What the proxy does with data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyMode {
    /// It passes them on.
    Pass,
    /// It passes them on late.
    Delay,
    /// It closes connections.
    Reset,
    /// It holds everything.
    Silent,
    /// It passes on requests and holds responses.
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
    /// Its address.
    pub addr: SocketAddr,
    mode: Arc<AtomicU8>,
}

impl FleetProxy {
    /// Starts a proxy; `target` is told later, since it registers with the proxy's address.
    ///
    /// # Errors
    ///
    /// If no port is free.
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
                    task::spawn(copy(
                        caller.clone(),
                        stream.clone(),
                        Arc::clone(&mode),
                        false,
                    ));
                    task::spawn(copy(stream, caller, Arc::clone(&mode), true));
                }
            }
        });
        Ok(proxy)
    }

    /// Changes what the proxy does, also on open connections.
    pub fn set_mode(&self, mode: ProxyMode) {
        let at = MODES.iter().position(|m| *m == mode).unwrap_or(0);
        self.mode
            .store(u8::try_from(at).unwrap_or(0), Ordering::Release);
    }
}

async fn copy(mut from: TcpStream, mut to: TcpStream, mode: Arc<AtomicU8>, is_response: bool) {
    let mut piece = vec![0; 16 * 1024];
    while let Ok(count) = from.read(&mut piece).await {
        if count == 0 || !pass(&mode, is_response).await {
            break;
        }
        if to.write_all(&piece[..count]).await.is_err() {
            break;
        }
    }
    // The other direction ends as well; it may have ended already.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

/// Waits until data may be passed on; `false` if the connection is to be closed.
async fn pass(mode: &AtomicU8, is_response: bool) -> bool {
    loop {
        match MODES[usize::from(mode.load(Ordering::Acquire))] {
            ProxyMode::Pass => return true,
            ProxyMode::OneWay if !is_response => return true,
            ProxyMode::Reset => return false,
            ProxyMode::Delay => {
                task::sleep(DELAY).await;
                return true;
            }
            ProxyMode::Silent | ProxyMode::OneWay => task::sleep(LOOK).await,
        }
    }
}
