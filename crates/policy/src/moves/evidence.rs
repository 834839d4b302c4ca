//! Counters of one move, by version and route, from all instances. The counters of a process (an
//! incarnation of an instance) only grow and are merged by maximum, so repeated and reordered
//! messages change nothing.

use std::collections::{BTreeMap, BTreeSet};

use model::{InstanceId, Version};
use wire::RouteCounts;

use super::Side;

/// Routes of a service that have counters of their own. Calls on further routes are counted
/// together under [`OTHER_ROUTE`].
pub const MAX_ROUTES: usize = 64;
/// Name under which calls are counted on all routes beyond [`MAX_ROUTES`].
pub const OTHER_ROUTE: &str = "other";
/// Peer processes whose counters are kept. A move sees 16 instances and at most 60 replacements a
/// day, far below this bound.
const MAX_PROCESSES: usize = 256;
/// Longest name of a route in bytes. Calls on routes with longer names are counted under
/// [`OTHER_ROUTE`].
const MAX_ROUTE_BYTES: usize = 96;

/// Counters of one version by route.
type Routes = BTreeMap<String, RouteCounts>;

/// Counters of one move, merged over all processes.
#[derive(Clone, Debug)]
pub struct Evidence {
    versions: [Version; 2],
    own_process: (InstanceId, u64),
    own_counts: [Routes; 2],
    /// Routes whose own counters changed since the last [`Self::take_changes`].
    changed: BTreeSet<(Side, String)>,
    /// Highest counters that each peer process has sent.
    peer_counts: BTreeMap<(InstanceId, u64), [Routes; 2]>,
    totals: [Routes; 2],
}

impl Evidence {
    /// Returns empty counters for a move from `from` to `to`. `me` and `incarnation` identify this
    /// process.
    #[must_use]
    pub fn new(from: &Version, to: &Version, me: &InstanceId, incarnation: u64) -> Self {
        Self {
            versions: [from.clone(), to.clone()],
            own_process: (me.clone(), incarnation),
            own_counts: Default::default(),
            changed: BTreeSet::new(),
            peer_counts: BTreeMap::new(),
            totals: Default::default(),
        }
    }

    /// Returns which side of the move `version` is, if it is one of its two versions.
    #[must_use]
    pub fn side(&self, version: &Version) -> Option<Side> {
        let sides = [Side::Old, Side::New];
        sides
            .into_iter()
            .find(|s| self.versions[s.index()] == *version)
    }

    /// Counts a call of this process that ended. The caller leaves out calls that no upstream ran,
    /// and never passes `slow` for a call on a cold target; otherwise every new version would look
    /// slow at first.
    pub fn count(&mut self, side: Side, route: &str, error: bool, slow: bool) {
        let route = counted_route(&self.own_counts, route).to_owned();
        let one = RouteCounts {
            calls: 1,
            errors: u64::from(error),
            slow: u64::from(slow),
        };
        add(
            self.own_counts[side.index()]
                .entry(route.clone())
                .or_default(),
            &one,
        );
        self.add_total(side, &route, &one);
        self.changed.insert((side, route));
    }

    /// Merges counters that a peer process sent. Returns how many entries were rejected: those of
    /// versions outside the move, with inconsistent counts, or beyond the bounds on routes and
    /// processes.
    pub fn merge(
        &mut self,
        instance: &InstanceId,
        incarnation: u64,
        routes: &[(Version, String, RouteCounts)],
    ) -> usize {
        let process = (instance.clone(), incarnation);
        let full =
            self.peer_counts.len() >= MAX_PROCESSES && !self.peer_counts.contains_key(&process);
        if process == self.own_process || full {
            return routes.len();
        }
        let mut rejected = 0;
        for (version, route, counts) in routes {
            let Some(side) = self.side(version) else {
                rejected += 1;
                continue;
            };
            let peer = self.peer_counts.entry(process.clone()).or_default();
            if !is_acceptable(peer, route, counts) {
                rejected += 1;
                continue;
            }
            let known = peer[side.index()].entry(route.clone()).or_default();
            let increase = raise_to(known, counts);
            self.add_total(side, route, &increase);
        }
        rejected
    }

    /// Returns the counters of this process that changed since the last call of this function. They
    /// are to be sent to all peers.
    pub fn take_changes(&mut self) -> Vec<(Version, String, RouteCounts)> {
        let changed = std::mem::take(&mut self.changed);
        let entry = |(side, route): (Side, String)| {
            let counts = self.own_counts[side.index()].get(&route)?.clone();
            Some((self.versions[side.index()].clone(), route, counts))
        };
        changed.into_iter().filter_map(entry).collect()
    }

    /// Returns all counters of this process, to be sent to a peer that has just connected.
    #[must_use]
    pub fn own_counts(&self) -> Vec<(Version, String, RouteCounts)> {
        let mut all = Vec::new();
        for (version, routes) in self.versions.iter().zip(&self.own_counts) {
            all.extend(
                routes
                    .iter()
                    .map(|(r, c)| (version.clone(), r.clone(), c.clone())),
            );
        }
        all
    }

    /// Returns the number of calls of one version over all routes and processes.
    #[must_use]
    pub fn calls(&self, side: Side) -> u64 {
        self.totals[side.index()].values().map(|c| c.calls).sum()
    }

    /// Returns the counters of one version by route, summed over all processes.
    #[must_use]
    pub fn totals(&self, side: Side) -> &BTreeMap<String, RouteCounts> {
        &self.totals[side.index()]
    }

    fn add_total(&mut self, side: Side, route: &str, increase: &RouteCounts) {
        let route = counted_route(&self.totals, route);
        let routes = &mut self.totals[side.index()];
        if let Some(total) = routes.get_mut(route) {
            return add(total, increase);
        }
        routes.insert(route.to_owned(), increase.clone());
    }
}

/// Returns the name under which calls on `route` are counted. A name that one version uses is used
/// for the other as well, so that the two can be compared.
fn counted_route<'a>(known: &[Routes; 2], route: &'a str) -> &'a str {
    let [old, new] = known;
    if old.contains_key(route) || new.contains_key(route) {
        return route;
    }
    let only_new = new.keys().filter(|r| !old.contains_key(*r)).count();
    if route.len() > MAX_ROUTE_BYTES || old.len() + only_new >= MAX_ROUTES {
        return OTHER_ROUTE;
    }
    route
}

/// Returns whether the counts of a peer are consistent and within the bounds on routes, which every
/// sender keeps.
fn is_acceptable(peer: &[Routes; 2], route: &str, counts: &RouteCounts) -> bool {
    let known = peer.iter().any(|r| r.contains_key(route));
    let has_room = peer.iter().all(|r| r.len() <= MAX_ROUTES);
    route.len() <= MAX_ROUTE_BYTES
        && (known || has_room)
        && counts.errors <= counts.calls
        && counts.slow <= counts.calls
}

fn add(total: &mut RouteCounts, more: &RouteCounts) {
    total.calls = total.calls.saturating_add(more.calls);
    total.errors = total.errors.saturating_add(more.errors);
    total.slow = total.slow.saturating_add(more.slow);
}

/// Raises each counter of `known` to at least that of `new` and returns the increase.
fn raise_to(known: &mut RouteCounts, new: &RouteCounts) -> RouteCounts {
    let increase = RouteCounts {
        calls: new.calls.saturating_sub(known.calls),
        errors: new.errors.saturating_sub(known.errors),
        slow: new.slow.saturating_sub(known.slow),
    };
    add(known, &increase);
    increase
}

#[cfg(test)]
mod tests;
