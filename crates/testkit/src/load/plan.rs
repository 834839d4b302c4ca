//! What load to send.

/// Periodic bursts.
#[derive(Clone, Copy, Debug)]
pub struct Bursts {
    /// Time from the start of one burst to that of the next, in milliseconds.
    pub every_ms: u64,
    /// Length of a burst in milliseconds.
    pub length_ms: u64,
    /// Factor on the rate during a burst.
    pub factor: f64,
}

/// Load of one run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Part of the slot capacity that the callers together ask for, without bursts and noise.
    pub load: f64,
    /// Length of the run in seconds.
    pub seconds: f64,
    /// Seed of arrivals and service times.
    pub seed: u64,
    /// Callers that share the load.
    pub callers: usize,
    /// Bursts, if any.
    pub bursts: Option<Bursts>,
    /// Load of one further caller, as part of the slot capacity.
    pub noisy: f64,
}

impl Plan {
    /// A steady plan.
    #[must_use]
    pub const fn steady(load: f64, seconds: f64, seed: u64) -> Self {
        Self {
            load,
            seconds,
            seed,
            callers: 12,
            bursts: None,
            noisy: 0.0,
        }
    }
}
