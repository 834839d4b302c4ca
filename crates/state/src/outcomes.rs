//! Outcomes of the latest proposals by id, to recognise repeats and to answer queries.

use std::collections::{BTreeMap, VecDeque};

use model::{Code, Tenant};
use serde::{Deserialize, Serialize};
use wire::Body;

/// Largest number of proposals kept. A repeat of an older one is not recognised by its id, but is
/// still refused because its base or share is outdated or its move is decided.
const MAX_OUTCOMES: usize = 4_096;

/// Scope in which a proposal id is unique. Each tenant has its own, so that a tenant cannot block the
/// ids of another one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Scope {
    /// Configuration documents of a tenant.
    Tenant(Tenant),
    /// Changes of availability zones.
    Zones,
    /// Steps, stops and verdicts, which instances propose.
    Moves,
}

impl Scope {
    /// Returns the scope of a record, or `None` for parts of snapshots, which are not proposals.
    #[must_use]
    pub fn of(body: &Body) -> Option<Self> {
        match body {
            Body::Config { tenant, .. } => Some(Self::Tenant(tenant.clone())),
            Body::Zone { .. } => Some(Self::Zones),
            Body::Step { .. } | Body::Verdict { .. } | Body::Stop { .. } => Some(Self::Moves),
            Body::Snapshot { .. } => None,
        }
    }
}

/// A proposal in the log, with its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// Scope of the id.
    pub scope: Scope,
    /// Id of the proposal.
    pub id: String,
    /// Offset of the first record with this id.
    pub offset: u64,
    /// [`Code::Accepted`], or the reason for which the proposal was refused.
    pub code: Code,
}

/// The latest proposals, oldest first, with an index by id. Snapshots contain the list only.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "VecDeque<Proposal>", into = "VecDeque<Proposal>")]
pub(crate) struct Outcomes {
    latest: VecDeque<Proposal>,
    by_id: BTreeMap<(Scope, String), (u64, Code)>,
}

impl Outcomes {
    /// Returns the proposal with this id.
    pub(crate) fn get(&self, scope: &Scope, id: &str) -> Option<Proposal> {
        let key = (scope.clone(), id.to_owned());
        let (offset, code) = *self.by_id.get(&key)?;
        let (scope, id) = key;
        Some(Proposal {
            scope,
            id,
            offset,
            code,
        })
    }

    /// Adds a proposal, and drops the oldest one if there are too many.
    pub(crate) fn add(&mut self, proposal: Proposal) {
        let key = (proposal.scope.clone(), proposal.id.clone());
        self.by_id.insert(key, (proposal.offset, proposal.code));
        self.latest.push_back(proposal);
        if self.latest.len() <= MAX_OUTCOMES {
            return;
        }
        if let Some(old) = self.latest.pop_front() {
            self.by_id.remove(&(old.scope, old.id));
        }
    }
}

impl From<VecDeque<Proposal>> for Outcomes {
    fn from(latest: VecDeque<Proposal>) -> Self {
        let key = |p: &Proposal| ((p.scope.clone(), p.id.clone()), (p.offset, p.code));
        let by_id = latest.iter().map(key).collect();
        Self { latest, by_id }
    }
}

impl From<Outcomes> for VecDeque<Proposal> {
    fn from(outcomes: Outcomes) -> Self {
        outcomes.latest
    }
}
