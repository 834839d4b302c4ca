//! Counts of the requests in a planned stop.

/// Counts of the requests that ended since the instance was told to stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StopCounts {
    /// Responses, of targets or of this instance.
    pub answered: u64,
    /// Of these, refusals that promise that the request has not run.
    pub refused: u64,
    /// Of these, requests that still ran at the end of the stop.
    pub broken_off: u64,
}
