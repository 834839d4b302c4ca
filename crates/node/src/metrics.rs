//! Metrics in statsd format over UDP. `docs/metrics.md` lists names and units. Sending never blocks:
//! metrics are dropped while the bounded queue is full.

use std::{
    io,
    net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket},
    sync::atomic::{AtomicU64, Ordering},
};

use cadence::{BufferedUdpMetricSink, Counted, Gauged, QueuingMetricSink, StatsdClient, Timed};
use model::{Code, Settings};
use tracing::warn;

use crate::peer::PeerStats;

/// Maximum number of queued metrics. About one second of calls of one instance.
const QUEUE_LENGTH: usize = 16 * 1024;
/// Prefix of all names.
const PREFIX: &str = "hibiscusway";

/// Metrics of one instance.
#[derive(Debug)]
pub struct Metrics {
    client: Option<StatsdClient>,
    violations: AtomicU64,
}

impl Metrics {
    /// Creates metrics that are sent to the address in the settings, or discarded if there is none. If
    /// the address cannot be used, a warning is logged and the instance runs without metrics.
    pub fn new(settings: &Settings) -> Self {
        let client = settings.statsd.and_then(|addr| match connect(addr) {
            Ok(client) => Some(client),
            Err(error) => {
                warn!(event = "metrics_off", instance = %settings.instance, %addr, %error);
                None
            }
        });
        Self {
            client,
            violations: AtomicU64::new(0),
        }
    }

    /// Counts a call that ended.
    pub fn call(&self, service: &str, class: &str, code: Code) {
        let Some(client) = &self.client else {
            return;
        };
        client
            .count_with_tags("calls", 1)
            .with_tag("service", service)
            .with_tag("class", class)
            .with_tag("code", &code.number().to_string())
            .send();
    }

    /// Records the time that the instance added to a served call, in microseconds.
    pub fn added(&self, class: &str, us: u64) {
        let Some(client) = &self.client else {
            return;
        };
        client
            .time_with_tags("added_us", us)
            .with_tag("class", class)
            .send();
    }

    /// Counts a request that was refused before it became a call.
    pub fn refused(&self, code: Code) {
        let Some(client) = &self.client else {
            return;
        };
        client
            .count_with_tags("refused", 1)
            .with_tag("code", &code.number().to_string())
            .send();
    }

    /// Records the number of callers' connections, and sends buffered metrics that do not
    /// fill a packet yet.
    pub fn connections(&self, open: u64) {
        if let Some(client) = &self.client {
            client.gauge_with_tags("connections", open).send();
            let _ = client.flush();
        }
    }

    /// Adds `count` to a counter of a dispatcher, if it is not 0.
    pub fn dispatched(&self, name: &str, service: &str, count: u64) {
        let Some(client) = &self.client else {
            return;
        };
        if count > 0 {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            client
                .count_with_tags(name, count)
                .with_tag("service", service)
                .send();
        }
    }

    /// Records the number of calls that wait for a slot.
    pub fn waiting(&self, service: &str, count: u64) {
        if let Some(client) = &self.client {
            client
                .gauge_with_tags("waiting", count)
                .with_tag("service", service)
                .send();
        }
    }

    /// Records the total traffic on the streams to and from other instances.
    pub fn peers(&self, stats: &PeerStats) {
        let Some(client) = &self.client else {
            return;
        };
        let pairs = [
            ("peer_sent", &stats.sent),
            ("peer_sent_bytes", &stats.sent_bytes),
            ("peer_received", &stats.received),
            ("peer_received_bytes", &stats.received_bytes),
            ("peer_dropped", &stats.dropped),
        ];
        for (name, value) in pairs {
            client
                .gauge_with_tags(name, value.load(Ordering::Relaxed))
                .send();
        }
    }

    /// Counts a violated invariant.
    pub fn violation(&self, code: Code) {
        self.violations.fetch_add(1, Ordering::Relaxed);
        if let Some(client) = &self.client {
            client
                .count_with_tags("violations", 1)
                .with_tag("code", &code.number().to_string())
                .send();
        }
    }

    /// Returns the number of invariants violated so far.
    pub fn violations(&self) -> u64 {
        self.violations.load(Ordering::Relaxed)
    }
}

fn connect(addr: SocketAddr) -> io::Result<StatsdClient> {
    let local: SocketAddr = match addr {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = UdpSocket::bind(local)?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(addr, socket).map_err(io::Error::other)?;
    let queue = QueuingMetricSink::with_capacity(sink, QUEUE_LENGTH);
    Ok(StatsdClient::from_sink(PREFIX, queue))
}
