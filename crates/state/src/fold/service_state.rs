//! State of a service after all documents and moves so far.

use model::{Service, Tenant, Version};
use serde::{Deserialize, Serialize};

use super::MoveState;

/// Barred versions kept for each service. The oldest is dropped first.
const MAX_BARRED_VERSIONS: usize = 64;
/// Ids of earlier moves kept for each service. The deadline is part of an id, so the deadline of an
/// id that was dropped has nearly always passed, and the id can't be proposed again.
const MAX_PAST_MOVES: usize = 64;

/// A service that a tenant's document names or named. It is kept after the document drops it, so
/// that publishing twice neither frees its name for another tenant nor clears its barred versions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceState {
    /// Tenant that owns the service.
    pub tenant: Tenant,
    /// Configuration from the last document that named the service.
    pub config: Service,
    /// Whether the tenant's current document names the service.
    #[serde(rename = "listed")]
    pub configured: bool,
    /// Version that receives calls when no move is in progress.
    pub version: Version,
    /// Versions that were stopped or whose move was undone, oldest first. A move to one of them
    /// needs `retry = true`.
    pub barred: Vec<Version>,
    /// The latest move, in progress or decided.
    #[serde(rename = "shift")]
    pub last_move: Option<MoveState>,
    /// Ids of the moves before `last_move`, oldest first. An id is never reused, because steps,
    /// facts and evidence refer to their move by id.
    pub past: Vec<String>,
}

impl ServiceState {
    pub(crate) fn new(tenant: &Tenant, config: &Service) -> Self {
        Self {
            tenant: tenant.clone(),
            config: config.clone(),
            configured: true,
            version: config.version.clone(),
            barred: Vec::new(),
            last_move: None,
            past: Vec::new(),
        }
    }

    /// Starts `next_move`. The previous move must already be decided.
    pub(crate) fn start_move(&mut self, next_move: MoveState) {
        let Some(last) = self.last_move.replace(next_move) else {
            return;
        };
        debug_assert!(!last.is_open(), "{} has no verdict", last.id);
        self.past.push(last.id);
        if self.past.len() > MAX_PAST_MOVES {
            self.past.remove(0);
        }
    }

    /// Returns the move in progress, if any.
    #[must_use]
    pub fn open_move(&self) -> Option<&MoveState> {
        self.last_move.as_ref().filter(|m| m.is_open())
    }

    /// Removes `version` from the barred versions.
    pub(crate) fn unbar(&mut self, version: &Version) {
        self.barred.retain(|v| v != version);
    }
}

/// Adds `version` to the barred versions, as the latest one.
pub(crate) fn bar(barred: &mut Vec<Version>, version: &Version) {
    barred.retain(|v| v != version);
    barred.push(version.clone());
    if barred.len() > MAX_BARRED_VERSIONS {
        barred.remove(0);
    }
}
