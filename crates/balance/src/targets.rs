//! The targets of all services, as their entries and the calls to them show.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
};

use model::{ServiceName, TargetId, Time};

use crate::{ColdLimiter, Health, Load, TargetEntry};

/// Time after the store's return within which a missing entry is not taken as gone, in microseconds.
/// The platform states that live targets are back within 2 s.
const RETURN_US: u64 = 2_000_000;

/// One target.
#[derive(Clone, Debug)]
pub struct Target {
    /// What it says of itself.
    pub entry: TargetEntry,
    /// When it was first seen.
    pub first_seen: Time,
    /// Until when it is cold.
    pub cold_until: Time,
    /// Latest load report.
    pub load: Option<Load>,
    /// Recent outcomes.
    pub health: Health,
    /// Pace of requests while it is cold.
    pub cold_limiter: ColdLimiter,
    /// Requests of this instance that are there.
    pub in_flight: u32,
    /// Requests that this instance sent after the latest load report.
    pub unreported: u32,
    /// Until when it stays although its entry is missing.
    lapsed: Option<Time>,
}

impl Target {
    fn new(entry: TargetEntry, now: Time) -> Self {
        Self {
            cold_until: now.plus_ms(entry.cold_ms),
            entry,
            first_seen: now,
            load: None,
            health: Health::default(),
            cold_limiter: ColdLimiter::default(),
            in_flight: 0,
            unreported: 0,
            lapsed: None,
        }
    }

    /// Whether it is cold.
    #[must_use]
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Takes in a load report.
    pub fn record_load(&mut self, load: Load) {
        self.load = Some(load);
        self.unreported = 0;
    }

    /// Takes in how much longer the target says that it is cold.
    pub fn record_cold_ms(&mut self, now: Time, cold_ms: u64) {
        self.cold_until = now.plus_ms(cold_ms);
    }
}

/// All targets.
#[derive(Clone, Debug, Default)]
pub struct Targets {
    services: HashMap<ServiceName, BTreeMap<TargetId, Target>>,
    homes: HashMap<TargetId, ServiceName>,
    returned: Option<Time>,
}

impl Targets {
    /// Takes in an entry; whether it changes what may be sent where.
    pub fn put(&mut self, entry: TargetEntry, now: Time) -> bool {
        let id = entry.id.clone();
        let known = self.get_mut(&id);
        if let Some(target) = known
            && target.entry.born == entry.born
            && target.entry.service == entry.service
            && target.entry.addr == entry.addr
        {
            // Others that hold it as missing must hear of its return.
            let is_back = target.lapsed.take().is_some();
            if entry.cold_ms > 0 {
                target.record_cold_ms(now, entry.cold_ms);
            }
            let changed = is_back || !target.entry.equals_except_cold(&entry);
            target.entry = entry;
            return changed;
        }
        self.remove(&id);
        self.homes.insert(id.clone(), entry.service.clone());
        let of_service = self.services.entry(entry.service.clone()).or_default();
        of_service.insert(id, Target::new(entry, now));
        true
    }

    /// Takes in that an entry is missing; whether that changes what may be sent where. Soon after the
    /// store's return the target stays for a while, unless it was leaving.
    pub fn handle_missing(&mut self, id: &TargetId, now: Time) -> bool {
        let until = self.returned.map_or(Time(0), |at| at.plus_us(RETURN_US));
        let Some(target) = self.get_mut(id) else {
            return false;
        };
        if now < until && !target.entry.draining {
            target.lapsed = Some(until);
            return false;
        }
        self.remove(id);
        true
    }

    /// Replaces all entries by those of a whole listing; targets that are not in it are lost. Returns
    /// entries that are news, and the targets that are missing.
    pub fn replace_all(
        &mut self,
        entries: Vec<TargetEntry>,
        now: Time,
    ) -> (Vec<TargetEntry>, Vec<TargetId>) {
        let listed: HashSet<&TargetId> = entries.iter().map(|e| &e.id).collect();
        let known = self.homes.keys();
        let missing: Vec<TargetId> = known.filter(|id| !listed.contains(id)).cloned().collect();
        let mut changed = entries;
        changed.retain(|entry| self.put(entry.clone(), now));
        for id in &missing {
            self.handle_missing(id, now);
        }
        (changed, missing)
    }

    /// Notes that the store answers again after it was away.
    pub fn record_store_return(&mut self, now: Time) {
        self.returned = Some(now);
    }

    /// Whether targets are kept although their entries are missing.
    #[must_use]
    pub fn has_lapsed(&self) -> bool {
        self.all().any(|t| t.lapsed.is_some())
    }

    /// Drops all targets whose entries are missing, since the store was not away; returns their number.
    pub fn drop_lapsed(&mut self) -> usize {
        self.returned = None;
        let lapsed = self.all().filter(|t| t.lapsed.is_some());
        let gone: Vec<TargetId> = lapsed.map(|t| t.entry.id.clone()).collect();
        for id in &gone {
            self.remove(id);
        }
        gone.len()
    }

    /// Drops targets whose entries did not come back in time.
    pub fn sweep(&mut self, now: Time) -> bool {
        let gone: Vec<TargetId> = self
            .all()
            .filter(|t| t.lapsed.is_some_and(|until| now >= until))
            .map(|t| t.entry.id.clone())
            .collect();
        for id in &gone {
            self.remove(id);
        }
        !gone.is_empty()
    }

    /// Drops a target.
    pub fn remove(&mut self, id: &TargetId) {
        let Some(service) = self.homes.remove(id) else {
            return;
        };
        if let Some(of_service) = self.services.get_mut(&service) {
            of_service.remove(id);
        }
    }

    /// A target.
    #[must_use]
    pub fn get(&self, id: &TargetId) -> Option<&Target> {
        self.services.get(self.homes.get(id)?)?.get(id)
    }

    /// A target, to change what is known of it.
    pub fn get_mut(&mut self, id: &TargetId) -> Option<&mut Target> {
        self.services.get_mut(self.homes.get(id)?)?.get_mut(id)
    }

    /// The targets of a service.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &Target> {
        self.services
            .get(service)
            .into_iter()
            .flat_map(BTreeMap::values)
    }

    /// All targets.
    pub fn all(&self) -> impl Iterator<Item = &Target> {
        self.services.values().flat_map(BTreeMap::values)
    }

    /// Whether a target still has this address.
    #[must_use]
    pub fn has_address(&self, addr: SocketAddr) -> bool {
        self.all().any(|t| t.entry.addr == addr)
    }

    /// Number of targets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.homes.len()
    }

    /// Whether no target is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.homes.is_empty()
    }
}

#[cfg(test)]
mod tests;
