//! Requests that targets began, as this instance counts them. The totals of the latest windows are
//! sent again and again, so that a lost or repeated datagram changes nothing.

use std::collections::{BTreeMap, BTreeSet};

/// Windows before the present one that are kept. Older ones are decided.
const BEHIND: u64 = 4;

/// Totals of one window by hash of the workspace's name, in ascending order.
pub type WindowTally = (u64, Vec<(u32, u32)>);

/// Totals of this process by window and workspace.
#[derive(Clone, Debug, Default)]
pub struct UsageTallies {
    windows: BTreeMap<u64, BTreeMap<u32, u32>>,
    /// Window and workspace of the totals that have changed since they were last taken.
    changed: BTreeSet<(u64, u32)>,
}

impl UsageTallies {
    /// Counts a request that was sent in `window`, while `present` is the running window. Windows that
    /// are far from it are forgotten: they are decided, or were counted by a wrong clock.
    pub fn record(&mut self, window: u64, workspace: u32, present: u64) {
        let kept = present.saturating_sub(BEHIND)..=present;
        self.windows.retain(|known, _| kept.contains(known));
        if !kept.contains(&window) {
            return;
        }
        let total = self.windows.entry(window).or_default();
        let total = total.entry(workspace).or_default();
        *total = total.saturating_add(1);
        self.changed.insert((window, workspace));
    }

    /// Returns the totals that have changed since the last call.
    pub fn take_changed(&mut self) -> Vec<WindowTally> {
        let mut taken: BTreeMap<u64, Vec<(u32, u32)>> = BTreeMap::new();
        for (window, workspace) in std::mem::take(&mut self.changed) {
            let total = self.windows.get(&window).and_then(|w| w.get(&workspace));
            if let Some(total) = total {
                taken.entry(window).or_default().push((workspace, *total));
            }
        }
        taken.into_iter().collect()
    }

    /// Returns all totals of the windows from `first` on, and those of earlier ones that have changed
    /// since they were last taken.
    pub fn take_since(&mut self, first: u64) -> Vec<WindowTally> {
        let mut taken = self.take_changed();
        taken.retain(|(window, _)| *window < first);
        taken.extend(self.since(first));
        taken
    }

    /// Returns all totals of the windows from `first` on.
    #[must_use]
    pub fn since(&self, first: u64) -> Vec<WindowTally> {
        let windows = self.windows.range(first..);
        windows
            .map(|(w, totals)| (*w, totals.iter().map(|(k, v)| (*k, *v)).collect()))
            .collect()
    }
}

#[cfg(test)]
mod tests;
