//! Times that the holder of the usage reports keeps to.

/// Time after a window's end at which it is decided, in microseconds. The last totals of an instance
/// arrive within 2 s of the end, also when a datagram is lost.
const DECIDE_AFTER_US: u64 = 4_000_000;
/// Time for which an unreachable platform is awaited before the claim is given up, in microseconds.
const GIVE_UP_US: u64 = 3_000_000;
/// Time after giving up in which an instance does not claim again, in microseconds.
const REST_US: u64 = 10_000_000;
/// Time beyond the lease that others wait before they claim, in microseconds. A call that was written
/// at the end of the lease has arrived by then.
const MARGIN_US: u64 = 300_000;
/// Part of a lease after which it is renewed.
const RENEW_DIVISOR: u64 = 3;

/// Settings of the deployment for usage reports, and the times that follow from them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageBounds {
    /// Length of a window in microseconds.
    pub window_us: u64,
    /// Time after a window's end at which its report is due, in microseconds.
    pub due_us: u64,
    /// Time in which calls of two holders must not alternate, in microseconds. A claim lasts twice as
    /// long.
    pub lease_us: u64,
    /// Least time between two calls to the platform, in microseconds.
    pub call_gap_us: u64,
    /// Time limit of a call to the platform, in microseconds.
    pub call_limit_us: u64,
}

impl UsageBounds {
    /// Returns the number of the window in which `true_us` lies.
    #[must_use]
    pub fn window_at(&self, true_us: u64) -> u64 {
        true_us / self.window_us
    }

    /// Returns the true time at which a window ends.
    #[must_use]
    pub fn end_us(&self, window: u64) -> u64 {
        window.saturating_add(1).saturating_mul(self.window_us)
    }

    /// Returns the latest window that is to be decided by `true_us`; `None` if there is none.
    #[must_use]
    pub fn latest_ready(&self, true_us: u64) -> Option<u64> {
        let ended = true_us.checked_sub(DECIDE_AFTER_US)? / self.window_us;
        ended.checked_sub(1)
    }

    /// Returns the time for which a claim lasts after the write that made or renewed it.
    #[must_use]
    pub fn claim_us(&self) -> u64 {
        2 * self.lease_us
    }

    /// Returns the time after the last record of a holder until another one may claim.
    #[must_use]
    pub fn silence_us(&self) -> u64 {
        self.claim_us() + MARGIN_US
    }

    /// Returns the time after a claim was given up until another one may claim. It keeps the calls of
    /// three holders in a row further apart than `lease_us`.
    #[must_use]
    pub fn vacancy_us(&self) -> u64 {
        self.lease_us + MARGIN_US
    }

    /// Returns the time after a write at which the lease is renewed.
    #[must_use]
    pub fn renew_us(&self) -> u64 {
        self.claim_us() / RENEW_DIVISOR
    }

    /// Returns the time that the lease must have left when a call is sent.
    #[must_use]
    pub fn reach_us(&self) -> u64 {
        self.call_limit_us + MARGIN_US
    }

    /// Returns the time for which an unreachable platform is awaited.
    #[must_use]
    pub fn give_up_us(&self) -> u64 {
        GIVE_UP_US
    }

    /// Returns the time after giving up in which an instance does not claim.
    #[must_use]
    pub fn rest_us(&self) -> u64 {
        REST_US
    }
}
