//! The reason why a request ends without a response of a target, and when its caller may retry.

use balance::Promise;
use model::Code;

/// Time after which a caller may retry while the instance may lack a route or a key, knows no target or cannot
/// connect to one, in milliseconds.
const UNKNOWN_RETRY_MS: u32 = 250;
/// Time after which a caller may retry while all targets are busy, in milliseconds. A slot becomes
/// free in about this time.
const BUSY_RETRY_MS: u32 = 40;
/// Time after which a caller may retry while the memory or the connections of the instance are in use, in
/// milliseconds. Callers that have stopped count as such after 500 ms.
const NO_ROOM_RETRY_MS: u32 = 500;
/// Time after which a caller may send a request again that is in progress here and under which two
/// targets have crashed, in milliseconds. By then all instances know whether it crashes a third.
const SUSPECTED_RETRY_MS: u64 = 1_000;
/// Longest time after which a caller is told to send a request again that crashes targets, in
/// milliseconds.
const MAX_HELD_MS: u64 = 60_000;
/// Longest time after which a caller is told to retry, in milliseconds. Limits of targets may end
/// any moment.
const MAX_RETRY_MS: f64 = 2_000.0;

/// The reason why a request ends without a response of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Result code.
    pub code: Code,
    /// Time after which the caller may retry, in milliseconds.
    pub retry_ms: Option<u32>,
    /// Room that was promised to the caller, if any was.
    pub promise: Option<Promise>,
}

impl Refusal {
    /// Returns the refusal of a request by an instance that expects to be ready after `ready_ms`.
    pub fn starting(ready_ms: u64) -> Self {
        Self {
            code: Code::NotReady,
            retry_ms: u32::try_from(ready_ms).ok(),
            promise: None,
        }
    }

    /// Returns the refusal of a request that crashes targets, for `left_us` more, or of one that may do
    /// so and is in progress here already.
    pub fn quarantined(left_us: Option<u64>) -> Self {
        let retry_ms = left_us.map_or(SUSPECTED_RETRY_MS, |us| (us / 1_000).min(MAX_HELD_MS));
        Self {
            code: Code::Quarantined,
            retry_ms: u32::try_from(retry_ms).ok(),
            promise: None,
        }
    }

    /// Returns the refusal of a request whose targets take none now. Those that state a limit take
    /// `rate` requests a second from all instances together; the first of those that have turned
    /// requests away takes them again after `reopens_ms`.
    pub fn at_limit(rate: Option<f64>, reopens_ms: Option<u64>) -> Self {
        let at_rate_ms = rate.map(retry_ms_at);
        let reopens_ms = reopens_ms.map(|ms| u32::try_from(ms).unwrap_or(u32::MAX));
        Self {
            code: Code::LimitReached,
            retry_ms: at_rate_ms.into_iter().chain(reopens_ms).min(),
            promise: None,
        }
    }

    /// Returns the refusal of a request that cannot meet its objective, with the room that its caller
    /// was promised. Without any, the caller is not asked to return.
    pub fn ordered(promise: Option<Promise>) -> Self {
        Self {
            code: Code::CannotMeet,
            retry_ms: promise.map(|promise| promise.retry_ms),
            promise,
        }
    }

    /// Returns the refusal of a request that cannot wait for a slot. Its caller has `left_ms` left and comes
    /// back after at most a third of that; then `needed_ms` must be left.
    pub fn busy(left_ms: f64, needed_ms: f64) -> Self {
        let retry_ms = f64::from(BUSY_RETRY_MS);
        let is_in_reach = retry_ms <= left_ms / 3.0 && retry_ms + needed_ms <= left_ms;
        Self {
            code: Code::CannotMeet,
            retry_ms: is_in_reach.then_some(BUSY_RETRY_MS),
            promise: None,
        }
    }
}

/// Returns the time in which targets take one more request, if they take `rate` a second.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to a few seconds"
)]
fn retry_ms_at(rate: f64) -> u32 {
    (1_000.0 / rate).clamp(f64::from(BUSY_RETRY_MS), MAX_RETRY_MS) as u32
}

impl From<Code> for Refusal {
    fn from(code: Code) -> Self {
        let retry_ms = match code {
            Code::RouteUnsure
            | Code::AccessUnsure
            | Code::NoTarget
            | Code::ConnectFailed
            | Code::CutOff => Some(UNKNOWN_RETRY_MS),
            Code::NoRoom => Some(NO_ROOM_RETRY_MS),
            // Another instance takes the request at once.
            Code::Stopping => Some(0),
            Code::CannotMeet | Code::UpstreamRefused => Some(BUSY_RETRY_MS),
            _ => None,
        };
        Self {
            code,
            retry_ms,
            promise: None,
        }
    }
}

#[cfg(test)]
mod tests;
