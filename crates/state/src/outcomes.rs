//! Outcomes of the last proposals by id, to recognise repeats and to answer queries.

use std::collections::{BTreeMap, VecDeque};

use model::{Code, Tenant};
use serde::{Deserialize, Serialize};
use wire::Body;

/// Proposals remembered. A repeat of an older one is refused by its base, `from` or verdict instead.
const MAX_OUTCOMES: usize = 4_096;

/// Who chooses the ids. Rival tenants must not be able to use up each other's ids.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Scope {
    /// Documents of a tenant.
    Tenant(Tenant),
    /// Changes of availability zones.
    Zones,
    /// Steps, stops and verdicts, which instances propose.
    Moves,
}

impl Scope {
    /// The scope of a record; `None` for parts of snapshots, which are no proposals.
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

/// A proposal that the log holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// Who chose the id.
    pub scope: Scope,
    /// Id.
    pub id: String,
    /// Offset of its first record.
    pub offset: u64,
    /// What became of it.
    pub code: Code,
}

/// The last proposals, oldest first, with an index that is not part of snapshots.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "VecDeque<Proposal>", into = "VecDeque<Proposal>")]
pub(crate) struct Outcomes {
    last: VecDeque<Proposal>,
    by_id: BTreeMap<(Scope, String), (u64, Code)>,
}

impl Outcomes {
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

    pub(crate) fn add(&mut self, proposal: Proposal) {
        let key = (proposal.scope.clone(), proposal.id.clone());
        self.by_id.insert(key, (proposal.offset, proposal.code));
        self.last.push_back(proposal);
        if self.last.len() <= MAX_OUTCOMES {
            return;
        }
        if let Some(old) = self.last.pop_front() {
            self.by_id.remove(&(old.scope, old.id));
        }
    }
}

impl From<VecDeque<Proposal>> for Outcomes {
    fn from(last: VecDeque<Proposal>) -> Self {
        let key = |p: &Proposal| ((p.scope.clone(), p.id.clone()), (p.offset, p.code));
        let by_id = last.iter().map(key).collect();
        Self { last, by_id }
    }
}

impl From<Outcomes> for VecDeque<Proposal> {
    fn from(outcomes: Outcomes) -> Self {
        outcomes.last
    }
}
