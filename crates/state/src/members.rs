//! Merges polls of the instance list with this instance's own observations. Neither is sufficient:
//! the list lags, flaps and may be empty, and observations cover only peers and called targets.

mod entry;
mod instance_view;
mod observation;
mod presence;
mod target_entry;
mod view;

use std::{collections::BTreeMap, sync::Arc};

use model::{InstanceId, TargetId, Time};
use wire::{EntryKind, EntryState, Fact, ListAnswer, ListEntry};

use self::entry::Entry;
pub use self::{
    instance_view::InstanceView, observation::Observation, presence::Presence,
    target_entry::TargetEntry, view::MembersView,
};

/// Time without a response after which an instance or target receives no new work.
pub(crate) const SILENT_MS: u64 = 3_000;
/// Time after its last response for which an entry that is missing from the list stays in use.
const RESPONSE_GRACE_MS: u64 = 30_000;
/// Time for which an entry has to be missing from the list before it is dropped, so that a flapping
/// list does not move the targets of idle services back and forth.
const MISSING_GRACE_MS: u64 = 3_000;
/// Time after which a missing entry is deleted. Until then the entry stays marked as leaving, in
/// case an outdated list shows it as live again.
const REMOVE_AFTER_MS: u64 = 600_000;
/// Time after the last accepted answer for which answers with a lower version are ignored as
/// outdated. After that they are accepted, because a restarted list counts from 1 again.
const OUTDATED_LIST_MS: u64 = 10_000;
/// Largest number of entries: four times the 730 targets and 16 instances of the largest
/// deployment.
const MAX_ENTRIES: usize = 3_000;

/// Instances and targets as one instance knows them.
#[derive(Debug)]
pub struct Members {
    me: InstanceId,
    entries: BTreeMap<String, Entry>,
    /// Version of the last accepted answer of the list.
    last_version: u64,
    /// Highest version of all accepted answers.
    highest_version: u64,
    /// Number of entries of the last answer that was taken as complete.
    accepted_len: usize,
    /// Time of the last accepted answer.
    list_read_at: Option<Time>,
    view: Arc<MembersView>,
}

impl Members {
    /// Creates a membership that contains only this instance, with the entry that it registers.
    #[must_use]
    pub fn new(me: &ListEntry, now: Time) -> Self {
        let own = Entry::new(me.clone(), now);
        Self {
            me: InstanceId::new(&me.id),
            entries: BTreeMap::from([(me.id.clone(), own)]),
            last_version: 0,
            highest_version: 0,
            accepted_len: 0,
            list_read_at: None,
            view: Arc::default(),
        }
    }

    /// Applies an answer of the list. Returns whether the answer is taken as complete, so that the
    /// entries that it lacks are treated as missing.
    pub fn apply_list(&mut self, now: Time, answer: &ListAnswer) -> bool {
        let age_us = self.list_read_at.map(|t| now.since_us(t));
        let is_recent = age_us.is_some_and(|us| us < OUTDATED_LIST_MS * 1_000);
        if answer.version < self.last_version && is_recent {
            return false;
        }
        let complete = self.is_plausible(now, answer);
        for entry in self.entries.values_mut() {
            entry.in_list = false;
        }
        for item in &answer.entries {
            self.apply_item(now, item);
        }
        self.last_version = answer.version;
        self.highest_version = self.highest_version.max(answer.version);
        self.list_read_at = Some(now);
        if complete {
            self.accepted_len = answer.entries.len();
        }
        for entry in self.entries.values_mut() {
            if entry.in_list {
                entry.missing_since = None;
            } else if complete {
                entry.missing_since.get_or_insert(now);
            }
        }
        self.remove_old(now);
        complete
    }

    /// Returns whether the list was read since this instance started.
    #[must_use]
    pub const fn has_list(&self) -> bool {
        self.list_read_at.is_some()
    }

    /// Applies an observation of this instance or a fact from a peer.
    pub fn observe(&mut self, now: Time, observation: &Observation) {
        match observation {
            Observation::FrameReceived {
                instance,
                incarnation,
                leaving,
            } => {
                let entry = self.entry_mut(instance.as_str(), EntryKind::Entry);
                let Some(entry) = entry.filter(|e| *incarnation >= e.item.incarnation) else {
                    return;
                };
                entry.replace_process(*incarnation, now);
                entry.record_response(now);
                entry.leaving |= leaving;
            }
            Observation::TargetResponded { target } => {
                if let Some(entry) = self.entry_mut(target.as_str(), EntryKind::Upstream) {
                    entry.record_response(now);
                }
            }
            Observation::TargetFailed { target } => {
                if let Some(entry) = self.entry_mut(target.as_str(), EntryKind::Upstream) {
                    entry.record_failure(now);
                }
            }
            Observation::Fact(fact) => self.apply_fact(now, fact),
        }
    }

    /// Returns the current view. Its version rises whenever anything in it changes.
    pub fn view(&mut self, now: Time) -> Arc<MembersView> {
        if !self.is_current(now) {
            self.view = Arc::new(self.make_view(now));
        }
        Arc::clone(&self.view)
    }

    fn make_view(&self, now: Time) -> MembersView {
        let mut next = MembersView {
            version: self.view.version + 1,
            list_version: self.highest_version,
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

    /// Returns whether the last view is up to date. The control thread calls this about 30 times a
    /// second, so entries are compared in place, without building a view.
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
                    .is_some_and(|i| i.matches(&entry.item, presence)),
                EntryKind::Upstream if !TargetEntry::is_complete(&entry.item) => true,
                EntryKind::Upstream => {
                    let listed = entry.missing_since.is_none();
                    targets
                        .next()
                        .is_some_and(|t| t.matches(&entry.item, presence, listed))
                }
            };
            if !same {
                return false;
            }
        }
        let all_match = instances.next().is_none() && targets.next().is_none();
        all_match && self.view.list_version == self.highest_version
    }

    /// Returns whether an answer may be taken as complete. An answer with fewer than half of the
    /// entries of the last complete one may not, as long as an entry that it lacks responds.
    fn is_plausible(&self, now: Time, answer: &ListAnswer) -> bool {
        if answer.entries.len() * 2 >= self.accepted_len {
            return true;
        }
        let has = |id: &str| answer.entries.iter().any(|e| e.id == id);
        let responds = |e: &Entry| {
            e.last_response
                .is_some_and(|t| now.since_us(t) < SILENT_MS * 1_000)
                && !e.leaving
        };
        let mut others = self
            .entries
            .iter()
            .filter(|(id, _)| **id != *self.me.as_str());
        !others.any(|(id, e)| e.missing_since.is_none() && responds(e) && !has(id))
    }

    /// Applies an entry of the list, or adds it while there is room.
    fn apply_item(&mut self, now: Time, item: &ListEntry) {
        if let Some(entry) = self.entries.get_mut(&item.id) {
            return entry.apply_item(item, now);
        }
        if self.entries.len() >= MAX_ENTRIES {
            return;
        }
        let mut entry = Entry::new(item.clone(), now);
        entry.in_list = true;
        self.entries.insert(item.id.clone(), entry);
    }

    /// Applies a fact. Only `Draining` concerns membership.
    fn apply_fact(&mut self, now: Time, fact: &Fact) {
        let Fact::Draining {
            target,
            incarnation,
        } = fact
        else {
            return;
        };
        let entry = self.entry_mut(target.as_str(), EntryKind::Upstream);
        if let Some(entry) = entry.filter(|e| *incarnation >= e.item.incarnation) {
            // The list may not show the new process yet.
            entry.replace_process(*incarnation, now);
            entry.leaving = true;
        }
    }

    /// Returns the entry with this id if it is of the given kind.
    fn entry_mut(&mut self, id: &str, kind: EntryKind) -> Option<&mut Entry> {
        self.entries.get_mut(id).filter(|e| e.item.kind == kind)
    }

    /// Returns the presence of the entry, or `None` if it is gone. This instance is never gone.
    fn presence(&self, now: Time, id: &str, entry: &Entry) -> Option<Presence> {
        let is_me = id == self.me.as_str();
        if entry.is_gone(now) && !is_me {
            return None;
        }
        if entry.leaving || entry.item.state == EntryState::Leaving {
            return Some(Presence::Leaving);
        }
        let silent = match entry.item.kind {
            EntryKind::Entry => !is_me && entry.is_heartbeat_overdue(now),
            EntryKind::Upstream => entry.is_failing(now),
        };
        Some(if silent {
            Presence::Silent
        } else {
            Presence::Usable
        })
    }

    /// Deletes entries that have been gone for a long time.
    fn remove_old(&mut self, now: Time) {
        let me = &self.me;
        self.entries.retain(|id, entry| {
            let missing = entry.missing_since;
            let old = missing.is_some_and(|t| now.since_us(t) > REMOVE_AFTER_MS * 1_000);
            !old || !entry.is_gone(now) || id == me.as_str()
        });
    }
}

impl MembersView {
    /// Returns the ids of the targets that were silent when the view was made. The instance has to
    /// probe them, because they receive no calls that could show that they respond again.
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
