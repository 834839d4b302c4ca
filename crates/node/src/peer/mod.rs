//! Streams between instances: frames of `wire::PeerMsg` over h2. Each instance opens one stream to
//! each of its peers for what it sends, so that both directions fail and recover on their own.

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

/// Interval of heartbeats and pings.
const HEARTBEAT: Duration = Duration::from_secs(1);
/// Silence after which a stream is replaced.
const SILENCE: Duration = Duration::from_secs(3);
/// Receive window of a stream in bytes: four of the largest frames.
const WINDOW_BYTES: u32 = 1024 * 1024;
