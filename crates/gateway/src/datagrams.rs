//! Sends datagrams to many instances at a limited rate. A burst would overflow the queue of a slow
//! link, which drops datagrams, and would delay requests.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use async_std::{net::UdpSocket, task};
use balance::SendPace;
use tracing::debug;

use crate::state::State;

/// Share of the link's bandwidth that datagrams of one kind may use.
const LINK_SHARE: f64 = 0.4;
/// Bytes of the Ethernet, IP and UDP headers of a datagram.
const HEADER_BYTES: usize = 42;

/// Returns the time in which a datagram of this size is transmitted at the allowed rate, in
/// microseconds.
pub fn transmission_us(state: &State, bytes: usize) -> u64 {
    let bits = (bytes + HEADER_BYTES) as f64 * 8.0;
    let duration = Duration::from_secs_f64(bits / (state.settings.link_mbps * 1e6 * LINK_SHARE));
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Sends one datagram once `pace` allows it.
pub async fn send_paced(
    state: &State,
    socket: &UdpSocket,
    pace: &RefCell<SendPace>,
    bytes: &[u8],
    addr: SocketAddr,
) {
    let duration_us = transmission_us(state, bytes.len());
    let wait_us = pace.borrow_mut().add_datagram(state.now(), duration_us);
    if wait_us > 0 {
        task::sleep(Duration::from_micros(wait_us)).await;
    }
    if let Err(error) = socket.send_to(bytes, addr).await {
        debug!(event = "datagram_unsent", peer = %addr, %error);
    }
}

#[cfg(test)]
mod tests;
