//! Streams between instances: frames of `wire::PeerMsg` over h2. Each instance opens one stream to
//! each of its peers to send messages, so that each direction fails and recovers independently.

mod frame;
mod incoming;
mod outgoing;
mod peers;

pub use self::{
    incoming::serve_peers,
    outgoing::spawn_link,
    peers::{Link, PeerStats, Peers},
};

use std::time::Duration;

/// Interval between heartbeats, and between pings.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a response or a message after which a stream is closed.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Receive window of a stream in bytes: room for four frames of the largest size.
const WINDOW_BYTES: u32 = 1024 * 1024;
