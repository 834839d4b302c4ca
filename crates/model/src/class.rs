//! A class of work within a service.

use serde::{Deserialize, Serialize};

use crate::ClassName;

/// Configuration of one class of work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Class {
    /// Name, unique within the service.
    pub name: ClassName,
    /// Target time of a call, from its arrival to the complete response, in milliseconds.
    pub target_ms: u64,
    /// Longest time that a call may wait at an instance before it starts, in milliseconds.
    pub delay_ms: u64,
    /// Whether a call may run more than once without harm.
    pub idempotent: bool,
    /// Time limit of a call that states no deadline, in milliseconds.
    pub timeout_ms: u64,
}
