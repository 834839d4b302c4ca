//! What decides whether a hedge may be sent, apart from the limits on their number.

/// State of a request and of its service at the moment at which a hedge is due.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HedgeConditions {
    /// Mean share of the slots of the service's targets that is busy.
    pub load: f64,
    /// Whether targets of the service state limits, or want no requests for a while.
    pub is_limited: bool,
    /// Whether a rollout of the service is running.
    pub in_rollout: bool,
    /// Whether a target has crashed under the request.
    pub is_suspect: bool,
}
