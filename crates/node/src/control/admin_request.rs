//! What the administration API asks of the control thread. Replies are plain data about all tenants;
//! the administration API filters them by operator before anything leaves the process.

use std::collections::{BTreeMap, BTreeSet};

use async_std::channel::Sender;
use model::{ServiceName, Tenant, Zone};
use wire::{AuditEntry, ConfigAnswer, ProposalAnswer, Record, Status};

/// A question or proposal. A reply channel that is closed without a reply counts as "busy".
#[derive(Debug)]
pub enum AdminRequest {
    /// Appends a record and replies once it was read back or rejected. A reply of
    /// [`model::Code::Pending`] may be sent at any time. A proposal that was seen before is not
    /// appended again.
    Propose {
        /// The record.
        record: Record,
        /// Gets the answer.
        reply: Sender<ProposalAnswer>,
    },
    /// Asks for a proposal that this instance took or read from the log.
    Lookup {
        /// Whose proposal: of a tenant's document, or of a zone for `None`. Each tenant chooses ids
        /// of its own.
        tenant: Option<Tenant>,
        /// Proposal id.
        id: String,
        /// Gets where it stands, [`model::Code::Pending`] while undecided; `None` if it is not known
        /// here.
        reply: Sender<Option<ProposalAnswer>>,
    },
    /// Asks for the state in force here.
    Status {
        /// Gets the state.
        reply: Sender<StatusReply>,
    },
    /// Asks for a tenant's document in force.
    Config {
        /// Owner of the document.
        tenant: Tenant,
        /// Gets the document; the default for none.
        reply: Sender<ConfigAnswer>,
    },
    /// Asks for a part of the audit trail.
    Audit {
        /// Smallest offset wanted.
        from: u64,
        /// Most entries wanted.
        limit: usize,
        /// Gets the entries in offset order; fewer than `limit` only at the end of the trail.
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
    /// Availability zones that the membership view knows; empty before the first view.
    pub zones: BTreeSet<Zone>,
}
