//! Claims on the slots to come: the work of callers that were told to return, by all instances.
//!
//! Addresses instances that promise the same room at the same time. Claims are totals by slot, so that
//! a word of a collector that is lost, late or repeated does no harm.

use std::collections::{BTreeMap, VecDeque};

use model::Time;

use super::slot::{HORIZON, slot_of};

/// Reports that are remembered. Covers two intervals of a large system and sums that are late.
const MAX_REPORTS: usize = 8;

/// Claims of all instances on one service, in milliseconds of work by slot.
#[derive(Clone, Debug, Default)]
pub struct Claims {
    own: BTreeMap<u64, f64>,
    /// What this instance has reported, and when. Sums may be as old as the older ones.
    reported: VecDeque<(Time, BTreeMap<u64, f64>)>,
    /// Own part of the latest sums.
    own_told: BTreeMap<u64, f64>,
    /// The rest of the latest sums.
    others: BTreeMap<u64, f64>,
    told_at: Time,
}

impl Claims {
    /// Adds a claim of this instance.
    pub fn add(&mut self, slot: u64, work_ms: f64) {
        *self.own.entry(slot).or_default() += work_ms;
    }

    /// Returns the claims of this instance for a report, from the current slot on.
    pub fn report(&mut self, now: Time) -> Vec<u32> {
        if self.reported.len() == MAX_REPORTS {
            self.reported.pop_front();
        }
        self.reported.push_back((now, self.own.clone()));
        encode(&self.own, now)
    }

    /// Records the sums of a collector, which were made at `made`, unless newer ones are known.
    pub fn record_sums(&mut self, sums: &[u32], made: Time) {
        if made < self.told_at {
            return;
        }
        self.told_at = made;
        let mut reported = self.reported.iter().rev();
        let included = reported.find(|(at, _)| *at <= made);
        self.own_told = included.map_or_else(BTreeMap::new, |(_, own)| own.clone());
        self.others.clear();
        for (slot, sum) in (slot_of(made)..).zip(sums.iter().take(HORIZON)) {
            let own = self.own_told.get(&slot).copied().unwrap_or_default();
            let others = f64::from(*sum) - own;
            if others > 0.0 {
                self.others.insert(slot, others);
            }
        }
    }

    /// Returns the expected claims on a slot. Since the latest sums, and without any, the others are
    /// taken to make claims as this instance does, which has `share` of the requests.
    pub fn expected(&self, slot: u64, share: f64) -> f64 {
        let of = |claims: &BTreeMap<u64, f64>| claims.get(&slot).copied().unwrap_or_default();
        let own = of(&self.own);
        let since_told = (own - of(&self.own_told)).max(0.0);
        own + of(&self.others) + since_told * (1.0 - share) / share
    }

    /// Removes claims on slots before `slot`.
    pub fn expire(&mut self, slot: u64) {
        for claims in [&mut self.own, &mut self.own_told, &mut self.others] {
            *claims = claims.split_off(&slot);
        }
    }
}

/// Returns claims from the slot of `now` on, without empty ones at the end.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is positive and the conversion saturates"
)]
fn encode(claims: &BTreeMap<u64, f64>, now: Time) -> Vec<u32> {
    let first = slot_of(now);
    let slots = first..first + HORIZON as u64;
    let work = slots.map(|slot| claims.get(&slot).copied().unwrap_or_default());
    let mut counts: Vec<u32> = work.map(|ms| ms.round() as u32).collect();
    let used = counts.iter().rposition(|ms| *ms > 0).map_or(0, |at| at + 1);
    counts.truncate(used);
    counts
}
