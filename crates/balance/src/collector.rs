//! What a collector knows: from which instances it has reports, and what it is still to tell of them.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use model::Time;

use crate::{LiveView, Member, Members};

/// Report intervals without a report after which an instance counts as silent.
const SILENT_INTERVALS: u64 = 4;
/// Report intervals without a digest of its own after which a collector counts as paused. It then
/// knows nothing of instances that have ended meanwhile.
const PAUSED_INTERVALS: u64 = 4;
/// Report intervals for which a collector sends no view after such a pause. The others send it reports
/// again once they have its first digest, which takes up to one interval.
const QUIET_INTERVALS: u64 = 2;
/// Digests that carry a changed description. The other collectors send it as well, and an instance
/// that misses all of them notices that its roster differs.
const NEWS_REPEATS: u8 = 2;
/// Time for which an instance remains a collector after others have come before it, in microseconds,
/// so that those that do not know it yet are heard.
const HANDOVER_US: u64 = 2_000_000;

/// Reports that an instance has received as a collector.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    /// Latest report of each instance.
    heard: HashMap<SocketAddr, Time>,
    /// Changed descriptions, with the digests that are still to carry them.
    news: BTreeMap<SocketAddr, u8>,
    /// Latest time at which this instance was one of the first by rank.
    had_duty: Option<Time>,
    last_tick: Option<Time>,
    /// When this instance went on after a pause, until it sends views again.
    resumed_at: Option<Time>,
}

impl Collector {
    /// Records a report that has arrived at `as_of` or later. `is_change` states that it changes the
    /// description of its sender.
    pub fn record_report(&mut self, from: SocketAddr, is_change: bool, as_of: Time) {
        let heard = self.heard.entry(from).or_insert(as_of);
        *heard = as_of.max(*heard);
        if is_change {
            self.news.insert(from, NEWS_REPEATS);
        }
    }

    /// Returns whether this instance is a collector. `has_duty` states whether it is one of the first
    /// by rank.
    pub fn update_duty(&mut self, has_duty: bool, members: &Members, now: Time) -> bool {
        let is_new = self.had_duty.is_none();
        if has_duty {
            self.had_duty = Some(now);
        } else if self
            .had_duty
            .is_some_and(|at| now.since_us(at) >= HANDOVER_US)
        {
            *self = Self::default();
        }
        if has_duty && is_new {
            // The others send reports here once they know of the duty.
            for member in members.live() {
                self.heard.entry(member.peer_addr).or_insert(now);
            }
        }
        self.had_duty.is_some()
    }

    /// Returns which members this instance has heard from, as of a digest that is sent now. Time in
    /// which the process did not run does not count as silence of the others. After a long pause there
    /// is no view until reports have come in again, and it names only those heard since.
    pub fn view(&mut self, members: &Members, now: Time) -> Option<LiveView> {
        let interval_us = members.interval_ms() * 1_000;
        let gap_us = self.last_tick.map_or(0, |at| now.since_us(at));
        self.last_tick = Some(now);
        if gap_us > PAUSED_INTERVALS * interval_us {
            self.resumed_at = Some(now);
        } else if gap_us > 2 * interval_us {
            for at in self.heard.values_mut() {
                *at = at.plus_us(gap_us - interval_us).min(now);
            }
        }
        if let Some(resumed_at) = self.resumed_at {
            if now.since_us(resumed_at) < QUIET_INTERVALS * interval_us {
                return None;
            }
            self.resumed_at = None;
            self.heard.retain(|_, at| *at >= resumed_at);
        }
        let silent_us = SILENT_INTERVALS * interval_us;
        self.heard.retain(|_, at| now.since_us(*at) < silent_us);
        let own = members.own().peer_addr;
        let is_heard = |m: &Member| m.peer_addr == own || self.heard.contains_key(&m.peer_addr);
        let view = LiveView::new(members.fingerprint(), members.roster().map(is_heard));
        Some(view)
    }

    /// Returns the addresses of instances whose descriptions the next digest carries.
    pub fn take_news(&mut self) -> Vec<SocketAddr> {
        let addrs = self.news.keys().copied().collect();
        self.news.retain(|_, left| {
            *left -= 1;
            *left > 0
        });
        addrs
    }
}

#[cfg(test)]
mod tests;
