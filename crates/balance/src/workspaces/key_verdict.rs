//! What is known of the key of a request.

use std::sync::Arc;

use crate::workspaces::Workspace;

/// What a configuration says of a request with or without a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyVerdict {
    /// The request may pass, for this workspace if it has a known key.
    Allowed(Option<Arc<Workspace>>),
    /// The configuration does not allow the request.
    Denied,
    /// A part of the configuration that cannot be read may allow the request.
    Unsure,
}
