//! The instances of the system as this one knows them.

use std::{collections::BTreeMap, net::SocketAddr};

use model::{InstanceId, Time, Zone, rendezvous};

use crate::DutyCandidate;

/// Time between two beats in a small system, in milliseconds. At 16 instances this is 38 datagrams a
/// second each way.
const BEAT_MS: u64 = 400;
/// Instances up to which beats come at that pace. With more, they come more slowly, so that their cost
/// does not grow with the square of the number.
const FEW: usize = 24;
/// Longest time between two beats, in milliseconds.
const MAX_BEAT_MS: u64 = 1_000;
/// Beats without which an instance is not named to callers. Three lost ones in a row are rare, and
/// callers must not be sent to a dead instance for more than 6 s.
const QUIET_BEATS: u64 = 5;
/// Beats that are sent to an address that was only heard of.
const HINT_BEATS: u32 = 3;
/// Most addresses that were only heard of; bounds what a faulty instance can cause.
const MAX_HINTS: usize = 1_024;
/// Time without a word after which an instance is forgotten, in microseconds.
const FORGET_US: u64 = 60_000_000;

/// Whether an instance takes new callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It does.
    Ready,
    /// It has just started and knows too little.
    Starting,
    /// It is about to end.
    Leaving,
}

/// One other instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name.
    pub name: InstanceId,
    /// Number of its process; larger for a later one.
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
    /// When it was last heard of; `None` if it was only read of.
    pub last_heard: Option<Time>,
}

/// All other instances known.
#[derive(Clone, Debug, Default)]
pub struct Members {
    known: BTreeMap<SocketAddr, Member>,
    hints: BTreeMap<SocketAddr, u32>,
}

impl Members {
    /// Takes in what an instance said of itself. Words of an earlier process are ignored.
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

    /// Takes in an instance that was read of, unless it is known already.
    pub fn add_listed(&mut self, member: Member) {
        self.known.entry(member.peer_addr).or_insert(member);
    }

    /// Takes in addresses at which others know instances. They are sent beats a few times, and become
    /// known when they answer with their own.
    pub fn add_reported_addresses(&mut self, addrs: &[SocketAddr], own: SocketAddr) {
        for addr in addrs {
            if *addr != own && !self.known.contains_key(addr) && self.hints.len() < MAX_HINTS {
                self.hints.entry(*addr).or_insert(HINT_BEATS);
            }
        }
    }

    /// Addresses to send a beat to although nothing was heard from there; each counts as one try.
    pub fn addresses_to_try(&mut self) -> Vec<SocketAddr> {
        let known = &self.known;
        self.hints
            .retain(|addr, left| *left > 0 && !known.contains_key(addr));
        self.hints.values_mut().for_each(|left| *left -= 1);
        self.hints.keys().copied().collect()
    }

    /// Forgets instances that were quiet for long. Instances that were only read of stay: they cost
    /// one datagram a beat.
    pub fn sweep(&mut self, now: Time) {
        self.known.retain(|_, m| {
            m.last_heard
                .is_none_or(|heard| now.since_us(heard) < FORGET_US)
        });
    }

    /// All known instances.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.known.values()
    }

    /// Time between two beats, in milliseconds.
    #[must_use]
    pub fn heartbeat_ms(&self) -> u64 {
        (BEAT_MS * self.known.len() as u64 / FEW as u64).clamp(BEAT_MS, MAX_BEAT_MS)
    }

    /// Instances heard of recently.
    pub fn live(&self, now: Time) -> impl Iterator<Item = &Member> {
        let quiet_us = self.heartbeat_ms() * QUIET_BEATS * 1_000;
        let is_live = move |heard| now.since_us(heard) < quiet_us;
        self.known
            .values()
            .filter(move |m| m.last_heard.is_some_and(is_live))
    }

    /// Instances that callers of `zone` may be told of: those of their zone, or all if it has none.
    #[must_use]
    pub fn ready(&self, now: Time) -> Vec<&Member> {
        self.live(now)
            .filter(|m| m.presence == Presence::Ready)
            .collect()
    }

    /// Number of instances that come before `own` for `duty`. The first of each zone come before the
    /// second ones, so that the loss of a zone leaves one of the first few; those without the store come
    /// last.
    #[must_use]
    pub fn duty_rank(&self, duty: &str, own: &DutyCandidate<'_>, now: Time) -> usize {
        let others = self.live(now).filter(|m| m.presence != Presence::Leaving);
        let others = others
            .filter(|m| m.name != *own.name)
            .map(|m| DutyCandidate {
                name: &m.name,
                zone: &m.zone,
                has_store: m.has_store,
            });
        let mut candidates: Vec<(bool, u64, &InstanceId, &Zone)> = others
            .chain([*own])
            .map(|c| {
                (
                    c.has_store,
                    rendezvous(duty, c.name.as_str()),
                    c.name,
                    c.zone,
                )
            })
            .collect();
        candidates.sort_unstable_by(|a, b| b.cmp(a));
        let own = own.name;
        let mut seen: BTreeMap<(bool, &Zone), usize> = BTreeMap::new();
        let mut turns: Vec<((bool, usize), bool)> = Vec::with_capacity(candidates.len());
        for (has_store, _, name, zone) in candidates {
            let turn = seen.entry((has_store, zone)).or_default();
            turns.push(((!has_store, *turn), name == own));
            *turn += 1;
        }
        // Stable: within one turn, the order by weight stays.
        turns.sort_by_key(|(turn, _)| *turn);
        turns.iter().take_while(|(_, is_own)| !is_own).count()
    }

    /// Names of the instances that share work, for rendezvous hashing.
    #[must_use]
    pub fn active_names(&self, now: Time) -> Vec<InstanceId> {
        let live = self.live(now).filter(|m| m.presence != Presence::Leaving);
        live.map(|m| m.name.clone()).collect()
    }
}

#[cfg(test)]
mod tests;
