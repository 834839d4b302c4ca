//! Choice of the instance that a request is forwarded through while this one is cut off.
//!
//! Load pattern: half of the instances send all their requests through the others. Of two random ones, the
//! one with fewer requests of this instance takes the next, so that no instance is chosen by all. One that
//! has turned a request away, because it is cut off as well, is left out for a while.

use std::{collections::HashMap, net::SocketAddr};

use model::Time;

/// Time for which an instance is left out, in microseconds.
const AVOIDED_US: u64 = 1_000_000;

/// What this instance knows of those that it forwards requests through, by the address for other instances.
#[derive(Clone, Debug, Default)]
pub struct PeerChoice {
    in_flight: HashMap<SocketAddr, u32>,
    avoided_since: HashMap<SocketAddr, Time>,
}

impl PeerChoice {
    /// Returns the one of two random `candidates` that has fewer requests. `draws` are in `0.0..1.0`.
    #[must_use]
    pub fn choose(
        &self,
        candidates: &[SocketAddr],
        now: Time,
        draws: [f64; 2],
    ) -> Option<SocketAddr> {
        let is_avoided = |addr: &SocketAddr| {
            let since = self.avoided_since.get(addr);
            since.is_some_and(|at| now.since_us(*at) < AVOIDED_US)
        };
        let usable: Vec<SocketAddr> = candidates
            .iter()
            .copied()
            .filter(|addr| !is_avoided(addr))
            .collect();
        let chosen = draws
            .iter()
            .filter_map(|draw| usable.get(index(*draw, usable.len())));
        chosen
            .min_by_key(|addr| self.in_flight.get(addr).copied().unwrap_or_default())
            .copied()
    }

    /// Counts a request that is sent to `addr`.
    pub fn begin(&mut self, addr: SocketAddr) {
        *self.in_flight.entry(addr).or_default() += 1;
    }

    /// Counts the end of a request that was sent to `addr`.
    pub fn end(&mut self, addr: SocketAddr) {
        if let Some(count) = self.in_flight.get_mut(&addr) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(&addr);
            }
        }
    }

    /// Leaves `addr` out for a while from now on.
    pub fn avoid(&mut self, addr: SocketAddr, now: Time) {
        let is_recent = |at: &Time| now.since_us(*at) < AVOIDED_US;
        self.avoided_since.retain(|_, at| is_recent(at));
        self.avoided_since.insert(addr, now);
    }
}

/// Returns the index in a list of `len` that a draw stands for.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "below the length of a list"
)]
fn index(draw: f64, len: usize) -> usize {
    (draw * len as f64) as usize
}
