//! Recent demand of each kind of request at one instance, and how much of it was served. Addresses kinds
//! that would get nothing while more urgent ones take all room.

use std::collections::{BTreeMap, BTreeSet};

use super::ask::Kind;

/// Factor by which the sums of demand shrink in each slot; they cover about seven slots.
const DECAY: f64 = 0.85;
/// Part of the mean service below which a kind counts as starved. Above the quarter that each kind must
/// get, since a starved kind needs some slots to recover.
const STARVED_SHARE: f64 = 0.35;
/// Requests from which a kind can count as starved. Each kind is without service at its first request.
const MIN_STARVED_REQUESTS: f64 = 4.0;
/// Part of the service of a more urgent priority above which a kind yields. Below 1, since what was promised
/// cannot be taken back.
const YIELD_SHARE: f64 = 0.7;
/// Requests after which the sums of service are halved. They count requests instead of time, because a small
/// instance sees few.
const WINDOW_REQUESTS: u32 = 48;
/// Work below which a sum says nothing and is dropped, in milliseconds.
const MIN_WORK_MS: f64 = 0.5;

/// Work and times of one kind, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    /// Demand of the latest slots.
    recent: f64,
    offered: f64,
    served: f64,
    /// Longest time after which a caller would return.
    reach: f64,
}

/// Demand of the kinds of requests to a service.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    kinds: BTreeMap<Kind, Sums>,
    requests: u32,
}

impl Demand {
    /// Counts a request that a caller sends for the first time.
    pub fn offer(&mut self, kind: Kind, work_ms: f64, reach_ms: f64) {
        self.requests += 1;
        if self.requests >= WINDOW_REQUESTS {
            self.requests /= 2;
            self.halve();
        }
        let sums = self.kinds.entry(kind).or_default();
        sums.recent += work_ms;
        sums.offered += work_ms;
        sums.reach = sums.reach.max(reach_ms);
    }

    /// Counts a request that is admitted, or that is promised room.
    pub fn serve(&mut self, kind: Kind, work_ms: f64) {
        self.kinds.entry(kind).or_default().served += work_ms;
    }

    /// Lets the sums of demand shrink after `slots` slots.
    pub fn decay(&mut self, slots: u64) {
        let factor = DECAY.powf(slots as f64);
        for sums in self.kinds.values_mut() {
            sums.recent *= factor;
        }
    }

    fn halve(&mut self) {
        self.kinds.retain(|_, sums| {
            sums.offered /= 2.0;
            sums.served /= 2.0;
            sums.offered > MIN_WORK_MS
        });
    }

    /// Returns the work that kinds before `kind` bring in a slot, in milliseconds.
    pub fn ahead_ms(&self, kind: Kind) -> f64 {
        let ahead = self.kinds.range(..kind);
        ahead.map(|(_, sums)| sums.recent).sum::<f64>() * (1.0 - DECAY)
    }

    /// Returns whether there have been requests that cannot wait of late.
    pub fn any_cannot_wait(&self) -> bool {
        self.kinds.keys().any(|kind| !kind.can_wait)
    }

    /// Returns the number of more urgent priorities that have had requests of late.
    pub fn priorities_ahead(&self, kind: Kind) -> usize {
        let ranks = self.kinds.keys().map(|other| other.rank);
        let ahead: BTreeSet<usize> = ranks.filter(|rank| *rank < kind.rank).collect();
        ahead.len()
    }

    /// Returns the longest time ahead for which `kind` may claim room, in milliseconds: that of more urgent
    /// priorities that can wait. Otherwise it would find free slots that these cannot reach yet.
    pub fn reach_ms(&self, kind: Kind) -> f64 {
        let is_ahead = |other: &Kind| other.can_wait && other.rank < kind.rank;
        let ahead = self.kinds.iter().filter(|(other, _)| is_ahead(other));
        ahead.map(|(_, sums)| sums.reach).fold(f64::MAX, f64::min)
    }

    /// Returns whether `kind`, with requests of `work_ms`, gets more of its demand served than a more urgent
    /// priority, so that it must yield. One served request is assumed of a kind that is not known yet.
    pub fn yields(&self, kind: Kind, work_ms: f64) -> bool {
        let own = self.kinds.get(&kind).copied().unwrap_or_default();
        let served = (own.served + work_ms) / (own.offered + work_ms);
        let ahead = self
            .kinds
            .iter()
            .filter(|(other, _)| other.rank < kind.rank);
        ahead
            .map(|(_, sums)| sums)
            .any(|sums| YIELD_SHARE * sums.served < served * sums.offered)
    }

    /// Returns whether `kind`, with requests of `work_ms`, gets much less of its demand served than all
    /// requests.
    pub fn is_starved(&self, kind: Kind, work_ms: f64) -> bool {
        let all = self.kinds.values();
        let (offered, served) = all.fold((0.0, 0.0), |(offered, served), sums| {
            (offered + sums.offered, served + sums.served)
        });
        let own = self.kinds.get(&kind).copied().unwrap_or_default();
        own.offered >= MIN_STARVED_REQUESTS * work_ms
            && own.served * offered < STARVED_SHARE * served * own.offered
    }
}
