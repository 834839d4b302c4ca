//! Totals of all processes, as a collector has them. The last totals of a process that has ended are
//! kept, so that half of all instances can end within a window.

use std::collections::{BTreeMap, HashMap};

use model::InstanceId;

use crate::usage::{SLOTS, WindowTally};

/// Windows after the present one whose totals are taken, for instances whose clock is ahead.
const AHEAD: u64 = 1;
/// Windows before the present one whose totals are kept; as many as can be decided, and two that
/// still run or wait for the last totals.
const BEHIND: u64 = SLOTS + 2;
/// Most processes that are kept in a window. A deployment has up to 471 instances, of which any may
/// be replaced in a window.
const MAX_PROCESSES: usize = 2_000;

/// Totals by workspace, in ascending order of the hashes.
type ByWorkspace = Vec<(u32, u32)>;

/// Totals of the latest windows by process.
#[derive(Clone, Debug, Default)]
pub struct UsageTotals {
    windows: BTreeMap<u64, HashMap<(InstanceId, u64), ByWorkspace>>,
}

impl UsageTotals {
    /// Records totals that a process has sent while `present` is the running window. Those of windows
    /// that are far from it are ignored, and so are totals lower than the known ones: they are late.
    pub fn record(
        &mut self,
        instance: &InstanceId,
        incarnation: u64,
        tallies: &[WindowTally],
        present: u64,
    ) {
        self.windows = self.windows.split_off(&present.saturating_sub(BEHIND));
        let taken = present.saturating_sub(BEHIND)..=present.saturating_add(AHEAD);
        for (window, tally) in tallies.iter().filter(|(w, _)| taken.contains(w)) {
            let processes = self.windows.entry(*window).or_default();
            let process = (instance.clone(), incarnation);
            if processes.len() >= MAX_PROCESSES && !processes.contains_key(&process) {
                continue;
            }
            let known = processes.entry(process).or_default();
            for (workspace, total) in tally {
                raise(known, *workspace, *total);
            }
        }
    }

    /// Returns the sums of a window by workspace, while `present` is the running window; `None` if the
    /// totals of the window are no longer kept.
    #[must_use]
    pub fn kept_sums(&self, window: u64, present: u64) -> Option<BTreeMap<u32, u64>> {
        let is_kept = window >= present.saturating_sub(BEHIND);
        is_kept.then(|| self.sums(window))
    }

    /// Returns the sums of a window by workspace.
    #[must_use]
    pub fn sums(&self, window: u64) -> BTreeMap<u32, u64> {
        let mut sums = BTreeMap::new();
        let processes = self
            .windows
            .get(&window)
            .into_iter()
            .flat_map(HashMap::values);
        for (workspace, total) in processes.flatten() {
            *sums.entry(*workspace).or_default() += u64::from(*total);
        }
        sums
    }
}

/// Sets a total, unless the known one is higher.
fn raise(totals: &mut ByWorkspace, workspace: u32, total: u32) {
    match totals.binary_search_by_key(&workspace, |(known, _)| *known) {
        Ok(at) => totals[at].1 = totals[at].1.max(total),
        Err(at) => totals.insert(at, (workspace, total)),
    }
}

#[cfg(test)]
mod tests;
