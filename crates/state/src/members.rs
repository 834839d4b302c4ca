//! Merges polls of the instance list with what this instance sees itself. Neither is trusted alone:
//! the list lags, flaps and may be empty, and own sightings concern only what was called.

mod entry;
mod instance_view;
mod presence;
mod sighting;
mod target_entry;
mod view;

use std::{collections::BTreeMap, sync::Arc};

use model::{InstanceId, TargetId, Time};
use wire::{EntryKind, EntryState, Fact, ListAnswer, ListEntry};

use self::entry::Entry;
pub use self::{
    instance_view::InstanceView, presence::Presence, sighting::Sighting, target_entry::TargetEntry,
    view::MembersView,
};

/// Silence after which an instance or target receives no new work.
pub(crate) const SILENT_MS: u64 = 3_000;
/// Time for which an entry that is missing from the list stays in use after it last responded.
const PROOF_MS: u64 = 30_000;
/// Time for which an entry may be missing before that is believed, so that flapping lists do not
/// move the targets of idle services back and forth.
const FLAP_MS: u64 = 3_000;
/// Time after which an entry that is gone is forgotten. Until then its leaving is remembered, in
/// case the list shows it as live again.
const FORGET_MS: u64 = 600_000;
/// Time for which answers with a lower version are ignored as outdated. A list that starts anew
/// counts from 1 and has to be believed at some time.
const OUTDATED_MS: u64 = 10_000;
/// Entries kept: four times the 730 targets and 16 instances of the largest deployment.
const MAX_ENTRIES: usize = 3_000;

/// Membership as one instance knows it.
#[derive(Debug)]
pub struct Members {
    me: InstanceId,
    entries: BTreeMap<String, Entry>,
    /// Version, length and time of the last answer that was believed.
    version: u64,
    highest: u64,
    good_len: usize,
    listed_at: Option<Time>,
    view: Arc<MembersView>,
}

impl Members {
    /// Membership with only this instance, as it registers itself.
    #[must_use]
    pub fn new(me: &ListEntry, now: Time) -> Self {
        let own = Entry::new(me.clone(), now);
        Self {
            me: InstanceId::new(&me.id),
            entries: BTreeMap::from([(me.id.clone(), own)]),
            version: 0,
            highest: 0,
            good_len: 0,
            listed_at: None,
            view: Arc::default(),
        }
    }

    /// Takes an answer of the list. Returns whether entries that it lacks count as missing.
    pub fn poll(&mut self, now: Time, answer: &ListAnswer) -> bool {
        let age_us = self.listed_at.map(|t| now.since_us(t));
        let is_recent = age_us.is_some_and(|us| us < OUTDATED_MS * 1_000);
        if answer.version < self.version && is_recent {
            return false;
        }
        let complete = self.is_plausible(now, answer);
        for entry in self.entries.values_mut() {
            entry.listed_now = false;
        }
        for item in &answer.entries {
            self.take_item(now, item);
        }
        self.version = answer.version;
        self.highest = self.highest.max(answer.version);
        self.listed_at = Some(now);
        if complete {
            self.good_len = answer.entries.len();
        }
        for entry in self.entries.values_mut() {
            if entry.listed_now {
                entry.missing_since = None;
            } else if complete {
                entry.missing_since.get_or_insert(now);
            }
        }
        self.forget(now);
        complete
    }

    /// Whether the list was read since this instance started.
    #[must_use]
    pub const fn is_listed(&self) -> bool {
        self.listed_at.is_some()
    }

    /// Takes what this instance saw itself or heard from a peer.
    pub fn see(&mut self, now: Time, sighting: &Sighting) {
        match sighting {
            Sighting::Heard {
                instance,
                incarnation,
                leaving,
            } => {
                let entry = self.of_kind(instance.as_str(), EntryKind::Entry);
                let Some(entry) = entry.filter(|e| *incarnation >= e.item.incarnation) else {
                    return;
                };
                entry.renew(*incarnation, now);
                entry.answered(now);
                entry.left |= leaving;
            }
            Sighting::Answered { target } => {
                if let Some(entry) = self.of_kind(target.as_str(), EntryKind::Upstream) {
                    entry.answered(now);
                }
            }
            Sighting::Failed { target } => {
                if let Some(entry) = self.of_kind(target.as_str(), EntryKind::Upstream) {
                    entry.failed(now);
                }
            }
            Sighting::Fact(fact) => self.take_fact(now, fact),
        }
    }

    /// The current view. Its version rises whenever anything in it changes.
    pub fn view(&mut self, now: Time) -> Arc<MembersView> {
        if !self.is_current(now) {
            self.view = Arc::new(self.make_view(now));
        }
        Arc::clone(&self.view)
    }

    fn make_view(&self, now: Time) -> MembersView {
        let mut next = MembersView {
            version: self.view.version + 1,
            listed: self.highest,
            ..MembersView::default()
        };
        for (id, entry) in &self.entries {
            let Some(presence) = self.presence(now, id, entry) else {
                continue;
            };
            match entry.item.kind {
                EntryKind::Entry => next
                    .instances
                    .push(InstanceView::new(&entry.item, presence)),
                EntryKind::Upstream => {
                    let listed = entry.missing_since.is_none();
                    next.targets
                        .extend(TargetEntry::new(&entry.item, presence, listed));
                }
            }
        }
        next
    }

    /// Whether the last view still holds. The control thread asks about 30 times a second, so entries
    /// are compared in place instead of being copied into a view to compare.
    fn is_current(&self, now: Time) -> bool {
        let mut instances = self.view.instances.iter();
        let mut targets = self.view.targets.iter();
        for (id, entry) in &self.entries {
            let Some(presence) = self.presence(now, id, entry) else {
                continue;
            };
            let same = match entry.item.kind {
                EntryKind::Entry => instances
                    .next()
                    .is_some_and(|i| i.shows(&entry.item, presence)),
                EntryKind::Upstream if !TargetEntry::is_complete(&entry.item) => true,
                EntryKind::Upstream => {
                    let listed = entry.missing_since.is_none();
                    targets
                        .next()
                        .is_some_and(|t| t.shows(&entry.item, presence, listed))
                }
            };
            if !same {
                return false;
            }
        }
        let whole = instances.next().is_none() && targets.next().is_none();
        whole && self.view.listed == self.highest
    }

    /// An answer with fewer than half of the entries of the last good one is not believed while
    /// an entry that it lacks responds.
    fn is_plausible(&self, now: Time, answer: &ListAnswer) -> bool {
        if answer.entries.len() * 2 >= self.good_len {
            return true;
        }
        let has = |id: &str| answer.entries.iter().any(|e| e.id == id);
        let responds =
            |e: &Entry| e.seen.is_some_and(|t| now.since_us(t) < SILENT_MS * 1_000) && !e.left;
        let mut others = self
            .entries
            .iter()
            .filter(|(id, _)| **id != *self.me.as_str());
        !others.any(|(id, e)| e.missing_since.is_none() && responds(e) && !has(id))
    }

    fn take_item(&mut self, now: Time, item: &ListEntry) {
        if let Some(entry) = self.entries.get_mut(&item.id) {
            return entry.take_item(item, now);
        }
        if self.entries.len() >= MAX_ENTRIES {
            return;
        }
        let mut entry = Entry::new(item.clone(), now);
        entry.listed_now = true;
        self.entries.insert(item.id.clone(), entry);
    }

    fn take_fact(&mut self, now: Time, fact: &Fact) {
        let Fact::Draining {
            target,
            incarnation,
        } = fact
        else {
            return;
        };
        let entry = self.of_kind(target.as_str(), EntryKind::Upstream);
        if let Some(entry) = entry.filter(|e| *incarnation >= e.item.incarnation) {
            // The fact may be ahead of the list.
            entry.renew(*incarnation, now);
            entry.left = true;
        }
    }

    fn of_kind(&mut self, id: &str, kind: EntryKind) -> Option<&mut Entry> {
        self.entries.get_mut(id).filter(|e| e.item.kind == kind)
    }

    /// Whether the entry may receive work; `None` if it is gone.
    fn presence(&self, now: Time, id: &str, entry: &Entry) -> Option<Presence> {
        let is_me = id == self.me.as_str();
        if entry.is_gone(now) && !is_me {
            return None;
        }
        if entry.left || entry.item.state == EntryState::Leaving {
            return Some(Presence::Leaving);
        }
        let silent = match entry.item.kind {
            EntryKind::Entry => !is_me && entry.is_unheard(now),
            EntryKind::Upstream => entry.is_failing(now),
        };
        Some(if silent {
            Presence::Silent
        } else {
            Presence::Usable
        })
    }

    fn forget(&mut self, now: Time) {
        let me = &self.me;
        self.entries.retain(|id, entry| {
            let missing = entry.missing_since;
            let old = missing.is_some_and(|t| now.since_us(t) > FORGET_MS * 1_000);
            !old || !entry.is_gone(now) || id == me.as_str()
        });
    }
}

/// Targets that are silent, which the caller of this crate has to try to reach.
impl MembersView {
    /// Ids of the targets that were silent when the view was made.
    pub fn silent_targets(&self) -> impl Iterator<Item = &TargetId> {
        let silent = self
            .targets
            .iter()
            .filter(|t| t.presence == Presence::Silent);
        silent.map(|t| &t.id)
    }
}

#[cfg(test)]
mod tests;
