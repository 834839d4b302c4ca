//! Requests from the administration API to the control thread. Replies contain data of all tenants;
//! the administration API filters them by operator before anything leaves the process.

use std::collections::{BTreeMap, BTreeSet};

use async_std::channel::Sender;
use model::{ServiceName, Tenant, Zone};
use wire::{AuditEntry, ConfigAnswer, ProposalAnswer, Record, Status};

/// A query or a proposal. The administration API answers "busy" if the reply channel is closed
/// without a reply.
#[derive(Debug)]
pub enum AdminRequest {
    /// Appends a record and replies once the record was read back from the log, or rejected. A reply of
    /// [`model::Code::Pending`] may be sent at any time. A proposal whose id
    /// is already known is not appended again.
    Propose {
        /// Record to append.
        record: Record,
        /// Receives the answer.
        reply: Sender<ProposalAnswer>,
    },
    /// Looks up a proposal that this instance accepted or read from the log.
    Lookup {
        /// Tenant whose document the proposal changes; `None` for a proposal about a zone. Ids are
        /// unique only within a tenant.
        tenant: Option<Tenant>,
        /// Proposal id.
        id: String,
        /// Receives the proposal's result, [`model::Code::Pending`] while undecided; `None` if this
        /// instance does not know the proposal.
        reply: Sender<Option<ProposalAnswer>>,
    },
    /// Reads the state in force at this instance.
    Status {
        /// Receives the state.
        reply: Sender<StatusReply>,
    },
    /// Reads a tenant's document in force.
    Config {
        /// Owner of the document.
        tenant: Tenant,
        /// Receives the document; the default value if the tenant has none.
        reply: Sender<ConfigAnswer>,
    },
    /// Reads a range of the audit trail.
    Audit {
        /// Smallest offset to return.
        from: u64,
        /// Maximum number of entries.
        limit: usize,
        /// Receives the entries in offset order; fewer than `limit` only at the end of the trail.
        reply: Sender<Vec<AuditEntry>>,
    },
}

/// The state in force at this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StatusReply {
    /// Status with the revisions and moves of all tenants.
    pub status: Status,
    /// Owner of each service, including services whose moves are listed.
    pub owners: BTreeMap<ServiceName, Tenant>,
    /// Availability zones in the membership view; empty before the first view.
    pub zones: BTreeSet<Zone>,
}
