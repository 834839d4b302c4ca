//! Reasons for which a due hedge is not sent. Without them, extra work would come at the moments at
//! which targets can bear it least.

/// Reason for which a due hedge is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldReason {
    /// The service's targets are too busy.
    Busy,
    /// Targets of the service state limits, or want no requests for a while.
    Limited,
    /// A rollout of the service is running. Its evidence needs the outcome of each first attempt.
    Rollout,
    /// A target has crashed under the request.
    Suspect,
    /// The route's attempts or the request's time are used up.
    Exhausted,
    /// The retry budget is needed for retries after failures.
    RetryBudget,
    /// The share of the service's idempotent requests is used up.
    Share,
    /// No other target can respond in time.
    NoTarget,
}

impl HoldReason {
    /// All reasons.
    pub const ALL: [Self; 8] = [
        Self::Busy,
        Self::Limited,
        Self::Rollout,
        Self::Suspect,
        Self::Exhausted,
        Self::RetryBudget,
        Self::Share,
        Self::NoTarget,
    ];

    /// Returns the name of the reason in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::Limited => "limited",
            Self::Rollout => "rollout",
            Self::Suspect => "suspect",
            Self::Exhausted => "exhausted",
            Self::RetryBudget => "retry_budget",
            Self::Share => "share",
            Self::NoTarget => "no_target",
        }
    }
}
