//! Load of a run.

/// Periodic bursts of calls.
#[derive(Clone, Copy, Debug)]
pub struct Bursts {
    /// Time from the start of one burst to the start of the next, in milliseconds.
    pub interval_ms: u64,
    /// Duration of a burst, in milliseconds.
    pub duration_ms: u64,
    /// Factor on the rate of calls during a burst.
    pub factor: f64,
}

/// Load of a run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Load of all callers except the noisy one, without bursts, as a fraction of the slot
    /// capacity.
    pub load: f64,
    /// Duration of the run, in seconds.
    pub seconds: f64,
    /// Seed of the arrivals and service times.
    pub seed: u64,
    /// Number of callers that share the load.
    pub callers: usize,
    /// Bursts, if any.
    pub bursts: Option<Bursts>,
    /// Load of an additional, noisy caller, as a fraction of the slot capacity.
    pub noisy_load: f64,
}

impl Plan {
    /// Returns a plan for a steady load from 12 callers.
    #[must_use]
    pub const fn steady(load: f64, seconds: f64, seed: u64) -> Self {
        Self {
            load,
            seconds,
            seed,
            callers: 12,
            bursts: None,
            noisy_load: 0.0,
        }
    }
}
