//! Removes data that an operator may not see from the replies of the control thread.

use model::Operator;
use wire::{AuditEntry, Status};

use crate::{admin::access::may_read, control::StatusReply};

/// Returns the status with only those revisions and moves that the operator may see. Every operator may
/// see offsets, peers and zones.
pub fn visible_status(operator: &Operator, reply: StatusReply) -> Status {
    let StatusReply {
        mut status, owners, ..
    } = reply;
    status
        .revisions
        .retain(|tenant, _| may_read(operator, Some(tenant)));
    status
        .moves
        .retain(|shown| may_read(operator, owners.get(&shown.service)));
    status
}

/// Returns the audit entries that the operator may see.
pub fn visible_entries(operator: &Operator, entries: Vec<AuditEntry>) -> Vec<AuditEntry> {
    entries
        .into_iter()
        .filter(|entry| may_read(operator, entry.tenant.as_ref()))
        .collect()
}
