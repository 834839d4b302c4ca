//! What a starting instance gets from one that runs, so that it need not read it from the store.

use balance::{CrashReport, Position, TargetEntry};
use bincode::{config::standard, serde::encode_to_vec};
use model::Time;
use platform::{Change, Listing, Record, redact};
use serde::{Deserialize, Serialize};

use crate::{
    crashes::apply_crashes,
    digest_apply::apply_rollout,
    entries_apply::apply_listing,
    notices::{LeavingReport, apply_leaving, leaving_reports},
    operator_age::{operator_age_ms, record_operator_as_of},
    orders_apply::{Source, apply_orders},
    phase::Phase,
    report::RolloutReport,
    reporting::rollout_reports,
    state::State,
    store_era::record_era,
    wire_format,
};

/// Age of the entries up to which an instance gives them to others, in milliseconds. Older ones would
/// have to be read again soon.
const MAX_AGE_MS: u64 = 1_200;

/// What an instance has read from the store. The order and the types of the fields are the wire
/// format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position of the next record of the operator.
    pub operator_next: Position,
    /// Time for which the operator may have written records that are missing, in milliseconds.
    pub operator_age_ms: u64,
    /// Latest record of each of the operator's keys: position, key and value. Configurations have digests
    /// in place of the keys of callers.
    pub operator_records: Vec<(Position, String, Vec<u8>)>,
    /// State of the rollouts.
    pub rollouts: Vec<RolloutReport>,
    /// Position of the next record of a target's entry.
    pub entries_next: Position,
    /// Time for which the entries may be out of date, in milliseconds.
    pub entries_age_ms: u64,
    /// Targets that have said that they leave.
    pub leaving: Vec<LeavingReport>,
    /// Entries of all targets, with the time for which they are still cold.
    pub entries: Vec<TargetEntry>,
    /// Requests near crashes of targets.
    pub crashes: Vec<CrashReport>,
}

impl Snapshot {
    /// Returns what this instance knows, if that is complete and recent.
    pub fn of(state: &State) -> Option<Self> {
        let now = state.now();
        let entries_age_ms = state.entries_age_us()?.div_ceil(1_000);
        let offset = state.entries_next()?;
        let is_complete = state.phase.get() == Phase::Ready
            && state.era_since.get().is_none()
            && state.entries_gap.get().is_none()
            && entries_age_ms <= MAX_AGE_MS;
        if !is_complete || state.targets.borrow().has_lapsed() {
            return None;
        }
        let targets = state.targets.borrow();
        let entries = targets.all().map(|target| TargetEntry {
            cold_ms: target.cold_until.since_us(now).div_ceil(1_000),
            ..target.entry.clone()
        });
        let relay = state.relay.borrow();
        let records = relay.newest().cloned();
        Some(Self {
            operator_next: state.operator_next.get(),
            operator_age_ms: operator_age_ms(state),
            operator_records: records.map(|r| (r.position, r.key, r.value)).collect(),
            rollouts: rollout_reports(state, false),
            entries_next: Position {
                era: state.entries.borrow().era(),
                offset,
            },
            entries_age_ms,
            leaving: leaving_reports(&targets),
            entries: entries.collect(),
            crashes: state.crash_suspects.borrow().reports(now),
        })
    }

    /// Encodes the snapshot.
    pub fn encode(&self) -> Vec<u8> {
        encode_to_vec(self, standard()).unwrap_or_default()
    }

    /// Decodes a snapshot. Returns `None` if it is not one of this layout.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        wire_format::decode(bytes)
    }

    /// Applies the snapshot of another instance, which was asked for at `asked`, in an instance that
    /// has read nothing yet. Returns the position of the next record of the operator.
    pub fn apply(self, state: &State, asked: Time) -> Position {
        record_era(state, self.entries_next.era, "peer");
        let mut records: Vec<Record> = self
            .operator_records
            .into_iter()
            .map(|(position, key, value)| Record {
                position,
                key,
                value,
            })
            .collect();
        // An instance of an earlier release passes keys on.
        redact(&mut records);
        apply_orders(state, &records, Source::Listing);
        state.operator_next.set(self.operator_next);
        let as_of = asked.minus_ms(self.operator_age_ms);
        record_operator_as_of(state, self.operator_next, as_of);
        for rollout in &self.rollouts {
            apply_rollout(state, &state.members.borrow().own().clone(), rollout);
        }
        apply_leaving(state, &self.leaving, "snapshot");
        apply_crashes(state, &self.crashes, "snapshot");
        let offset = self.entries_next.offset.saturating_sub(1);
        let changes = self.entries.into_iter();
        let listing = Listing {
            changes: changes.map(|e| (offset, Change::Target(e))).collect(),
            malformed: Vec::new(),
        };
        let as_of = asked.minus_ms(self.entries_age_ms);
        apply_listing(state, as_of, listing, self.entries_next);
        state.entries_are_own.set(false);
        self.operator_next
    }
}

#[cfg(test)]
mod tests;
