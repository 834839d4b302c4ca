//! Cold start: a limit that rises while the upstream serves.

/// A cold start.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// Limit at first.
    pub start: u32,
    /// Completed calls after which the limit doubles.
    pub window: u32,
    /// Factor on the service time of calls beyond the limit.
    pub penalty: f64,
}

impl Default for ColdStart {
    fn default() -> Self {
        Self {
            start: 1,
            window: 8,
            penalty: 4.0,
        }
    }
}

/// Progress of a cold start.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdRun {
    spec: ColdStart,
    completed: u32,
}

impl ColdRun {
    pub(super) const fn new(spec: ColdStart) -> Self {
        Self { spec, completed: 0 }
    }

    /// Calls that may run at present.
    pub(super) fn limit(&self) -> u32 {
        let doublings = self.completed / self.spec.window.max(1);
        let factor = 1_u32.checked_shl(doublings).unwrap_or(u32::MAX);
        self.spec.start.saturating_mul(factor)
    }

    pub(super) const fn penalty(&self) -> f64 {
        self.spec.penalty
    }

    /// Notes a completed call and returns whether the upstream is still cold.
    pub(super) fn complete(&mut self, slots: u32) -> bool {
        self.completed += 1;
        self.limit() < slots
    }
}
