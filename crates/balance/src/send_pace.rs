//! Limits the rate at which an instance sends datagrams to many others.

use model::Time;

/// Transmission time of the datagrams that may be sent without a pause, in microseconds. At 10
/// Mbit/s these are 4 kB, far less than the queue of a link.
const MAX_AHEAD_US: u64 = 8_000;
/// Longest time that is made up for after a pause, in microseconds. At 10 Mbit/s these are 10 kB.
const MAX_BEHIND_US: u64 = 20_000;

/// Pace of datagrams. It is kept over time, so that a pause that takes longer than it should, on a
/// busy machine, is made up for.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendPace {
    /// Time at which all datagrams so far would have been transmitted at the allowed rate.
    busy_until: Time,
}

impl SendPace {
    /// Adds a datagram with this transmission time, and returns how long to wait before it is sent,
    /// in microseconds.
    pub fn add_datagram(&mut self, now: Time, duration_us: u64) -> u64 {
        let ahead_us = self.busy_until.since_us(now);
        let earliest = Time(now.0.saturating_sub(MAX_BEHIND_US));
        self.busy_until = self.busy_until.max(earliest).plus_us(duration_us);
        if ahead_us > MAX_AHEAD_US { ahead_us } else { 0 }
    }
}

#[cfg(test)]
mod tests;
