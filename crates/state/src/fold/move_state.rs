//! State of one move of a service to another version.

use model::{MovePlan, Version, Wall};
use serde::{Deserialize, Serialize};
use wire::Verdict;

/// Steps of a move: shares of the calls sent to the new version, in basis points.
pub(crate) const SHARES_BP: [u16; 6] = [0, 100, 500, 2_000, 5_000, 10_000];
/// Share that stands for all calls, in basis points.
pub(crate) const FULL_SHARE_BP: u16 = 10_000;

/// How a move was decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Verdict of the first record, in offset order, that decided the move.
    pub verdict: Verdict,
    /// Reason for the verdict.
    pub reason: String,
    /// Time of the deciding record by its author's clock.
    pub at: Wall,
}

/// A move that is in progress or decided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveState {
    /// Move id, `service/version/deadline_ms`.
    #[serde(rename = "plan")]
    pub id: String,
    /// Version before the move.
    pub from: Version,
    /// New version.
    pub to: Version,
    /// Time by which the move has to be done. A move that is still open then is undone.
    pub deadline: Wall,
    /// Offset of the document that started the move.
    pub started: u64,
    /// Share of the calls that go to the new version, in basis points.
    pub share: u16,
    /// Offset of the record that set the share.
    pub stepped: u64,
    /// Reason for which the new version was stopped, if it was.
    pub stop: Option<String>,
    /// How the move was decided; `None` while it is open.
    pub outcome: Option<Outcome>,
}

impl MoveState {
    pub(crate) fn new(plan: &MovePlan, from: &Version, offset: u64) -> Self {
        Self {
            id: move_id(plan),
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

    /// Returns whether the move has no verdict yet.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.outcome.is_none()
    }

    /// Returns the share of the next step, or `None` at full share.
    #[must_use]
    pub fn next_share(&self) -> Option<u16> {
        SHARES_BP.into_iter().find(|s| *s > self.share)
    }
}

/// Returns the id of the move that a document asks for.
pub(crate) fn move_id(plan: &MovePlan) -> String {
    let MovePlan {
        service,
        version,
        deadline,
        ..
    } = plan;
    format!("{service}/{version}/{}", deadline.0)
}
