//! Removes what an operator may not see from the control thread's replies.

use model::Operator;
use wire::{AuditEntry, Status};

use crate::{admin::access::may_read, control::StatusReply};

/// The part of the status that the operator may see. Offsets, peers and zones concern every tenant.
pub fn visible_status(operator: &Operator, reply: StatusReply) -> Status {
    let StatusReply {
        mut status, owners, ..
    } = reply;
    status
        .revisions
        .retain(|tenant, _| may_read(operator, Some(tenant)));
    status
        .moves
        .retain(|m| may_read(operator, owners.get(&m.service)));
    status
}

/// The entries that the operator may see.
pub fn visible_entries(operator: &Operator, entries: Vec<AuditEntry>) -> Vec<AuditEntry> {
    entries
        .into_iter()
        .filter(|e| may_read(operator, e.tenant.as_ref()))
        .collect()
}
