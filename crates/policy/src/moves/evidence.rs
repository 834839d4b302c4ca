//! Counters of one move, by version and route, from all instances. Counters only rise within an
//! (instance, incarnation) and are merged by maximum, so repeated and reordered messages are
//! harmless.

use std::collections::{BTreeMap, BTreeSet};

use model::{InstanceId, Version};
use wire::RouteCounts;

use super::Side;

/// Routes counted apart in each service; further ones are counted together.
pub const MAX_ROUTES: usize = 64;
/// Route that stands for all routes beyond [`MAX_ROUTES`].
pub const OTHER_ROUTE: &str = "other";
/// Processes that may contribute: 16 instances and 60 replacements a day, with room to spare.
const MAX_SOURCES: usize = 256;
/// Longest name of a route in bytes.
const MAX_ROUTE_BYTES: usize = 96;

type Routes = BTreeMap<String, RouteCounts>;

/// Merged counters of one move.
#[derive(Clone, Debug)]
pub struct Evidence {
    versions: [Version; 2],
    me: (InstanceId, u64),
    own: [Routes; 2],
    changed: BTreeSet<(Side, String)>,
    peers: BTreeMap<(InstanceId, u64), [Routes; 2]>,
    totals: [Routes; 2],
}

impl Evidence {
    /// No counters yet, for a move from `from` to `to` as counted by process `me`.
    #[must_use]
    pub fn new(from: &Version, to: &Version, me: &InstanceId, incarnation: u64) -> Self {
        Self {
            versions: [from.clone(), to.clone()],
            me: (me.clone(), incarnation),
            own: Default::default(),
            changed: BTreeSet::new(),
            peers: BTreeMap::new(),
            totals: Default::default(),
        }
    }

    /// The side of `version`, if the move concerns it.
    #[must_use]
    pub fn side(&self, version: &Version) -> Option<Side> {
        let sides = [Side::Old, Side::New];
        sides
            .into_iter()
            .find(|s| self.versions[s.index()] == *version)
    }

    /// Counts a call of this process that ended. Calls that no upstream ran are not counted. A call
    /// on a target that is cold is never `slow`, or every new version would look slow at first.
    pub fn count(&mut self, side: Side, route: &str, error: bool, slow: bool) {
        let route = bounded_route(&self.own, route).to_owned();
        let one = RouteCounts {
            calls: 1,
            errors: u64::from(error),
            slow: u64::from(slow),
        };
        add(
            self.own[side.index()].entry(route.clone()).or_default(),
            &one,
        );
        self.add_total(side, &route, &one);
        self.changed.insert((side, route));
    }

    /// Takes counters that another process sent. Returns how many were of no use: of versions that
    /// the move does not concern, inconsistent, or beyond the bounds.
    pub fn merge(
        &mut self,
        instance: &InstanceId,
        incarnation: u64,
        routes: &[(Version, String, RouteCounts)],
    ) -> usize {
        let source = (instance.clone(), incarnation);
        let full = self.peers.len() >= MAX_SOURCES && !self.peers.contains_key(&source);
        if source == self.me || full {
            return routes.len();
        }
        let mut unused = 0;
        for (version, route, counts) in routes {
            let Some(side) = self.side(version) else {
                unused += 1;
                continue;
            };
            let peer = self.peers.entry(source.clone()).or_default();
            if !fits(peer, route, counts) {
                unused += 1;
                continue;
            }
            let known = peer[side.index()].entry(route.clone()).or_default();
            let rise = raise(known, counts);
            self.add_total(side, route, &rise);
        }
        unused
    }

    /// Own counters that changed since the last call, to be sent to all peers.
    pub fn take_changes(&mut self) -> Vec<(Version, String, RouteCounts)> {
        let changed = std::mem::take(&mut self.changed);
        let entry = |(side, route): (Side, String)| {
            let counts = self.own[side.index()].get(&route)?.clone();
            Some((self.versions[side.index()].clone(), route, counts))
        };
        changed.into_iter().filter_map(entry).collect()
    }

    /// All own counters, for a peer that has just connected.
    #[must_use]
    pub fn own_counts(&self) -> Vec<(Version, String, RouteCounts)> {
        let mut all = Vec::new();
        for (version, routes) in self.versions.iter().zip(&self.own) {
            all.extend(
                routes
                    .iter()
                    .map(|(r, c)| (version.clone(), r.clone(), c.clone())),
            );
        }
        all
    }

    /// Calls of one version over all routes and processes.
    #[must_use]
    pub fn calls(&self, side: Side) -> u64 {
        self.totals[side.index()].values().map(|c| c.calls).sum()
    }

    /// Counters of one version by route, over all processes.
    #[must_use]
    pub fn totals(&self, side: Side) -> &BTreeMap<String, RouteCounts> {
        &self.totals[side.index()]
    }

    fn add_total(&mut self, side: Side, route: &str, rise: &RouteCounts) {
        let route = bounded_route(&self.totals, route);
        let routes = &mut self.totals[side.index()];
        if let Some(total) = routes.get_mut(route) {
            return add(total, rise);
        }
        routes.insert(route.to_owned(), rise.clone());
    }
}

/// The name under which `route` is counted. Both versions share the names, so that they can be
/// compared.
fn bounded_route<'a>(known: &[Routes; 2], route: &'a str) -> &'a str {
    let [old, new] = known;
    if old.contains_key(route) || new.contains_key(route) {
        return route;
    }
    let extra = new.keys().filter(|r| !old.contains_key(*r)).count();
    if route.len() > MAX_ROUTE_BYTES || old.len() + extra >= MAX_ROUTES {
        return OTHER_ROUTE;
    }
    route
}

/// Whether counters are possible and within the bound that every sender keeps to.
fn fits(peer: &[Routes; 2], route: &str, counts: &RouteCounts) -> bool {
    let known = peer.iter().any(|r| r.contains_key(route));
    let room = peer.iter().all(|r| r.len() <= MAX_ROUTES);
    route.len() <= MAX_ROUTE_BYTES
        && (known || room)
        && counts.errors <= counts.calls
        && counts.slow <= counts.calls
}

fn add(total: &mut RouteCounts, more: &RouteCounts) {
    total.calls = total.calls.saturating_add(more.calls);
    total.errors = total.errors.saturating_add(more.errors);
    total.slow = total.slow.saturating_add(more.slow);
}

/// Raises `known` to at least `new` and returns by how much.
fn raise(known: &mut RouteCounts, new: &RouteCounts) -> RouteCounts {
    let rise = RouteCounts {
        calls: new.calls.saturating_sub(known.calls),
        errors: new.errors.saturating_sub(known.errors),
        slow: new.slow.saturating_sub(known.slow),
    };
    add(known, &rise);
    rise
}

#[cfg(test)]
mod tests;
