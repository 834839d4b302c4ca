//! Stand-in for the system that takes usage reports. It checks the rules for them.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_std::{
    net::{TcpListener, TcpStream},
    task,
};
use h1::{Request, RequestDecoder};

use super::http::{next_request, respond};

/// One call with a usage report.
#[derive(Clone, Debug)]
pub struct UsageCall {
    /// Time at which it arrived.
    pub at: Instant,
    /// Instance that sent it.
    pub holder: String,
    /// Token of its claim.
    pub token: u64,
    /// Window that the report is about.
    pub window: u64,
    /// Body of the report.
    pub body: String,
    /// Status of the response.
    pub status: u16,
}

#[derive(Debug)]
struct CloudState {
    status: u16,
    calls: Vec<UsageCall>,
}

/// A running stand-in. Clones share its calls.
#[derive(Clone, Debug)]
pub struct FleetCloud {
    /// Address that takes reports.
    pub addr: SocketAddr,
    shared: Arc<Mutex<CloudState>>,
}

impl FleetCloud {
    /// Starts a stand-in on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if no loopback port is free.
    pub async fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let state = CloudState {
            status: 200,
            calls: Vec::new(),
        };
        let cloud = Self {
            addr: listener.local_addr()?,
            shared: Arc::new(Mutex::new(state)),
        };
        let server = cloud.clone();
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                task::spawn(server.clone().serve(stream));
            }
        });
        Ok(cloud)
    }

    /// Sets the status of the responses from now on.
    pub fn set_status(&self, status: u16) {
        self.lock().status = status;
    }

    /// Returns the calls so far.
    #[must_use]
    pub fn calls(&self) -> Vec<UsageCall> {
        self.lock().calls.clone()
    }

    /// Returns the first rule that the calls break: one content for a window, a token that does not
    /// fall and is of one holder, and no holders that alternate within `lease`.
    #[must_use]
    pub fn broken_rule(&self, lease: Duration) -> Option<String> {
        let calls = self.calls();
        for (at, call) in calls.iter().enumerate() {
            let before = &calls[..at];
            let is_other = |c: &&UsageCall| c.window == call.window && c.body != call.body;
            if let Some(other) = before.iter().find(is_other) {
                return Some(format!("two reports of a window: {other:?}, {call:?}"));
            }
            let last = before.last().filter(|l| {
                l.token > call.token || (l.token == call.token && l.holder != call.holder)
            });
            if let Some(last) = last {
                return Some(format!("tokens: {last:?}, {call:?}"));
            }
            let recent = before.iter().rev().take_while(|c| call.at - c.at <= lease);
            let since_other = recent.skip_while(|c| c.holder == call.holder);
            if since_other.into_iter().any(|c| c.holder == call.holder) {
                return Some(format!("holders alternate: {call:?}"));
            }
        }
        None
    }

    async fn serve(self, stream: TcpStream) {
        let mut decoder = RequestDecoder::default();
        let mut input = Vec::new();
        while let Ok(Some(request)) = next_request(&stream, &mut decoder, &mut input).await {
            let status = self.take(&request).unwrap_or(400);
            if respond(&stream, status, "", b"").await.is_err() {
                return;
            }
        }
    }

    /// Records a call. Returns the status of the response; `None` if the call is malformed.
    fn take(&self, request: &Request) -> Option<u16> {
        let header = |name| request.headers.single_value(name).map(str::to_owned);
        let body: serde_json::Value = serde_json::from_slice(&request.body.to_vec()).ok()?;
        body.get("counts")?.as_object()?;
        let is_report = request.method == "POST" && request.path() == "/usage";
        let mut shared = self.lock();
        let call = UsageCall {
            at: Instant::now(),
            holder: header("X-Hibiscusway-Lease-Holder")?,
            token: header("X-Hibiscusway-Fence-Token")?.parse().ok()?,
            window: body.get("window_id")?.as_u64()?,
            body: String::from_utf8_lossy(&request.body.to_vec()).into_owned(),
            status: if is_report { shared.status } else { 404 },
        };
        let status = call.status;
        shared.calls.push(call);
        Some(status)
    }

    fn lock(&self) -> MutexGuard<'_, CloudState> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
