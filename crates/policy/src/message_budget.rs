//! Token bucket for the messages by which slots are lent. It bounds both their number and their size.

use model::Time;

use crate::message_priority::MessagePriority;

/// Messages that one service may send per second in the long run.
pub(crate) const MESSAGES_PER_S: f64 = 2_000.0;
/// Messages that may follow each other without a pause.
pub(crate) const MESSAGE_BURST: f64 = 500.0;
/// Bytes that one service may send per second in the long run.
pub(crate) const BYTES_PER_S: f64 = 80_000.0;
/// Bytes that may follow each other without a pause.
pub(crate) const BYTE_BURST: f64 = 20_000.0;
/// Slack of the check, for rounding.
const ROUNDING: f64 = 1e-3;

/// Messages and bytes that may still be sent.
#[derive(Clone, Debug)]
pub(crate) struct MessageBudget {
    messages: f64,
    bytes: f64,
    filled: Option<Time>,
    since: Time,
    sent: (f64, f64),
}

impl MessageBudget {
    /// A full bucket.
    pub(crate) fn new() -> Self {
        Self {
            messages: MESSAGE_BURST,
            bytes: BYTE_BURST,
            filled: None,
            since: Time::default(),
            sent: (0.0, 0.0),
        }
    }

    /// Whether a message of `size` bytes may be sent.
    pub(crate) fn allows(&mut self, now: Time, size: u32, urgency: MessagePriority) -> bool {
        self.fill(now);
        let kept = urgency.reserved_share();
        self.messages >= 1.0 + kept * MESSAGE_BURST
            && self.bytes >= f64::from(size) + kept * BYTE_BURST
    }

    /// Takes the tokens of a message of `size` bytes.
    pub(crate) fn spend(&mut self, size: u32) {
        self.messages -= 1.0;
        self.bytes -= f64::from(size);
        self.sent.0 += 1.0;
        self.sent.1 += f64::from(size);
    }

    /// Whether all that was sent since the start is within rate and burst. Counted apart from the
    /// tokens, so that a fault in their refill shows.
    pub(crate) fn is_within_limits(&self, now: Time) -> bool {
        let seconds = seconds(now.since_us(self.since));
        self.sent.0 <= MESSAGE_BURST + MESSAGES_PER_S * seconds + ROUNDING
            && self.sent.1 <= BYTE_BURST + BYTES_PER_S * seconds + ROUNDING
    }

    /// The bucket with all tokens although they were spent, as a faulty refill would leave it.
    #[cfg(test)]
    pub(crate) fn refilled(&self) -> Self {
        Self {
            messages: MESSAGE_BURST,
            bytes: BYTE_BURST,
            ..self.clone()
        }
    }

    fn fill(&mut self, now: Time) {
        let Some(filled) = self.filled.replace(now) else {
            self.since = now;
            return;
        };
        let passed = seconds(now.since_us(filled));
        self.messages = (self.messages + passed * MESSAGES_PER_S).min(MESSAGE_BURST);
        self.bytes = (self.bytes + passed * BYTES_PER_S).min(BYTE_BURST);
    }
}

/// Seconds in `us` microseconds.
#[allow(clippy::cast_precision_loss, reason = "exact below 2^53 us, 285 years")]
fn seconds(us: u64) -> f64 {
    us as f64 / 1e6
}

#[cfg(test)]
mod tests;
