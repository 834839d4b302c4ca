//! A service as documents and moves left it.

use model::{Service, Tenant, Version};
use serde::{Deserialize, Serialize};

use super::MoveState;

/// Versions that are barred at a time. The oldest is forgotten first.
const MAX_BARRED: usize = 64;
/// Ids of earlier moves that are remembered. The deadline is part of an id, so an id that is older
/// than this many moves has nearly always passed its deadline.
const MAX_PAST: usize = 64;

/// A service. Kept when its tenant's document no longer names it, so that neither its name nor a
/// barred version comes free by publishing twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceState {
    /// Owner.
    pub tenant: Tenant,
    /// The service as last configured.
    pub config: Service,
    /// Whether the tenant's document names the service.
    pub listed: bool,
    /// Version in service when no move is in progress.
    pub version: Version,
    /// Versions that were taken back, oldest first.
    pub barred: Vec<Version>,
    /// The last move, in progress or decided.
    pub shift: Option<MoveState>,
    /// Ids of the moves before it, oldest first. An id is used once, because steps, facts and
    /// evidence name their move by it.
    pub past: Vec<String>,
}

impl ServiceState {
    pub(crate) fn new(tenant: &Tenant, config: &Service) -> Self {
        Self {
            tenant: tenant.clone(),
            config: config.clone(),
            listed: true,
            version: config.version.clone(),
            barred: Vec::new(),
            shift: None,
            past: Vec::new(),
        }
    }

    /// Replaces the last move, which has to be decided.
    pub(crate) fn start(&mut self, shift: MoveState) {
        let Some(last) = self.shift.replace(shift) else {
            return;
        };
        debug_assert!(!last.is_open(), "{} has no verdict", last.plan);
        self.past.push(last.plan);
        if self.past.len() > MAX_PAST {
            self.past.remove(0);
        }
    }

    /// The move in progress.
    #[must_use]
    pub fn open_move(&self) -> Option<&MoveState> {
        self.shift.as_ref().filter(|s| s.is_open())
    }

    pub(crate) fn permit(&mut self, version: &Version) {
        self.barred.retain(|v| v != version);
    }
}

/// Adds `version` to the versions that were taken back.
pub(crate) fn bar(barred: &mut Vec<Version>, version: &Version) {
    barred.retain(|v| v != version);
    barred.push(version.clone());
    if barred.len() > MAX_BARRED {
        barred.remove(0);
    }
}
