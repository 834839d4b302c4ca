//! Membership: the other instances of the system, their state, and which instance has a duty.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr};

use model::{InstanceId, Time, Zone, rendezvous};

use crate::DutyCandidate;

/// Interval of heartbeats in a small system, in milliseconds. With 16 instances, each one sends and
/// receives 38 datagrams a second.
const HEARTBEAT_MS: u64 = 400;
/// Largest number of instances at which heartbeats are sent every [`HEARTBEAT_MS`]. With more, the
/// interval grows, so that the number of datagrams does not grow with the square of the instances.
const SMALL_SYSTEM: usize = 24;
/// Longest interval of heartbeats, in milliseconds.
const MAX_HEARTBEAT_MS: u64 = 1_000;
/// Heartbeat intervals without a heartbeat after which an instance counts as dead. Three lost
/// datagrams in a row are rare, and callers must not be sent to a dead instance for more than 6 s.
const DEAD_INTERVALS: u64 = 5;
/// Heartbeats that are sent to an address that only other instances reported.
const ADDRESS_TRIES: u32 = 3;
/// Most addresses that are being tried; bounds what a faulty instance can cause.
const MAX_REPORTED: usize = 1_024;
/// Time without a heartbeat after which an instance is removed, in microseconds.
const REMOVE_AFTER_US: u64 = 60_000_000;

/// States whether an instance takes new callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The instance takes new callers.
    Ready,
    /// The instance has just started and does not know enough of the system yet.
    Starting,
    /// The instance is shutting down.
    Leaving,
}

/// One other instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the instance.
    pub name: InstanceId,
    /// Number of its process. A later process of the instance has a larger one.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: Zone,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address for other instances.
    pub peer_addr: SocketAddr,
    /// Whether it takes callers.
    pub presence: Presence,
    /// Whether its latest call to the store succeeded.
    pub has_store: bool,
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbps: u32,
    /// Time of its latest heartbeat; `None` if it is only known from the list of instances in the
    /// store.
    pub last_heard: Option<Time>,
}

/// The other instances by peer address.
#[derive(Clone, Debug, Default)]
pub struct Members {
    known: BTreeMap<SocketAddr, Member>,
    /// Addresses that only other instances reported, with the heartbeats left to send there.
    reported: BTreeMap<SocketAddr, u32>,
}

impl Members {
    /// Records what an instance reported of itself. Ignores reports of an earlier process.
    pub fn record_report(&mut self, member: Member) {
        if self
            .known
            .get(&member.peer_addr)
            .is_some_and(|k| k.incarnation > member.incarnation)
        {
            return;
        }
        self.known.insert(member.peer_addr, member);
    }

    /// Adds an instance from the list in the store, unless its address is known already.
    pub fn add_listed(&mut self, member: Member) {
        self.known.entry(member.peer_addr).or_insert(member);
    }

    /// Adds peer addresses that another instance reported. Each is sent a few heartbeats and
    /// becomes a member when it sends one itself.
    pub fn add_reported_addresses(&mut self, addrs: &[SocketAddr], own: SocketAddr) {
        for addr in addrs {
            if *addr != own && !self.known.contains_key(addr) && self.reported.len() < MAX_REPORTED
            {
                self.reported.entry(*addr).or_insert(ADDRESS_TRIES);
            }
        }
    }

    /// Returns the reported addresses to send a heartbeat to, and counts one try for each.
    pub fn addresses_to_try(&mut self) -> Vec<SocketAddr> {
        let known = &self.known;
        self.reported
            .retain(|addr, left| *left > 0 && !known.contains_key(addr));
        self.reported.values_mut().for_each(|left| *left -= 1);
        self.reported.keys().copied().collect()
    }

    /// Removes instances that have sent no heartbeat for a minute. Those that are only known from
    /// the store stay, and cost one datagram per heartbeat.
    pub fn sweep(&mut self, now: Time) {
        self.known.retain(|_, m| {
            m.last_heard
                .is_none_or(|at| now.since_us(at) < REMOVE_AFTER_US)
        });
    }

    /// Returns all known instances.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.known.values()
    }

    /// Returns the interval of heartbeats, in milliseconds.
    #[must_use]
    pub fn heartbeat_ms(&self) -> u64 {
        (HEARTBEAT_MS * self.known.len() as u64 / SMALL_SYSTEM as u64)
            .clamp(HEARTBEAT_MS, MAX_HEARTBEAT_MS)
    }

    /// Returns the instances that sent a heartbeat within the last few heartbeat intervals.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Member> {
        let dead_after_us = self.heartbeat_ms() * DEAD_INTERVALS * 1_000;
        let is_live = move |last_heard| now.since_us(last_heard) < dead_after_us;
        self.known
            .values()
            .filter(move |m| m.last_heard.is_some_and(is_live))
    }

    /// Returns the live instances that take new callers, over all zones.
    #[must_use]
    pub fn ready(&self, now: Time) -> Vec<&Member> {
        self.live(now)
            .filter(|m| m.presence == Presence::Ready)
            .collect()
    }

    /// Returns the number of live instances that rank before `own` for `duty`. The fitter
    /// ones come first ([`DutyCandidate::fitness`]). Among equally fit ones, the first instance of each zone ranks
    /// before the second one of any zone, so that the loss of a zone leaves one of the first few
    /// instances.
    #[must_use]
    pub fn duty_rank(&self, duty: &str, own: &DutyCandidate<'_>, now: Time) -> usize {
        let others = self.live(now).filter(|m| m.presence != Presence::Leaving);
        let others = others
            .filter(|m| m.name != *own.name)
            .map(|m| DutyCandidate {
                name: &m.name,
                zone: &m.zone,
                has_store: m.has_store,
                link_mbps: m.link_mbps,
            });
        let mut candidates: Vec<((bool, u32), u64, &InstanceId, &Zone)> = others
            .chain([*own])
            .map(|c| {
                (
                    c.fitness(),
                    rendezvous(duty, c.name.as_str()),
                    c.name,
                    c.zone,
                )
            })
            .collect();
        candidates.sort_unstable_by(|a, b| b.cmp(a));
        let own = own.name;
        let mut zone_counts: BTreeMap<((bool, u32), &Zone), usize> = BTreeMap::new();
        let mut ranked = Vec::with_capacity(candidates.len());
        for (fitness, _, name, zone) in candidates {
            let zone_rank = zone_counts.entry((fitness, zone)).or_default();
            ranked.push((Reverse(fitness), *zone_rank, name == own));
            *zone_rank += 1;
        }
        // The sort is stable: instances of the same rank within their zones stay ordered by hash.
        ranked.sort_by_key(|(fitness, zone_rank, _)| (*fitness, *zone_rank));
        ranked.iter().take_while(|(_, _, is_own)| !is_own).count()
    }

    /// Returns the names of the live instances that are not leaving, for rendezvous hashing.
    #[must_use]
    pub fn active_names(&self, now: Time) -> Vec<InstanceId> {
        let live = self.live(now).filter(|m| m.presence != Presence::Leaving);
        live.map(|m| m.name.clone()).collect()
    }
}

#[cfg(test)]
mod tests;
