//! The usage topic as a collector knows it.

use std::{collections::BTreeMap, sync::Arc};

use crate::{
    Position,
    usage::{Claim, SLOTS, UsageListing, UsageRecord},
};

/// Newest records of the topic up to `end`. Appends on condition of this end rest on all of them.
#[derive(Clone, Debug)]
pub(super) struct LogView {
    pub end: Position,
    /// Latest record of the holder with its offset; `None` if there never was one.
    holder: Option<(u64, UsageRecord)>,
    /// Latest record of each slot with its offset.
    slots: BTreeMap<u64, (u64, UsageRecord)>,
}

impl LogView {
    pub fn new(listing: UsageListing) -> Self {
        let mut view = Self {
            end: listing.end,
            holder: None,
            slots: BTreeMap::new(),
        };
        for (offset, record) in listing.records {
            view.insert(offset, record);
        }
        view
    }

    /// Adds the record that was appended at the end.
    pub fn push(&mut self, record: UsageRecord) {
        let offset = self.end.offset;
        self.insert(offset, record);
        self.end.offset += 1;
    }

    /// Whether the record is the newest one of its key and has this offset.
    pub fn has(&self, offset: u64, record: &UsageRecord) -> bool {
        let known = match record {
            UsageRecord::Holder { .. } => self.holder.as_ref(),
            UsageRecord::Window { window, .. } => self.slots.get(&(window % SLOTS)),
        };
        known.is_some_and(|(known_at, known)| *known_at == offset && known == record)
    }

    /// Returns the claim in force. A record from an earlier era may hide a later one.
    pub fn claim(&self) -> Option<&Claim> {
        match self.holder.as_ref()? {
            (_, UsageRecord::Holder { era, claim }) if *era == self.end.era => claim.as_ref(),
            _ => None,
        }
    }

    /// Whether the last holder of this era has given the claim up.
    pub fn is_vacant(&self) -> bool {
        let holder = self.holder.as_ref().map(|(_, record)| record);
        let era = self.end.era;
        holder == Some(&UsageRecord::Holder { era, claim: None })
    }

    /// Whether the window can still be decided: its key holds no such window and no later one.
    pub fn is_open(&self, window: u64) -> bool {
        let known = self.slots.get(&(window % SLOTS)).map(|(_, record)| record);
        !matches!(known, Some(UsageRecord::Window { window: known, .. }) if *known >= window)
    }

    /// Whether the window's key holds neither this window nor a later one for this era.
    pub fn lacks(&self, window: u64) -> bool {
        let slot = window % SLOTS;
        self.windows()
            .all(|(known, _)| known % SLOTS != slot || known < window)
    }

    /// Returns the windows that are decided in this era, with their bodies.
    pub fn windows(&self) -> impl Iterator<Item = (u64, &Arc<str>)> {
        let records = self.slots.values().map(|(_, record)| record);
        records.filter_map(|record| match record {
            UsageRecord::Window { era, window, body } if *era == self.end.era => {
                Some((*window, body))
            }
            _ => None,
        })
    }

    /// Whether a record from `offset` on was written for an earlier era. It may hide one of this era.
    pub fn has_earlier_era_since(&self, offset: u64) -> bool {
        let records = self.slots.values().chain(&self.holder);
        let mut new = records.filter(|(at, _)| *at >= offset);
        new.any(|(_, record)| record.era() < self.end.era)
    }

    fn insert(&mut self, offset: u64, record: UsageRecord) {
        match record {
            UsageRecord::Holder { .. } => self.holder = Some((offset, record)),
            UsageRecord::Window { window, .. } => {
                self.slots.insert(window % SLOTS, (offset, record));
            }
        }
    }
}
