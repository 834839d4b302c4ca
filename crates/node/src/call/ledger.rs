//! What is known of where a call went, and the conclusion that follows for its caller.

use std::sync::atomic::{AtomicU32, Ordering};

use model::{Code, Outcome};

/// Counts the attempts of one call by what became of them.
#[derive(Debug, Default)]
pub struct Ledger {
    sent: AtomicU32,
    refused: AtomicU32,
}

impl Ledger {
    /// A byte of a further attempt left for an upstream.
    pub fn note_sent(&self) {
        self.sent.fetch_add(1, Ordering::AcqRel);
    }

    /// The upstream of an attempt that was sent refused to run it.
    pub fn note_refused(&self) {
        self.refused.fetch_add(1, Ordering::AcqRel);
    }

    /// Attempts of which a byte left.
    pub fn sent(&self) -> u32 {
        self.sent.load(Ordering::Acquire)
    }

    /// Whether an upstream may have run the call.
    pub fn may_have_run(&self) -> bool {
        self.sent() > self.refused.load(Ordering::Acquire)
    }
}

/// Why a call was not served. Its fields are private: [`conclude`] is the only way to a statement
/// that a call was not run, and needs the call's ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    code: Code,
    retry_ms: u32,
}

impl Failure {
    /// Result code.
    pub const fn code(self) -> Code {
        self.code
    }

    /// When another try makes sense, in milliseconds.
    pub const fn retry_ms(self) -> u32 {
        self.retry_ms
    }

    /// What the caller may conclude.
    pub const fn outcome(self) -> Outcome {
        self.code.outcome()
    }
}

/// The failure of a call for reason `code`. If an upstream may have run it, the result is `unknown`
/// instead, the code of the attempt that may have run.
pub fn conclude(ledger: &Ledger, code: Code, retry_ms: u32, unknown: Option<Code>) -> Failure {
    if code.outcome() == Outcome::Unknown || !ledger.may_have_run() {
        return Failure { code, retry_ms };
    }
    let code = unknown.filter(|c| c.outcome() == Outcome::Unknown);
    Failure {
        code: code.unwrap_or(Code::UpstreamClosed),
        retry_ms: 0,
    }
}

#[cfg(test)]
mod tests;
