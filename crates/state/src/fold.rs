//! The fold over log records. Depends on nothing but the records and their order, so that all
//! instances agree on every proposal's outcome without talking to each other.

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

/// Longest proposal id, author and reason that are kept, in bytes. Ids of moves take up to 150.
const MAX_TEXT_BYTES: usize = 256;
/// Availability zones that may have been taken out at some time.
const MAX_ZONES: usize = 64;

/// A proposal's code and further detail.
pub(crate) type Ruling = (Code, String);

/// Everything that the records up to an offset add up to. Serialized as the content of snapshots.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fold {
    /// Last offset in force.
    pub offset: u64,
    /// Documents by tenant.
    pub tenants: BTreeMap<Tenant, TenantState>,
    /// Services by name, those included that no document names any more.
    pub services: BTreeMap<ServiceName, ServiceState>,
    /// Availability zones that were taken out at some time.
    pub zones: BTreeMap<Zone, ZoneState>,
    /// Number of records that could not be decoded, by code.
    pub skipped: BTreeMap<u16, u64>,
    pub(crate) outcomes: Outcomes,
    pub(crate) audit: Audit,
}

impl Fold {
    /// The move with this id, if it is the last one of its service.
    #[must_use]
    pub fn find_move(&self, plan: &str) -> Option<(&ServiceName, &MoveState)> {
        let (service, _) = plan.split_once('/')?;
        let (name, state) = self.services.get_key_value(&ServiceName::new(service))?;
        let shift = state.shift.as_ref()?;
        (shift.plan == plan).then_some((name, shift))
    }

    /// Moves without a verdict.
    pub fn open_moves(&self) -> impl Iterator<Item = (&ServiceName, &MoveState)> {
        let all = self.services.iter();
        all.filter_map(|(name, s)| Some((name, s.open_move()?)))
    }

    /// Counts a record that cannot be decoded.
    pub(crate) fn skip(&mut self, offset: u64, code: Code) {
        self.offset = offset;
        *self.skipped.entry(code.number()).or_default() += 1;
    }

    /// Takes a proposal.
    pub(crate) fn apply(&mut self, offset: u64, record: &Record) -> Ruling {
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
                let (code, detail) = self.rule(offset, record);
                self.outcomes.add(Proposal {
                    scope,
                    id: record.id.clone(),
                    offset,
                    code,
                });
                (code, detail)
            }
        };
        self.note(offset, record, code);
        (code, detail)
    }

    fn rule(&mut self, offset: u64, record: &Record) -> Ruling {
        let at = record.at;
        match &record.body {
            Body::Config { tenant, base, text } => {
                self.take_document(offset, at, tenant, *base, text)
            }
            Body::Zone { zone, base, out } => self.take_zone(offset, zone, *base, *out),
            Body::Step { plan, from, to } => self.take_step(offset, at, plan, *from, *to),
            Body::Verdict {
                plan,
                verdict,
                reason,
            } => self.take_verdict(at, plan, *verdict, bounded(reason)),
            Body::Stop {
                service,
                version,
                plan,
                reason,
            } => self.take_stop(service, version, plan, bounded(reason)),
            Body::Snapshot { .. } => unreachable!("snapshots have no scope"),
        }
    }

    fn take_zone(&mut self, offset: u64, zone: &Zone, base: u64, out: bool) -> Ruling {
        let current = self.zones.get(zone).map_or(0, |z| z.changed);
        if base != current {
            return stale(base, current);
        }
        let is_new = !self.zones.contains_key(zone);
        if !zone.is_valid() || (is_new && self.zones.len() >= MAX_ZONES) {
            return (Code::Invalid, format!("availability zone {zone:?}"));
        }
        let changed = offset;
        self.zones.insert(zone.clone(), ZoneState { out, changed });
        accepted()
    }

    fn note(&mut self, offset: u64, record: &Record, code: Code) {
        let (tenant, base, what) = self.describe(&record.body);
        self.audit.add(AuditEntry {
            offset,
            id: bounded(&record.id).to_owned(),
            author: OperatorName::new(bounded(record.author.as_str())),
            tenant,
            what: bounded(&what).to_owned(),
            base,
            code,
            at: record.at,
        });
    }

    fn describe(&self, body: &Body) -> (Option<Tenant>, u64, String) {
        let owner = |plan: &str| {
            let (service, _) = plan.split_once('/')?;
            let state = self.services.get(&ServiceName::new(service))?;
            Some(state.tenant.clone())
        };
        match body {
            Body::Config { tenant, base, text } => {
                let what = format!("document of {} bytes", text.len());
                (Some(Tenant::new(bounded(tenant.as_str()))), *base, what)
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

pub(crate) fn accepted() -> Ruling {
    (Code::Accepted, String::new())
}

pub(crate) fn stale(base: u64, current: u64) -> Ruling {
    let detail = format!("made against {base}, current is {current}");
    (Code::Stale, detail)
}

/// The start of `text`, at most [`MAX_TEXT_BYTES`] long.
fn bounded(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_TEXT_BYTES)]
}

#[cfg(test)]
mod tests;
