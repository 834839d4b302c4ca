//! Load of one class.

/// A class and its part of the service's calls.
#[derive(Clone, Copy, Debug)]
pub struct ClassLoad {
    /// Name.
    pub name: &'static str,
    /// Path of its calls.
    pub path: &'static str,
    /// Share of the service's calls.
    pub share: f64,
    /// Target in milliseconds.
    pub target_ms: u64,
    /// Allowed delay in milliseconds.
    pub delay_ms: u64,
    /// Whether calls may be repeated.
    pub idempotent: bool,
}
