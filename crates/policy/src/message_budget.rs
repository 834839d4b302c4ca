//! Token bucket that limits the number and the bytes of the messages by which slots are lent.

use model::Time;

use crate::message_priority::MessagePriority;

/// Messages per second that an instance may send for one service in the long run.
pub(crate) const MESSAGES_PER_S: f64 = 2_000.0;
/// Messages that may be sent in one burst.
pub(crate) const MESSAGE_BURST: f64 = 500.0;
/// Bytes per second that an instance may send for one service in the long run.
pub(crate) const BYTES_PER_S: f64 = 80_000.0;
/// Bytes that may be sent in one burst.
pub(crate) const BYTE_BURST: f64 = 20_000.0;
/// Tolerance of [`MessageBudget::is_within_limits`] for rounding errors.
const ROUNDING: f64 = 1e-3;

/// Tokens for messages and bytes.
#[derive(Clone, Debug)]
pub(crate) struct MessageBudget {
    messages: f64,
    bytes: f64,
    /// Time of the last refill.
    refilled_at: Option<Time>,
    /// Time of the first refill.
    started_at: Time,
    /// Messages and bytes sent since then.
    sent: (f64, f64),
}

impl MessageBudget {
    /// Creates a full bucket.
    pub(crate) fn new() -> Self {
        Self {
            messages: MESSAGE_BURST,
            bytes: BYTE_BURST,
            refilled_at: None,
            started_at: Time::default(),
            sent: (0.0, 0.0),
        }
    }

    /// Returns whether a message of `size` bytes and the given priority may be sent now.
    pub(crate) fn allows(&mut self, now: Time, size: u32, priority: MessagePriority) -> bool {
        self.refill(now);
        let reserved = priority.reserved_share();
        self.messages >= 1.0 + reserved * MESSAGE_BURST
            && self.bytes >= f64::from(size) + reserved * BYTE_BURST
    }

    /// Removes the tokens for a message of `size` bytes.
    pub(crate) fn spend(&mut self, size: u32) {
        self.messages -= 1.0;
        self.bytes -= f64::from(size);
        self.sent.0 += 1.0;
        self.sent.1 += f64::from(size);
    }

    /// Returns whether the messages and bytes sent since the start are within rate and burst. They
    /// are counted separately from the tokens, so that a fault in the refill is detected.
    pub(crate) fn is_within_limits(&self, now: Time) -> bool {
        let seconds = seconds(now.since_us(self.started_at));
        self.sent.0 <= MESSAGE_BURST + MESSAGES_PER_S * seconds + ROUNDING
            && self.sent.1 <= BYTE_BURST + BYTES_PER_S * seconds + ROUNDING
    }

    /// Returns the bucket with all tokens restored, as a faulty refill would leave it.
    #[cfg(test)]
    pub(crate) fn refilled(&self) -> Self {
        Self {
            messages: MESSAGE_BURST,
            bytes: BYTE_BURST,
            ..self.clone()
        }
    }

    /// Adds the tokens for the time since the last refill.
    fn refill(&mut self, now: Time) {
        let Some(last) = self.refilled_at.replace(now) else {
            self.started_at = now;
            return;
        };
        let passed = seconds(now.since_us(last));
        self.messages = (self.messages + passed * MESSAGES_PER_S).min(MESSAGE_BURST);
        self.bytes = (self.bytes + passed * BYTES_PER_S).min(BYTE_BURST);
    }
}

/// Converts microseconds to seconds.
#[allow(clippy::cast_precision_loss, reason = "exact below 2^53 us, 285 years")]
fn seconds(us: u64) -> f64 {
    us as f64 / 1e6
}

#[cfg(test)]
mod tests;
