//! Folds the log records into the shared state. The result depends on nothing but the records and
//! their order, so that all instances agree on every proposal's outcome without exchanging messages.

mod document;
mod move_state;
mod rollout;
mod service_state;
mod tenant_state;
mod zone_state;

use std::collections::BTreeMap;

use model::{Code, OperatorName, ServiceName, Tenant, Zone};
use serde::{Deserialize, Serialize};
use wire::{AuditEntry, Body, Record};

use crate::{Proposal, Scope, audit::Audit, outcomes::Outcomes};

pub use self::{
    move_state::{MoveState, Outcome},
    service_state::ServiceState,
    tenant_state::TenantState,
    zone_state::ZoneState,
};

/// Largest size of a proposal id, author, reason and audit text. Longer ids are refused and longer
/// texts are cut. Ids of moves take up to 150 bytes.
const MAX_TEXT_BYTES: usize = 256;
/// Largest number of availability zones with a recorded state.
const MAX_ZONES: usize = 64;

/// Result code of a proposal, with a detail that may be empty.
pub(crate) type Decision = (Code, String);

/// Shared state after all records up to `offset`. Snapshots contain it as JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fold {
    /// Offset of the last record that was applied.
    pub offset: u64,
    /// Configuration documents by tenant.
    pub tenants: BTreeMap<Tenant, TenantState>,
    /// Services by name, including those that no document names any more.
    pub services: BTreeMap<ServiceName, ServiceState>,
    /// Availability zones that were out of service at least once.
    pub zones: BTreeMap<Zone, ZoneState>,
    /// Number of records that could not be decoded, by code.
    pub skipped: BTreeMap<u16, u64>,
    pub(crate) outcomes: Outcomes,
    pub(crate) audit: Audit,
}

impl Fold {
    /// Returns the move with this id if it is the latest one of its service.
    #[must_use]
    pub fn find_move(&self, id: &str) -> Option<(&ServiceName, &MoveState)> {
        let (service, _) = id.split_once('/')?;
        let (name, state) = self.services.get_key_value(&ServiceName::new(service))?;
        let move_state = state.last_move.as_ref()?;
        (move_state.id == id).then_some((name, move_state))
    }

    /// Returns the moves that have no verdict yet.
    pub fn open_moves(&self) -> impl Iterator<Item = (&ServiceName, &MoveState)> {
        let all = self.services.iter();
        all.filter_map(|(name, s)| Some((name, s.open_move()?)))
    }

    /// Skips a record that cannot be decoded and counts it.
    pub(crate) fn skip(&mut self, offset: u64, code: Code) {
        self.offset = offset;
        *self.skipped.entry(code.number()).or_default() += 1;
    }

    /// Applies a proposal, remembers its outcome and adds it to the audit trail. A proposal whose
    /// id was used before in its scope changes nothing.
    pub(crate) fn apply(&mut self, offset: u64, record: &Record) -> Decision {
        self.offset = offset;
        let Some(scope) = Scope::of(&record.body) else {
            return (Code::Invalid, "not a proposal".to_owned());
        };
        let known = self.outcomes.get(&scope, &record.id);
        let (code, detail) = match known {
            _ if record.id.is_empty() || record.id.len() > MAX_TEXT_BYTES => {
                let detail = format!(
                    "id of {} bytes, allowed: 1 to {MAX_TEXT_BYTES}",
                    record.id.len()
                );
                (Code::Invalid, detail)
            }
            Some(first) => (Code::Repeated, format!("first at offset {}", first.offset)),
            None => {
                let (code, detail) = self.decide(offset, record);
                self.outcomes.add(Proposal {
                    scope,
                    id: record.id.clone(),
                    offset,
                    code,
                });
                (code, detail)
            }
        };
        self.add_audit_entry(offset, record, code);
        (code, detail)
    }

    /// Checks a proposal against the current state and applies it if it is acceptable.
    fn decide(&mut self, offset: u64, record: &Record) -> Decision {
        let at = record.at;
        match &record.body {
            Body::Config { tenant, base, text } => {
                self.apply_document(offset, at, tenant, *base, text)
            }
            Body::Zone { zone, base, out } => self.apply_zone(offset, zone, *base, *out),
            Body::Step { plan, from, to } => self.apply_step(offset, at, plan, *from, *to),
            Body::Verdict {
                plan,
                verdict,
                reason,
            } => self.apply_verdict(at, plan, *verdict, truncated(reason)),
            Body::Stop {
                service,
                version,
                plan,
                reason,
            } => self.apply_stop(service, version, plan, truncated(reason)),
            Body::Snapshot { .. } => unreachable!("snapshots have no scope"),
        }
    }

    /// Puts an availability zone out of service or back. `base` has to be the offset of the zone's
    /// last change.
    fn apply_zone(&mut self, offset: u64, zone: &Zone, base: u64, out: bool) -> Decision {
        let current = self.zones.get(zone).map_or(0, |z| z.changed);
        if base != current {
            return stale_base(base, current);
        }
        let is_new = !self.zones.contains_key(zone);
        if !zone.is_valid() || (is_new && self.zones.len() >= MAX_ZONES) {
            return (Code::Invalid, format!("availability zone {zone:?}"));
        }
        let changed = offset;
        self.zones.insert(zone.clone(), ZoneState { out, changed });
        accepted()
    }

    fn add_audit_entry(&mut self, offset: u64, record: &Record, code: Code) {
        let (tenant, base, what) = self.describe(&record.body);
        self.audit.add(AuditEntry {
            offset,
            id: truncated(&record.id).to_owned(),
            author: OperatorName::new(truncated(record.author.as_str())),
            tenant,
            what: truncated(&what).to_owned(),
            base,
            code,
            at: record.at,
        });
    }

    /// Returns the tenant concerned, the base and the text of an audit entry.
    fn describe(&self, body: &Body) -> (Option<Tenant>, u64, String) {
        let owner = |plan: &str| {
            let (service, _) = plan.split_once('/')?;
            let state = self.services.get(&ServiceName::new(service))?;
            Some(state.tenant.clone())
        };
        match body {
            Body::Config { tenant, base, text } => {
                let what = format!("document of {} bytes", text.len());
                (Some(Tenant::new(truncated(tenant.as_str()))), *base, what)
            }
            Body::Zone { zone, base, out } => {
                let to = if *out { "out" } else { "back" };
                (None, *base, format!("zone {zone} {to}"))
            }
            Body::Step { plan, from, to } => {
                (owner(plan), 0, format!("move {plan} step {from} to {to}"))
            }
            Body::Verdict {
                plan,
                verdict,
                reason,
            } => {
                let what = format!("move {plan} {verdict:?}: {reason}");
                (owner(plan), 0, what)
            }
            Body::Stop { plan, reason, .. } => {
                (owner(plan), 0, format!("move {plan} stop: {reason}"))
            }
            Body::Snapshot { .. } => (None, 0, String::new()),
        }
    }
}

/// Returns the decision on an accepted proposal.
pub(crate) fn accepted() -> Decision {
    (Code::Accepted, String::new())
}

/// Returns the decision on a proposal that was made against an outdated value.
pub(crate) fn stale_base(base: u64, current: u64) -> Decision {
    let detail = format!("made against {base}, current is {current}");
    (Code::Stale, detail)
}

/// Returns the start of `text`, at most [`MAX_TEXT_BYTES`] long.
fn truncated(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_TEXT_BYTES)]
}

#[cfg(test)]
mod tests;
