//! Proposals of operators that wait for the log.
//!
//! A proposal is decided only when its record is read back. After an append, with or without an answer,
//! the log is read to its end before the record is appended again; the fold makes a second record with
//! the same id a no-op, so a late first one does no harm.

use std::collections::BTreeMap;

use async_std::channel::Sender;
use model::{Code, Time};
use state::Scope;
use wire::{ProposalAnswer, Record};

/// Proposals that may wait. Further ones are refused until the log is back.
const MAX_WAITING: usize = 256;
/// Time after which a waiting operator is told that the proposal is pending, in milliseconds.
const ANSWER_MS: u64 = 2_000;

/// How far a proposal's append has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// Passed to the appender.
    Sent,
    /// The append ended. The log must be read from its present end on.
    Ended,
    /// A read that began after the append has reached the end of the log without the record.
    Missing,
}

#[derive(Debug)]
struct Waiting {
    record: Record,
    reply: Option<Sender<ProposalAnswer>>,
    asked: Time,
    progress: Progress,
    /// Reads of the log that must still complete before the record counts as missing.
    reads: u32,
}

/// Proposals by scope and id.
#[derive(Debug, Default)]
pub struct Proposals {
    waiting: BTreeMap<(Scope, String), Waiting>,
}

impl Proposals {
    /// Whether no further proposal can be taken.
    pub fn is_full(&self) -> bool {
        self.waiting.len() >= MAX_WAITING
    }

    /// Whether a proposal waits.
    pub fn is_waiting(&self, scope: &Scope, id: &str) -> bool {
        self.waiting.contains_key(&(scope.clone(), id.to_owned()))
    }

    /// Adds a proposal whose record was passed to the appender.
    pub fn add(&mut self, now: Time, scope: Scope, record: Record, reply: Sender<ProposalAnswer>) {
        let key = (scope, record.id.clone());
        let waiting = Waiting {
            record,
            reply: Some(reply),
            asked: now,
            progress: Progress::Sent,
            reads: 0,
        };
        self.waiting.insert(key, waiting);
    }

    /// Lets another asker wait for the same proposal; the earlier one is told that it is pending.
    pub fn join(&mut self, now: Time, scope: &Scope, id: &str, reply: Sender<ProposalAnswer>) {
        let Some(waiting) = self.waiting.get_mut(&(scope.clone(), id.to_owned())) else {
            return;
        };
        if let Some(earlier) = waiting.reply.replace(reply) {
            let _ = earlier.try_send(pending(id));
        }
        waiting.asked = now;
    }

    /// Notes that the append of these records ended.
    pub fn note_ended(&mut self, ids: &[String]) {
        for ((_, id), waiting) in &mut self.waiting {
            if ids.contains(id) {
                waiting.progress = Progress::Ended;
                // The read in progress may have begun before the append took effect.
                waiting.reads = 2;
            }
        }
    }

    /// Notes a read that reached the end of the log.
    pub fn note_end(&mut self) {
        for waiting in self.waiting.values_mut() {
            if waiting.progress == Progress::Ended {
                waiting.reads = waiting.reads.saturating_sub(1);
                if waiting.reads == 0 {
                    waiting.progress = Progress::Missing;
                }
            }
        }
    }

    /// Records that the log lacks for certain, to be appended again.
    pub fn take_missing(&mut self) -> Vec<Record> {
        let missing = self
            .waiting
            .values_mut()
            .filter(|w| w.progress == Progress::Missing);
        missing
            .map(|waiting| {
                waiting.progress = Progress::Sent;
                waiting.record.clone()
            })
            .collect()
    }

    /// Answers a proposal whose record was read back.
    pub fn decide(&mut self, scope: &Scope, answer: &ProposalAnswer) {
        let key = (scope.clone(), answer.id.clone());
        let Some(waiting) = self.waiting.remove(&key) else {
            return;
        };
        if let Some(reply) = waiting.reply {
            let _ = reply.try_send(answer.clone());
        }
    }

    /// Tells askers that have waited long enough that their proposal is pending.
    pub fn tick(&mut self, now: Time) {
        for ((_, id), waiting) in &mut self.waiting {
            if now.since_us(waiting.asked) < ANSWER_MS * 1_000 {
                continue;
            }
            if let Some(reply) = waiting.reply.take() {
                let _ = reply.try_send(pending(id));
            }
        }
    }
}

/// The answer while the log has not decided.
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
