//! A class of work within a service.

use serde::{Deserialize, Serialize};

use crate::ClassName;

/// What operators state about one class of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Class {
    /// Name, unique within the service.
    pub name: ClassName,
    /// How quickly a call is to be served, from arrival to the whole answer, in milliseconds.
    pub target_ms: u64,
    /// How long a call may wait at an instance before it starts, in milliseconds.
    pub delay_ms: u64,
    /// Whether running a call twice is harmless.
    pub idempotent: bool,
    /// Time limit of a call that brings no deadline of its own, in milliseconds.
    pub timeout_ms: u64,
}
