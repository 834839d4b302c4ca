//! The targets of all services, with what their entries in the store and their responses say about
//! them.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
};

use model::{ServiceName, TargetId, Time};

use crate::{
    EntryChange, Health, Load, SendLimiter, Senders, StatedLimit, TargetEntry, TargetNote,
    TargetNotes,
};

/// Fraction of the rate of a cold target that is used. A cold target crashes above its rate, and
/// instances with different views of the membership send more.
const COLD_FRACTION: f64 = 0.75;
/// Time for which a removed target is remembered, in microseconds.
const REMOVED_US: u64 = 60_000_000;
/// Time after the store has come back from an earlier copy in which a listed entry does not bring
/// back a target that was removed before, in microseconds. The platform drops the entry of a target
/// that has left after three intervals of 1.5 s.
const HOLD_US: u64 = 6_000_000;
/// Time after the end of a store outage for which targets without an entry are kept, in
/// microseconds. The platform states that live targets write their entries again within 2 s.
const LAPSE_GRACE_US: u64 = 2_000_000;

/// A target, with what this instance knows about it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Latest entry that the target wrote to the store.
    pub entry: TargetEntry,
    /// When this instance first saw its entry.
    pub first_seen: Time,
    /// End of the time for which the target is cold.
    pub cold_until: Time,
    /// Latest load report, if there was any.
    pub load: Option<Load>,
    /// Recent outcomes and ejection.
    pub health: Health,
    /// What its process has said of itself in responses.
    pub note: TargetNote,
    /// Limit on requests that the target states.
    pub limit: StatedLimit,
    /// Keeps this instance to its share of the limited rate.
    pub limiter: SendLimiter,
    /// Requests of this instance that wait for the target's response.
    pub in_flight: u32,
    /// Requests that this instance sent after the latest load report.
    pub unreported: u32,
    /// Set while the target is lapsed, that is, kept although its entry is missing from the store.
    /// End of the time for which it is kept.
    kept_until: Option<Time>,
}

impl Target {
    fn new(entry: TargetEntry, note: TargetNote, now: Time) -> Self {
        Self {
            cold_until: now.plus_ms(entry.cold_ms),
            entry,
            first_seen: now,
            load: None,
            health: Health::default(),
            note,
            limit: StatedLimit::default(),
            limiter: SendLimiter::default(),
            in_flight: 0,
            unreported: 0,
            kept_until: None,
        }
    }

    /// Returns whether the target has announced that it leaves, in its entry or in a response.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.entry.draining || self.note.is_leaving
    }

    /// Returns for how many milliseconds the target wants no requests from this instance; `None` if it
    /// takes them.
    #[must_use]
    pub fn closed_ms(&self, now: Time) -> Option<u64> {
        let closed_us = self.note.closed_until.since_us(now);
        (closed_us > 0).then(|| closed_us.div_ceil(1_000))
    }

    /// Returns whether the target is cold.
    #[must_use]
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Returns the requests a second that the target takes from all instances together; `None` if
    /// they are not limited. `cold_rate` holds while it is cold.
    #[must_use]
    pub fn allowed_rate(&self, now: Time, cold_rate: f64) -> Option<f64> {
        let cold = self.is_cold(now).then_some(cold_rate * COLD_FRACTION);
        let rates = cold.into_iter().chain(self.limit.rate(now));
        rates.min_by(f64::total_cmp)
    }

    /// Returns whether the limits on the rate allow this instance a request now.
    #[must_use]
    pub fn allows_request(
        &self,
        now: Time,
        cold_rate: f64,
        senders: &Senders,
        urgency_rank: usize,
    ) -> bool {
        let Some(rate) = self.allowed_rate(now, cold_rate) else {
            return true;
        };
        self.limiter
            .allows(now, &self.entry.id, rate, senders, urgency_rank)
    }

    /// Counts a request of this instance that is sent now.
    pub fn record_request(&mut self, now: Time, cold_rate: f64, senders: &Senders) {
        self.in_flight += 1;
        self.unreported += 1;
        if let Some(rate) = self.allowed_rate(now, cold_rate) {
            self.limiter.record_request(now, rate, senders);
        }
    }

    /// Records a load report.
    pub fn record_load(&mut self, load: Load) {
        self.load = Some(load);
        self.unreported = 0;
    }

    /// Records that the target stays cold for `cold_ms` more, as it stated.
    pub fn record_cold_ms(&mut self, now: Time, cold_ms: u64) {
        self.cold_until = now.plus_ms(cold_ms);
    }
}

/// The targets of all services.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    services: HashMap<ServiceName, BTreeMap<TargetId, Target>>,
    /// Service of each target.
    service_of: HashMap<TargetId, ServiceName>,
    /// When the store was reachable again after its latest outage.
    store_return: Option<Time>,
    /// When the store was last found to have come back from an earlier copy.
    restored_at: Option<Time>,
    /// Start of the process of each target that was removed, and when.
    removed: HashMap<TargetId, (u64, Time)>,
    /// Listed entries of targets that were removed before the store came back from an earlier copy.
    held: HashMap<TargetId, TargetEntry>,
    /// What processes have said of themselves in responses. Kept apart from the entries, which may come
    /// and go and be older.
    notes: TargetNotes,
}

impl Targets {
    /// Adds or updates the target of an entry. Returns whether this changes which requests the
    /// target may get.
    pub fn put(&mut self, mut entry: TargetEntry, now: Time) -> bool {
        let id = entry.id.clone();
        self.held.remove(&id);
        let known = self.get_mut(&id);
        if let Some(target) = known
            && target.entry.born == entry.born
            && target.entry.service == entry.service
            && target.entry.addr == entry.addr
        {
            // Peers that have recorded the entry as missing must be told that it is back.
            let is_back = target.kept_until.take().is_some();
            if entry.cold_ms > 0 {
                target.record_cold_ms(now, entry.cold_ms);
            }
            // A process that drains never serves again; an older entry may come back with the store.
            entry.draining |= target.entry.draining;
            let changed = is_back || !target.entry.equals_except_cold(&entry);
            target.entry = entry;
            return changed;
        }
        self.remove(&id, now);
        self.service_of.insert(id.clone(), entry.service.clone());
        let of_service = self.services.entry(entry.service.clone()).or_default();
        let note = self.notes.get(&id, entry.born);
        of_service.insert(id, Target::new(entry, note, now));
        true
    }

    /// Records that the process of the target `id` that started at `born` has said that it leaves.
    /// Returns whether that is news.
    pub fn record_leaving(&mut self, id: &TargetId, born: u64, now: Time) -> bool {
        let is_news = self.notes.record_leaving(id, born, now);
        self.update_note(id, born);
        is_news
    }

    /// Records that this process wants no requests from this instance for `for_ms` from now on.
    pub fn record_closed(&mut self, id: &TargetId, born: u64, now: Time, for_ms: u64) {
        self.notes.record_closed(id, born, now, for_ms);
        self.update_note(id, born);
    }

    fn update_note(&mut self, id: &TargetId, born: u64) {
        let note = self.notes.get(id, born);
        if let Some(target) = self.get_mut(id).filter(|t| t.entry.born == born) {
            target.note = note;
        }
    }

    /// Returns the processes that have said that they leave, with their starts.
    pub fn leaving(&self) -> impl Iterator<Item = (&TargetId, u64)> {
        self.notes.leaving()
    }

    /// Returns the shortest description of a change, given the entry that is known before it.
    #[must_use]
    pub fn shorten(&self, change: EntryChange) -> EntryChange {
        match change {
            EntryChange::Put(entry)
                if self
                    .get(&entry.id)
                    .is_some_and(|known| known.entry.starts_draining_in(&entry)) =>
            {
                EntryChange::Draining(entry.id)
            }
            change => change,
        }
    }

    /// Records that a target started to drain. Returns whether this changes anything.
    pub fn start_draining(&mut self, id: &TargetId) -> bool {
        let Some(target) = self.get_mut(id) else {
            return false;
        };
        target.kept_until = None;
        !std::mem::replace(&mut target.entry.draining, true)
    }

    /// Handles that the entry of a target is missing from the store. Removes the target, unless the
    /// store had an outage a short time ago and the target was not draining. Returns whether it was
    /// removed.
    pub fn handle_missing(&mut self, id: &TargetId, now: Time) -> bool {
        let until = self
            .store_return
            .map_or(Time(0), |at| at.plus_us(LAPSE_GRACE_US));
        self.held.remove(id);
        let Some(target) = self.get_mut(id) else {
            return false;
        };
        if now < until && !target.entry.draining {
            target.kept_until = Some(until);
            return false;
        }
        self.remove(id, now);
        true
    }

    /// Replaces all entries by a complete listing. Targets that are not listed are handled as
    /// missing. Returns the entries that changed something, and the targets that are missing.
    pub fn replace_all(
        &mut self,
        entries: Vec<TargetEntry>,
        now: Time,
    ) -> (Vec<TargetEntry>, Vec<TargetId>) {
        let listed: HashSet<&TargetId> = entries.iter().map(|e| &e.id).collect();
        let known = self.service_of.keys();
        let missing: Vec<TargetId> = known.filter(|id| !listed.contains(id)).cloned().collect();
        let mut changed = entries;
        changed.retain(|entry| !self.hold(entry, now));
        changed.retain(|entry| self.put(entry.clone(), now));
        for id in &missing {
            self.handle_missing(id, now);
        }
        (changed, missing)
    }

    /// Holds back the listed entry of a target that was removed before the store came back from an
    /// earlier copy. Returns whether it is held.
    fn hold(&mut self, entry: &TargetEntry, now: Time) -> bool {
        let is_recent = |at: Time| now.since_us(at) < HOLD_US;
        let was_removed = self.removed.get(&entry.id);
        let is_held = self.restored_at.is_some_and(is_recent)
            && was_removed.is_some_and(|(born, _)| *born == entry.born);
        if is_held {
            self.held.insert(entry.id.clone(), entry.clone());
        }
        is_held
    }

    /// Records that the store has come back from an earlier copy. Entries of live targets may be
    /// missing for a while, and those of targets that have left may be back.
    pub fn record_restore(&mut self, now: Time) {
        self.restored_at = Some(now);
        self.store_return = Some(now);
    }

    /// Records that the store is reachable again after an outage.
    pub fn record_store_return(&mut self, now: Time) {
        self.store_return = Some(now);
    }

    /// Returns whether any target is lapsed: kept although its entry is missing.
    #[must_use]
    pub fn has_lapsed(&self) -> bool {
        self.all().any(|t| t.kept_until.is_some())
    }

    /// Removes all lapsed targets, because the store had no outage and only this instance was cut
    /// off from it. Returns the number of removed targets.
    pub fn drop_lapsed(&mut self, now: Time) -> usize {
        self.store_return = None;
        let lapsed = self.all().filter(|t| t.kept_until.is_some());
        let gone: Vec<TargetId> = lapsed.map(|t| t.entry.id.clone()).collect();
        for id in &gone {
            self.remove(id, now);
        }
        gone.len()
    }

    /// Removes the lapsed targets whose entries did not come back in time. Returns whether there
    /// were any.
    pub fn sweep(&mut self, now: Time) -> bool {
        let gone: Vec<TargetId> = self
            .all()
            .filter(|t| t.kept_until.is_some_and(|until| now >= until))
            .map(|t| t.entry.id.clone())
            .collect();
        for id in &gone {
            self.remove(id, now);
        }
        self.notes.sweep(now);
        self.removed
            .retain(|_, (_, at)| now.since_us(*at) < REMOVED_US);
        let is_over = |at: Time| now.since_us(at) >= HOLD_US;
        if self.restored_at.is_some_and(is_over) {
            for (_, entry) in std::mem::take(&mut self.held) {
                self.put(entry, now);
            }
        }
        !gone.is_empty()
    }

    /// Removes a target.
    pub fn remove(&mut self, id: &TargetId, now: Time) {
        let Some(service) = self.service_of.remove(id) else {
            return;
        };
        let Some(of_service) = self.services.get_mut(&service) else {
            return;
        };
        if let Some(target) = of_service.remove(id) {
            self.removed.insert(id.clone(), (target.entry.born, now));
        }
        if of_service.is_empty() {
            self.services.remove(&service);
        }
    }

    /// Returns a target.
    #[must_use]
    pub fn get(&self, id: &TargetId) -> Option<&Target> {
        self.services.get(self.service_of.get(id)?)?.get(id)
    }

    /// Returns a target for modification.
    pub fn get_mut(&mut self, id: &TargetId) -> Option<&mut Target> {
        self.services.get_mut(self.service_of.get(id)?)?.get_mut(id)
    }

    /// Returns the targets of a service.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &Target> {
        self.services
            .get(service)
            .into_iter()
            .flat_map(BTreeMap::values)
    }

    /// Returns all targets.
    pub fn all(&self) -> impl Iterator<Item = &Target> {
        self.services.values().flat_map(BTreeMap::values)
    }

    /// Returns all targets for modification.
    pub fn all_mut(&mut self) -> impl Iterator<Item = &mut Target> {
        self.services.values_mut().flat_map(BTreeMap::values_mut)
    }

    /// Returns whether any target has this address.
    #[must_use]
    pub fn has_address(&self, addr: SocketAddr) -> bool {
        self.all().any(|t| t.entry.addr == addr)
    }

    /// Returns the number of targets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.service_of.len()
    }

    /// Returns whether there are no targets.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.service_of.is_empty()
    }
}

#[cfg(test)]
mod tests;
