//! Groups of instances to which a datagram for all of them is sent: to the first of each group,
//! which forwards it to the others.

use std::{cmp::Reverse, net::SocketAddr};

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
    /// time. Relays are the instances with the fastest links of their zone, so that there may be fewer
    /// groups. In the order of `members`, which should be random, so that different instances relay
    /// each time. Among equally fast ones, those heard last are least likely to have ended; none
    /// relays that is leaving, if there is another one.
    #[must_use]
    pub fn groups(mut members: Vec<&Member>, duration_us: u64) -> Vec<Self> {
        let direct_us = duration_us.saturating_mul(members.len() as u64);
        let size = if direct_us <= MAX_DIRECT_US && members.len() <= MAX_DIRECT {
            1
        } else {
            members.len().isqrt().max(1)
        };
        if size == 1 {
            return members.into_iter().map(Self::of_one).collect();
        }
        members.sort_by(|a, b| a.zone.cmp(&b.zone));
        let zones = members.chunk_by(|a, b| a.zone == b.zone);
        zones.flat_map(|zone| Self::of_zone(zone, size)).collect()
    }

    fn of_one(member: &Member) -> Self {
        Self {
            relay: member.peer_addr,
            others: Vec::new(),
        }
    }

    /// Divides the members of one zone into groups of about `size`, or larger ones if only a few have
    /// the fastest links.
    fn of_zone(zone: &[&Member], size: usize) -> Vec<Self> {
        let speed = |m: &Member| (m.presence != Presence::Leaving, m.link_mbps.max(1).ilog2());
        let mut ranked = zone.to_vec();
        ranked.sort_by_key(|m| Reverse((speed(m), m.last_heard)));
        let fastest = ranked.first().map(|m| speed(m));
        let is_fast = |m: &&&Member| Some(speed(m)) == fastest;
        let fast = ranked.iter().take_while(is_fast).count();
        let count = zone.len().div_ceil(size).min(fast);
        let others = ranked.split_off(count);
        let mut groups: Vec<Self> = ranked.into_iter().map(Self::of_one).collect();
        for (member, index) in others.into_iter().zip((0..count).cycle()) {
            groups[index].others.push(member.peer_addr);
        }
        groups
    }
}

#[cfg(test)]
mod tests;
