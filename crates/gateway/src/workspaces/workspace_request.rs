//! A request with what is known of it once its key is checked.

use crate::{request::ArrivedRequest, workspaces::Caller};

/// A request with what is known of it once its key is checked.
#[derive(Clone, Copy)]
pub struct WorkspaceRequest<'a> {
    /// The request as its caller sent it.
    pub request: &'a ArrivedRequest,
    /// Who sent it.
    pub caller: &'a Caller,
    /// Hash of what is the same each time that the request comes.
    pub hash: u64,
}
