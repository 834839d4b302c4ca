//! Membership: the other instances of the system, which of them live, and which instance has a duty.
//!
//! Every instance sends reports to a few collectors, the first instances by rank for a duty. A
//! collector tells all others from whom it has reports. An instance lives as long as any collector
//! says so. No instance is asked by all others, so that the work of an instance does not grow with
//! their number, except at the collectors.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
};

use model::{InstanceId, Time, Zone, rendezvous};

use crate::{LiveView, Member, Presence};

/// Duty of the collectors, which also follow the operator's records and advance rollouts.
pub const COLLECT: &str = "collect";
/// Number of collectors. They are in different zones, if there are as many.
pub const COLLECTORS: usize = 3;
/// Most instances that are sent reports, while there are different views of who collects.
const MAX_RECEIVERS: usize = 6;
/// Interval of reports and digests in a small system, in milliseconds.
const INTERVAL_MS: u64 = 400;
/// Largest number of instances with that interval. With more it grows, so that a collector gets no
/// more than a thousand reports a second.
const SMALL_SYSTEM: usize = 400;
/// Longest interval of reports, in milliseconds. Callers must not be sent to a dead instance for more
/// than 6 s.
const MAX_INTERVAL_MS: u64 = 800;
/// Report intervals after which the word of a collector that an instance lives is out of date.
const VOUCHED_INTERVALS: u64 = 2;
/// Report intervals without any digest after which the collectors count as ended.
const LOST_INTERVALS: u64 = 3;
/// Report intervals for which a roster may differ from that of a collector before it is fetched. The
/// description that is missing is probably under way.
const DIFFERENT_INTERVALS: u64 = 5;
/// Reports that are sent to an address that only the store or another instance named.
const ADDRESS_TRIES: u32 = 3;
/// Most addresses that are being tried; bounds what a faulty instance can cause.
const MAX_REPORTED: usize = 1_024;
/// Time without a sign of life after which an instance is removed, in microseconds.
const REMOVE_AFTER_US: u64 = 60_000_000;

/// The instances of the system by the address for other instances.
#[derive(Clone, Debug)]
pub struct Members {
    own: Member,
    known: BTreeMap<SocketAddr, Member>,
    /// Sum of the fingerprints of the known instances.
    known_print: u64,
    /// Addresses that were only named, with the reports left to send there.
    reported: BTreeMap<SocketAddr, u32>,
    /// Latest digest of each collector.
    digests: BTreeMap<SocketAddr, Time>,
    /// Since when the roster differs from that of a collector.
    different: BTreeMap<SocketAddr, Time>,
    /// When each instance that should be a collector was first sent a report.
    asked: BTreeMap<SocketAddr, Time>,
    /// Time of the latest word on who lives. Without any, the latest one stays valid.
    view_at: Time,
    swept_at: Time,
}

impl Members {
    /// Returns the members as an instance knows them that has just started.
    #[must_use]
    pub fn new(own: Member) -> Self {
        Self {
            own,
            known: BTreeMap::new(),
            known_print: 0,
            reported: BTreeMap::new(),
            digests: BTreeMap::new(),
            different: BTreeMap::new(),
            asked: BTreeMap::new(),
            view_at: Time::default(),
            swept_at: Time::default(),
        }
    }

    /// Returns the description of this instance.
    #[must_use]
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Updates the description of this instance. Returns whether it changed.
    pub fn update_own(&mut self, presence: Presence, has_store: bool, has_targets: bool) -> bool {
        let own = &mut self.own;
        if (presence, has_store, has_targets) == (own.presence, own.has_store, own.has_targets) {
            return false;
        }
        own.presence = presence;
        own.has_store = has_store;
        own.has_targets = has_targets;
        self.own.revision += 1;
        true
    }

    /// Records that an instance was heard from at `as_of` or later, with its description. Returns
    /// whether it was not known to live, or has changed.
    pub fn record_heard(&mut self, member: Member, as_of: Time) -> bool {
        let was_live = self
            .known
            .get(&member.peer_addr)
            .is_some_and(|k| self.is_live(k));
        let addr = member.peer_addr;
        self.asked.remove(&addr);
        let is_newer = self.record_named(member, as_of);
        if let Some(known) = self.known.get_mut(&addr) {
            known.last_heard = known.last_heard.max(Some(as_of));
        }
        is_newer || !was_live
    }

    /// Records the description of an instance that was known to live at `as_of`. Returns whether it
    /// is a later one than the known one.
    pub fn record_named(&mut self, mut member: Member, as_of: Time) -> bool {
        let addr = member.peer_addr;
        if addr == self.own.peer_addr {
            return false;
        }
        self.reported.remove(&addr);
        let known = self.known.get(&addr);
        if known.is_some_and(|known| !member.is_newer_than(known)) {
            return false;
        }
        // A later process is a sign of life, also if the earlier one was heard later.
        member.last_heard = known.and_then(|k| k.last_heard).max(Some(as_of));
        self.known_print = self.known_print.wrapping_add(member.fingerprint());
        if let Some(earlier) = self.known.insert(addr, member) {
            self.known_print = self.known_print.wrapping_sub(earlier.fingerprint());
        }
        true
    }

    /// Adds peer addresses that the store or another instance named. Each is sent a few reports and
    /// becomes a member when it answers.
    pub fn add_addresses(&mut self, addrs: impl IntoIterator<Item = SocketAddr>) {
        for addr in addrs {
            let is_new = addr != self.own.peer_addr && !self.known.contains_key(&addr);
            if is_new && self.reported.len() < MAX_REPORTED {
                self.reported.entry(addr).or_insert(ADDRESS_TRIES);
            }
        }
    }

    /// Returns the named addresses to send a report to, and counts one try for each.
    pub fn addresses_to_try(&mut self) -> Vec<SocketAddr> {
        self.reported.retain(|_, left| *left > 0);
        self.reported.values_mut().for_each(|left| *left -= 1);
        self.reported.keys().copied().collect()
    }

    /// Records the view of the collector `from` on who lives. Returns whether it is about the roster
    /// that is known here.
    pub fn record_view(&mut self, from: SocketAddr, view: &LiveView, now: Time) -> bool {
        self.record_view_as_of(from, view, now, now)
    }

    /// The same for a view that may have waited in the socket since `as_of`. What it says holds as of
    /// then: an instance that was paused reads views that name instances that have ended meanwhile.
    pub fn record_view_as_of(
        &mut self,
        from: SocketAddr,
        view: &LiveView,
        as_of: Time,
        now: Time,
    ) -> bool {
        if from != self.own.peer_addr {
            self.digests.insert(from, now);
            self.asked.remove(&from);
        }
        if self.fingerprint() != view.roster {
            self.different.entry(from).or_insert(now);
            return false;
        }
        self.different.remove(&from);
        self.view_at = self.view_at.max(as_of);
        let own = self.own.peer_addr;
        let before_own = self.known.range(..own).count();
        for (index, member) in self.known.values_mut().enumerate() {
            let index = index + usize::from(index >= before_own);
            if view.is_live(index) {
                member.last_heard = member.last_heard.max(Some(as_of));
            }
        }
        true
    }

    /// Replaces the roster by that of a collector. `listed` has each description with the time as of
    /// which the instance was known to live. Instances that are not listed stay only if they were
    /// heard from at `recent` or later.
    pub fn replace_roster(
        &mut self,
        from: SocketAddr,
        listed: Vec<(Member, Option<Time>)>,
        recent: Time,
    ) {
        let addrs: HashSet<SocketAddr> = listed.iter().map(|(m, _)| m.peer_addr).collect();
        self.retain(|m| addrs.contains(&m.peer_addr) || m.last_heard >= Some(recent));
        for (member, as_of) in listed {
            self.record_named(member, as_of.unwrap_or_default());
        }
        self.different.remove(&from);
    }

    /// Returns the collector whose roster is to be fetched, because this one has differed from it for
    /// some time. `is_collector` states whether this instance is one itself; it must not mislead the
    /// others for long.
    #[must_use]
    pub fn roster_source(&self, is_collector: bool, now: Time) -> Option<SocketAddr> {
        let intervals = if is_collector { 2 } else { DIFFERENT_INTERVALS };
        let limit_us = intervals * self.interval_ms() * 1_000;
        let is_due = |(_, since): &(&SocketAddr, &Time)| now.since_us(**since) >= limit_us;
        let is_current = |addr: &SocketAddr| {
            let at = self.digests.get(addr);
            at.is_some_and(|at| now.since_us(*at) < limit_us)
        };
        let due = self.different.iter().filter(is_due);
        due.map(|(addr, _)| *addr).find(is_current)
    }

    /// Records that the roster of `from` is being fetched, or could not be.
    pub fn defer_roster(&mut self, from: SocketAddr, now: Time) {
        self.different.insert(from, now);
    }

    /// Removes instances that have shown no sign of life for a minute, and finds collectors that have
    /// ended: without any digest, those that were sent reports for some time count as dead. Time in
    /// which this process did not run does not count.
    pub fn sweep(&mut self, now: Time) {
        let interval_us = self.interval_ms() * 1_000;
        let has_paused = now.since_us(self.swept_at) > 2 * interval_us;
        self.swept_at = now;
        if has_paused {
            self.asked.clear();
            return;
        }
        let is_recent = |at| now.since_us(at) < REMOVE_AFTER_US;
        self.retain(|m| m.last_heard.is_some_and(is_recent));
        let known = &self.known;
        self.different.retain(|addr, _| known.contains_key(addr));
        self.digests
            .retain(|_, at| now.since_us(*at) < LOST_INTERVALS * interval_us);
        if self.digests.is_empty() {
            self.drop_lost_collectors(now);
        }
    }

    fn retain(&mut self, keep: impl Fn(&Member) -> bool) {
        let print = &mut self.known_print;
        self.known.retain(|_, m| {
            let stays = keep(m);
            if !stays {
                *print = print.wrapping_sub(m.fingerprint());
            }
            stays
        });
    }

    /// Returns a number that differs, with near certainty, between two rosters.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        self.known_print.wrapping_add(self.own.fingerprint())
    }

    /// Counts the instances as dead that were sent reports for some time.
    fn drop_lost_collectors(&mut self, now: Time) {
        let limit_us = LOST_INTERVALS * self.interval_ms() * 1_000;
        let is_lost = |at: Time| now.since_us(at) >= limit_us;
        let lost: Vec<SocketAddr> = self
            .asked
            .extract_if(.., |_, at| is_lost(*at))
            .map(|(addr, _)| addr)
            .collect();
        if self.view_at == Time::default() {
            let latest = self.known.values().filter_map(|m| m.last_heard).max();
            self.view_at = latest.unwrap_or_default();
        }
        let dead_at = Time(self.view_at.0.saturating_sub(self.vouched_us()));
        for addr in lost {
            if let Some(member) = self.known.get_mut(&addr) {
                member.last_heard = Some(dead_at);
            }
        }
    }

    /// Returns the instances to send reports to: the first ones by rank, and those that act as
    /// collectors.
    pub fn receivers(&mut self, now: Time) -> Vec<SocketAddr> {
        let own = self.own.peer_addr;
        let has_digests = !self.digests.is_empty();
        // Several of the next ones may have ended as well.
        let count = if has_digests || self.view_at == Time::default() {
            COLLECTORS
        } else {
            MAX_RECEIVERS
        };
        let ranked = self.ranked(COLLECT);
        let first = ranked.iter().take(count).map(|m| m.peer_addr);
        let mut addrs: Vec<SocketAddr> = first.filter(|addr| *addr != own).collect();
        for addr in &addrs {
            self.asked.entry(*addr).or_insert(now);
        }
        for addr in self.digests.keys() {
            if addrs.len() < MAX_RECEIVERS && !addrs.contains(addr) {
                addrs.push(*addr);
            }
        }
        self.asked.retain(|addr, _| addrs.contains(addr));
        addrs
    }

    /// Returns the collectors that this instance knows.
    #[must_use]
    pub fn collectors(&self) -> Vec<&Member> {
        let mut ranked = self.ranked(COLLECT);
        ranked.truncate(COLLECTORS);
        ranked
    }

    /// Returns all other known instances.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.known.values()
    }

    /// Returns another instance by its address.
    #[must_use]
    pub fn get(&self, addr: SocketAddr) -> Option<&Member> {
        self.known.get(&addr)
    }

    /// Returns all known instances, this one included, in the order of their addresses.
    pub fn roster(&self) -> impl Iterator<Item = &Member> {
        let own = self.own.peer_addr;
        let before = self.known.range(..own).map(|(_, m)| m);
        let after = self.known.range(own..).map(|(_, m)| m);
        before.chain([&self.own]).chain(after)
    }

    /// Returns the time as of which a datagram counts that is read `now` and may have waited in the
    /// socket from `since`. Only a pause of this process, or of the network, makes that differ by more
    /// than the intervals for which the word of a collector is valid.
    #[must_use]
    pub fn arrived_at(&self, since: Time, now: Time) -> Time {
        if now.since_us(since) > self.vouched_us() {
            since
        } else {
            now
        }
    }

    /// Returns the interval of reports and digests, in milliseconds.
    #[must_use]
    pub fn interval_ms(&self) -> u64 {
        (INTERVAL_MS * self.known.len() as u64 / SMALL_SYSTEM as u64)
            .clamp(INTERVAL_MS, MAX_INTERVAL_MS)
    }

    fn vouched_us(&self) -> u64 {
        VOUCHED_INTERVALS * self.interval_ms() * 1_000
    }

    fn is_live(&self, member: &Member) -> bool {
        let vouched_us = self.vouched_us();
        member
            .last_heard
            .is_some_and(|at| self.view_at.since_us(at) < vouched_us)
    }

    /// Returns the other instances that live, by the latest word of the collectors.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.known.values().filter(|m| self.is_live(m))
    }

    /// Returns the other known instances that do not live.
    pub fn dead(&self) -> impl Iterator<Item = &Member> {
        self.known.values().filter(|m| !self.is_live(m))
    }

    /// Returns the live instances that take new callers, over all zones.
    #[must_use]
    pub fn ready(&self) -> Vec<&Member> {
        self.live()
            .filter(|m| m.presence == Presence::Ready)
            .collect()
    }

    /// Returns the live instances that are not leaving, this one included, in the order of their rank
    /// for `duty`. The fitter ones come first ([`DutyCandidate::fitness`](crate::DutyCandidate::fitness)). Among equally fit ones, the
    /// first instance of each zone ranks before the second one of any zone, so that the loss of a zone
    /// leaves one of the first few instances.
    #[must_use]
    pub fn ranked(&self, duty: &str) -> Vec<&Member> {
        let others = self.live().filter(|m| m.presence != Presence::Leaving);
        let mut candidates: Vec<((bool, u32), u64, &Member)> = others
            .chain([&self.own])
            .map(|m| {
                let hash = rendezvous(duty, m.name.as_str());
                (m.candidate().fitness(), hash, m)
            })
            .collect();
        candidates.sort_unstable_by_key(|(fitness, hash, m)| Reverse((*fitness, *hash, &m.name)));
        let mut zone_counts: BTreeMap<((bool, u32), &Zone), usize> = BTreeMap::new();
        let mut ranked = Vec::with_capacity(candidates.len());
        for (fitness, _, member) in candidates {
            let zone_rank = zone_counts.entry((fitness, &member.zone)).or_default();
            ranked.push((Reverse(fitness), *zone_rank, member));
            *zone_rank += 1;
        }
        // The sort is stable: instances of the same rank within their zones stay ordered by hash.
        ranked.sort_by_key(|(fitness, zone_rank, _)| (*fitness, *zone_rank));
        ranked.into_iter().map(|(_, _, member)| member).collect()
    }

    /// Returns the number of live instances that rank before this one for `duty`.
    #[must_use]
    pub fn duty_rank(&self, duty: &str) -> usize {
        let own = self.own.peer_addr;
        let ranked = self.ranked(duty);
        ranked.iter().take_while(|m| m.peer_addr != own).count()
    }

    /// Returns the names of the live instances that are not leaving, for rendezvous hashing.
    #[must_use]
    pub fn active_names(&self) -> Vec<InstanceId> {
        let live = self.live().filter(|m| m.presence != Presence::Leaving);
        live.map(|m| m.name.clone()).collect()
    }
}

#[cfg(test)]
mod tests;
