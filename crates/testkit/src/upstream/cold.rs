//! Cold start: a limit of concurrent calls that rises as the upstream completes calls.

/// Parameters of a cold start.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// Limit at the beginning.
    pub initial_limit: u32,
    /// Number of completed calls after which the limit doubles.
    pub doubling_calls: u32,
    /// Factor on the service time of calls beyond the limit.
    pub slowdown: f64,
}

impl Default for ColdStart {
    fn default() -> Self {
        Self {
            initial_limit: 1,
            doubling_calls: 8,
            slowdown: 4.0,
        }
    }
}

/// Progress of a cold start.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdProgress {
    spec: ColdStart,
    completed: u32,
}

impl ColdProgress {
    pub(super) const fn new(spec: ColdStart) -> Self {
        Self { spec, completed: 0 }
    }

    /// Returns the number of calls that may run at present without a slowdown.
    pub(super) fn limit(&self) -> u32 {
        let doublings = self.completed / self.spec.doubling_calls.max(1);
        let factor = 1_u32.checked_shl(doublings).unwrap_or(u32::MAX);
        self.spec.initial_limit.saturating_mul(factor)
    }

    pub(super) const fn slowdown(&self) -> f64 {
        self.spec.slowdown
    }

    /// Records a completed call. Returns whether the upstream is still cold.
    pub(super) fn record_completed(&mut self, slots: u32) -> bool {
        self.completed += 1;
        self.limit() < slots
    }
}
