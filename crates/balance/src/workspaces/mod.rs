//! Workspaces: teams that share the gateway, each with its own keys and an urgency. Decides which
//! workspace a request belongs to, whether it may pass without one, and which requests go first.

mod access;
mod key_digest;
mod key_index;
mod key_verdict;
mod unread_keys;
mod urgency;
mod urgency_order;
mod workspace;

pub use self::{
    access::Access, key_digest::KeyDigest, key_index::KeyIndex, key_verdict::KeyVerdict,
    urgency::Urgency, urgency_order::UrgencyOrder, workspace::Workspace,
};
