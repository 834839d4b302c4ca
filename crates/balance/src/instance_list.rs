//! The list of instances in the store, through which groups of instances find each other that have no
//! seed and no member in common.
//!
//! In each group, the first instance by rank of the collectors writes itself into the list and reads it. The
//! others do neither, so that the calls to the store do not grow with the number of instances.

use std::{collections::BTreeMap, net::SocketAddr};

use model::Time;

/// Time between two reads of the list, in microseconds.
const READ_INTERVAL_US: u64 = 3_000_000;
/// Time between two announcements, in microseconds.
const ANNOUNCE_INTERVAL_US: u64 = 10_000_000;
/// Time after which an entry that was not written again is that of an instance that has ended, in
/// microseconds: three announcements.
const ENTRY_AGE_US: u64 = 30_000_000;

/// A call to the store that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListCall {
    /// This instance writes its entry.
    Announce,
    /// This instance reads the entries of others.
    Read,
}

/// What this instance has written to the list and read from it.
#[derive(Clone, Debug, Default)]
pub struct InstanceList {
    /// Era of the store that holds the entry of this instance, and when it was written.
    announced: Option<(u64, Time)>,
    read_at: Option<Time>,
    /// Offset of each entry, and when it was first read.
    entries: BTreeMap<SocketAddr, (u64, Time)>,
}

impl InstanceList {
    /// Returns the call that is due. `is_first` states whether this instance ranks first among the
    /// collectors that it knows, and `era` is the latest known era of the store, which may have lost the
    /// entry when it rose.
    pub fn due(&mut self, now: Time, is_first: bool, era: Option<u64>) -> Option<ListCall> {
        if !is_first {
            (self.announced, self.read_at) = (None, None);
            return None;
        }
        let is_current = |(known, at): (u64, Time)| {
            era.is_none_or(|era| era <= known) && now.since_us(at) < ANNOUNCE_INTERVAL_US
        };
        if !self.announced.is_some_and(is_current) {
            return Some(ListCall::Announce);
        }
        let is_recent = |at| now.since_us(at) < READ_INTERVAL_US;
        (!self.read_at.is_some_and(is_recent)).then_some(ListCall::Read)
    }

    /// Records that this instance has written its entry in `era`.
    pub fn record_announced(&mut self, era: u64, now: Time) {
        self.announced = Some((era, now));
    }

    /// Records the entries, as addresses and offsets. Returns the addresses of instances that may live.
    pub fn record_entries(
        &mut self,
        entries: impl IntoIterator<Item = (SocketAddr, u64)>,
        now: Time,
    ) -> Vec<SocketAddr> {
        self.read_at = Some(now);
        let known = std::mem::take(&mut self.entries);
        for (addr, offset) in entries {
            let is_same = |(known, _): &&(u64, Time)| *known == offset;
            let first_read = known.get(&addr).filter(is_same).map_or(now, |(_, at)| *at);
            self.entries.insert(addr, (offset, first_read));
        }
        let is_recent = |at: Time| now.since_us(at) < ENTRY_AGE_US;
        let recent = self.entries.iter().filter(|(_, (_, at))| is_recent(*at));
        recent.map(|(addr, _)| *addr).collect()
    }
}

#[cfg(test)]
mod tests;
