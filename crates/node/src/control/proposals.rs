//! Proposals of operators that the log has not decided yet.
//!
//! A proposal is decided only when its record is read back. After an append, with or without an answer,
//! the log is read to its end before the record is appended again; the fold ignores a second record
//! with the same id, so that a record that appears late does no harm.

use std::collections::BTreeMap;

use async_std::channel::Sender;
use model::{Code, Time};
use state::Scope;
use wire::{ProposalAnswer, Record};

/// Maximum number of waiting proposals. Further ones are refused.
const MAX_WAITING: usize = 256;
/// Time after which a waiting operator gets the answer that the proposal is pending, in milliseconds.
const PENDING_AFTER_MS: u64 = 2_000;

/// Progress of a proposal's append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AppendProgress {
    /// Passed to the appender.
    Sent,
    /// The append ended. The log must be read from its current end on.
    Ended,
    /// A read that began after the append reached the end of the log without finding the record.
    Missing,
}

#[derive(Debug)]
struct WaitingProposal {
    record: Record,
    reply: Option<Sender<ProposalAnswer>>,
    asked_at: Time,
    progress: AppendProgress,
    /// Number of reads that must still reach the end of the log before the record counts as missing.
    reads: u32,
}

/// Waiting proposals by scope and id.
#[derive(Debug, Default)]
pub struct Proposals {
    waiting: BTreeMap<(Scope, String), WaitingProposal>,
}

impl Proposals {
    /// Returns whether [`MAX_WAITING`] proposals are waiting.
    pub fn is_full(&self) -> bool {
        self.waiting.len() >= MAX_WAITING
    }

    /// Returns whether a proposal is waiting for the log.
    pub fn is_waiting(&self, scope: &Scope, id: &str) -> bool {
        self.waiting.contains_key(&(scope.clone(), id.to_owned()))
    }

    /// Adds a proposal whose record was passed to the appender.
    pub fn add(&mut self, now: Time, scope: Scope, record: Record, reply: Sender<ProposalAnswer>) {
        let key = (scope, record.id.clone());
        let waiting = WaitingProposal {
            record,
            reply: Some(reply),
            asked_at: now,
            progress: AppendProgress::Sent,
            reads: 0,
        };
        self.waiting.insert(key, waiting);
    }

    /// Replaces the reply channel of a waiting proposal that was submitted again. The earlier channel
    /// gets the answer that the proposal is pending.
    pub fn replace_reply(
        &mut self,
        now: Time,
        scope: &Scope,
        id: &str,
        reply: Sender<ProposalAnswer>,
    ) {
        let Some(waiting) = self.waiting.get_mut(&(scope.clone(), id.to_owned())) else {
            return;
        };
        if let Some(earlier) = waiting.reply.replace(reply) {
            let _ = earlier.try_send(pending(id));
        }
        waiting.asked_at = now;
    }

    /// Records that the append of these records ended.
    pub fn record_append_ended(&mut self, ids: &[String]) {
        for ((_, id), waiting) in &mut self.waiting {
            if ids.contains(id) {
                waiting.progress = AppendProgress::Ended;
                // The read in progress may have begun before the append took effect.
                waiting.reads = 2;
            }
        }
    }

    /// Records that a read reached the end of the log.
    pub fn record_log_end(&mut self) {
        for waiting in self.waiting.values_mut() {
            if waiting.progress == AppendProgress::Ended {
                waiting.reads = waiting.reads.saturating_sub(1);
                if waiting.reads == 0 {
                    waiting.progress = AppendProgress::Missing;
                }
            }
        }
    }

    /// Returns the records that are certainly not in the log and have to be appended again.
    pub fn take_missing(&mut self) -> Vec<Record> {
        let missing = self
            .waiting
            .values_mut()
            .filter(|w| w.progress == AppendProgress::Missing);
        missing
            .map(|waiting| {
                waiting.progress = AppendProgress::Sent;
                waiting.record.clone()
            })
            .collect()
    }

    /// Removes a proposal whose record was read back and sends its answer.
    pub fn decide(&mut self, scope: &Scope, answer: &ProposalAnswer) {
        let key = (scope.clone(), answer.id.clone());
        let Some(waiting) = self.waiting.remove(&key) else {
            return;
        };
        if let Some(reply) = waiting.reply {
            let _ = reply.try_send(answer.clone());
        }
    }

    /// Answers proposals that have waited for [`PENDING_AFTER_MS`] as pending.
    pub fn tick(&mut self, now: Time) {
        for ((_, id), waiting) in &mut self.waiting {
            if now.since_us(waiting.asked_at) < PENDING_AFTER_MS * 1_000 {
                continue;
            }
            if let Some(reply) = waiting.reply.take() {
                let _ = reply.try_send(pending(id));
            }
        }
    }
}

/// Returns the answer for a proposal that the log has not decided.
pub fn pending(id: &str) -> ProposalAnswer {
    ProposalAnswer {
        id: id.to_owned(),
        code: Code::Pending,
        offset: None,
        detail: "the log has not answered yet; ask again with the proposal id".to_owned(),
    }
}

#[cfg(test)]
mod tests;
