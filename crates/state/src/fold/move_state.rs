//! One move of a service to a version.

use model::{MovePlan, Version, Wall};
use serde::{Deserialize, Serialize};
use wire::Verdict;

/// Shares of calls on the new version, in basis points, in the order in which they are taken.
pub(crate) const SHARES: [u16; 6] = [0, 100, 500, 2_000, 5_000, 10_000];
/// All calls, in basis points.
pub(crate) const FULL_SHARE: u16 = 10_000;

/// How a move ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// First verdict in offset order.
    pub verdict: Verdict,
    /// Why.
    pub reason: String,
    /// Author's time of the deciding record.
    pub at: Wall,
}

/// A move, in progress or decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveState {
    /// Move id, `service/version/deadline_ms`.
    pub plan: String,
    /// Version before the move.
    pub from: Version,
    /// Version moved to.
    pub to: Version,
    /// Time by which the move is decided.
    pub deadline: Wall,
    /// Offset of the document that started the move.
    pub started: u64,
    /// Share of calls on `to`, in basis points.
    pub share: u16,
    /// Offset of the record that set the share.
    pub stepped: u64,
    /// Why the version was stopped.
    pub stop: Option<String>,
    /// How the move ended.
    pub outcome: Option<Outcome>,
}

impl MoveState {
    pub(crate) fn new(plan: &MovePlan, from: &Version, offset: u64) -> Self {
        Self {
            plan: plan_id(plan),
            from: from.clone(),
            to: plan.version.clone(),
            deadline: plan.deadline,
            started: offset,
            share: 0,
            stepped: offset,
            stop: None,
            outcome: None,
        }
    }

    /// Whether there is no verdict yet.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.outcome.is_none()
    }

    /// The share that may follow the current one.
    #[must_use]
    pub fn next_share(&self) -> Option<u16> {
        SHARES.into_iter().find(|s| *s > self.share)
    }
}

/// Id of the move that a document asks for.
pub(crate) fn plan_id(plan: &MovePlan) -> String {
    let MovePlan {
        service,
        version,
        deadline,
        ..
    } = plan;
    format!("{service}/{version}/{}", deadline.0)
}
