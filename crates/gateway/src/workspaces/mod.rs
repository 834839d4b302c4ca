//! Checks the keys of requests, and says which workspace a request belongs to and what targets get to
//! know of that.

mod caller;
mod forwarded_headers;
mod key_check;
mod workspace_request;

pub use self::{
    caller::Caller,
    forwarded_headers::is_withheld,
    key_check::{check_key, check_workspace},
    workspace_request::WorkspaceRequest,
};
