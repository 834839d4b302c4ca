//! Counts the attempts of a call that were sent or refused, and derives the outcome that its caller
//! is given.

use std::sync::atomic::{AtomicU32, Ordering};

use model::{Code, Outcome};

/// Counts the attempts of one call that were sent and those that the upstream refused.
#[derive(Debug, Default)]
pub struct Ledger {
    sent: AtomicU32,
    refused: AtomicU32,
}

impl Ledger {
    /// Records that the first byte of a further attempt was sent.
    pub fn record_sent(&self) {
        self.sent.fetch_add(1, Ordering::AcqRel);
    }

    /// Records that the upstream refused to run an attempt that was sent.
    pub fn record_refused(&self) {
        self.refused.fetch_add(1, Ordering::AcqRel);
    }

    /// Returns the number of attempts of which at least one byte was sent.
    pub fn sent(&self) -> u32 {
        self.sent.load(Ordering::Acquire)
    }

    /// Returns whether an upstream may have run the call.
    pub fn may_have_run(&self) -> bool {
        self.sent() > self.refused.load(Ordering::Acquire)
    }
}

/// Why a call was not served. The fields are private so that only [`conclude`], which checks the
/// call's ledger, can state that a call was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    code: Code,
    retry_ms: u32,
}

impl Failure {
    /// Returns the result code.
    pub const fn code(self) -> Code {
        self.code
    }

    /// Returns the delay after which the caller may retry, in milliseconds.
    pub const fn retry_ms(self) -> u32 {
        self.retry_ms
    }

    /// Returns the outcome that the caller is given.
    pub const fn outcome(self) -> Outcome {
        self.code.outcome()
    }
}

/// Returns the failure of a call with result code `code`. If `code` states that the call was not
/// run although an upstream may have run it, the failure has `unknown_code` instead: the code of the
/// last failed attempt that may have run.
pub fn conclude(ledger: &Ledger, code: Code, retry_ms: u32, unknown_code: Option<Code>) -> Failure {
    if code.outcome() == Outcome::Unknown || !ledger.may_have_run() {
        return Failure { code, retry_ms };
    }
    let code = unknown_code.filter(|c| c.outcome() == Outcome::Unknown);
    Failure {
        code: code.unwrap_or(Code::UpstreamClosed),
        retry_ms: 0,
    }
}

#[cfg(test)]
mod tests;
