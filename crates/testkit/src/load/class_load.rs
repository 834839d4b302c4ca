//! A class of a service and its share of the load.

/// A class of a service and its share of the load.
#[derive(Clone, Copy, Debug)]
pub struct ClassLoad {
    /// Name of the class.
    pub name: &'static str,
    /// Path of the calls.
    pub path: &'static str,
    /// Fraction of the service's calls that belong to the class.
    pub share: f64,
    /// Target time in milliseconds.
    pub target_ms: u64,
    /// Tolerated delay in milliseconds.
    pub delay_ms: u64,
    /// Whether calls are idempotent.
    pub idempotent: bool,
}
