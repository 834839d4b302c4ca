//! Who sent a request.

use std::sync::Arc;

use balance::Workspace;

/// Who sent a request, by its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Caller {
    /// The configuration has no workspaces. Headers pass as the caller sent them.
    Unchecked,
    /// A request on a public route without a known key.
    Anonymous,
    /// A request with a key of this workspace.
    Of(Arc<Workspace>),
}

impl Caller {
    /// Returns the workspace of the request, if it has one.
    pub fn workspace(&self) -> Option<&Arc<Workspace>> {
        match self {
            Self::Of(workspace) => Some(workspace),
            Self::Unchecked | Self::Anonymous => None,
        }
    }

    /// Returns whether the configuration has workspaces, so that targets must not get the key.
    pub fn is_checked(&self) -> bool {
        *self != Self::Unchecked
    }
}
