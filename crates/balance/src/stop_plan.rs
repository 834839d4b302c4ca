//! Times of a planned stop: until when callers may come.

/// Time until callers that ask for addresses are no longer told of a stopping instance, in
/// microseconds: its report, the next digest, and the way of both.
const NOTICE_US: u64 = 1_000_000;
/// Callers keep addresses for up to this multiple of the stated time.
const KEPT_FACTOR: u64 = 3;
/// Longest and shortest time for which callers may keep addresses, in milliseconds. A longer time
/// saves queries.
const MAX_TTL_MS: u64 = 3_000;
const MIN_TTL_MS: u64 = 500;
/// Times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan;

impl StopPlan {
    /// Returns the time for which callers may keep addresses, in milliseconds, so that none still has
    /// that of a stopping instance after four fifths of its `total_us`.
    #[must_use]
    pub fn address_ttl_ms(total_us: u64) -> u64 {
        let kept_us = (total_us / 5 * 4).saturating_sub(NOTICE_US);
        (kept_us / KEPT_FACTOR / 1_000).clamp(MIN_TTL_MS, MAX_TTL_MS)
    }
}

#[cfg(test)]
mod tests;
