//! Groups of instances to which a datagram for all of them is sent: to the first of each group,
//! which forwards it to the others.

use std::net::SocketAddr;

use crate::{Member, Presence};

/// Time in which a datagram may be sent to all instances without groups, in microseconds.
const MAX_DIRECT_US: u64 = 100_000;
/// Most instances that are sent a datagram without groups. With more, the copies that cross zones
/// would cost more than the delay at a relay does.
const MAX_DIRECT: usize = 24;

/// An instance that is sent a datagram, and those that it forwards it to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FanOut {
    /// Peer address of the instance.
    pub relay: SocketAddr,
    /// Peer addresses that it forwards the datagram to.
    pub others: Vec<SocketAddr>,
}

impl FanOut {
    /// Divides `members` into groups by zone, so that few datagrams cross zones. `duration_us` is
    /// the transmission time of one datagram. If they are few and can all be sent one soon enough, each is a
    /// group of its own; otherwise there are as many groups as instances in a group, which takes the shortest
    /// time. In the order of `members`, which should be random, so that different instances relay
    /// each time. The relay of a group is the one heard last, which is least likely to have ended, and
    /// none that is leaving if there is another one.
    #[must_use]
    pub fn groups(mut members: Vec<&Member>, duration_us: u64) -> Vec<Self> {
        let direct_us = duration_us.saturating_mul(members.len() as u64);
        let size = if direct_us <= MAX_DIRECT_US && members.len() <= MAX_DIRECT {
            1
        } else {
            members.len().isqrt().max(1)
        };
        members.sort_by(|a, b| a.zone.cmp(&b.zone));
        members.chunks(size).filter_map(Self::of_group).collect()
    }

    fn of_group(group: &[&Member]) -> Option<Self> {
        let fitness = |m: &&&Member| (m.presence != Presence::Leaving, m.last_heard);
        let relay = group.iter().max_by_key(fitness)?.peer_addr;
        let addrs = group.iter().map(|m| m.peer_addr);
        Some(Self {
            relay,
            others: addrs.filter(|addr| *addr != relay).collect(),
        })
    }
}

#[cfg(test)]
mod tests;
