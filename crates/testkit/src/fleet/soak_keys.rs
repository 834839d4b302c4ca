//! Keys of workspaces that are added, removed and moved during a soak, and the workspaces that a
//! request with a key may be served for.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use rand::{Rng, SeedableRng, rngs::StdRng, seq::IteratorRandom};
use serde_json::{Value, json};

const WORKSPACES: [&str; 3] = ["red", "green", "blue"];
/// Number of keys at the start.
const FIRST_KEYS: usize = 6;
/// Bounds on the number of keys.
const MIN_KEYS: usize = 3;
const MAX_KEYS: usize = 12;
/// Proportion of requests that carry a removed key.
const REMOVED_SHARE: f64 = 0.1;

/// Workspace of each key.
type Owners = BTreeMap<String, &'static str>;

/// All lists of keys of a run.
pub(super) struct KeyHistory {
    rng: StdRng,
    /// Lists with the times of their publication, oldest first.
    lists: Vec<(Instant, Owners)>,
    /// Keys that were removed. A removed key is never added again.
    removed: Vec<String>,
    /// Number of the next key.
    next: usize,
}

impl KeyHistory {
    /// Returns a history with a first list, which counts as published at any earlier time.
    pub(super) fn new(seed: u64) -> Self {
        let mut history = Self {
            rng: StdRng::seed_from_u64(seed),
            lists: Vec::new(),
            removed: Vec::new(),
            next: 0,
        };
        let mut owners = Owners::new();
        for _ in 0..FIRST_KEYS {
            history.add(&mut owners);
        }
        history.lists.push((Instant::now(), owners));
        history
    }

    /// Returns the time of the first list.
    pub(super) fn start(&self) -> Instant {
        self.lists[0].0
    }

    /// Adds, removes or moves a key. Returns what was done.
    pub(super) fn change(&mut self) -> String {
        let mut owners = self.latest().clone();
        let choice = match owners.len() {
            ..=MIN_KEYS => 0,
            MAX_KEYS.. => 1,
            _ => self.rng.random_range(0..3),
        };
        let key = owners.keys().choose(&mut self.rng).cloned();
        let name = match (choice, key) {
            (1, Some(key)) => {
                owners.remove(&key);
                self.removed.push(key.clone());
                format!("{key} removed")
            }
            (2, Some(key)) => {
                let workspace = self.workspace();
                owners.insert(key.clone(), workspace);
                format!("{key} moved to {workspace}")
            }
            _ => format!("{} added", self.add(&mut owners)),
        };
        self.lists.push((Instant::now(), owners));
        name
    }

    fn add(&mut self, owners: &mut Owners) -> String {
        let key = format!("8m82thhkmgjqnirt{:04}", self.next);
        self.next += 1;
        owners.insert(key.clone(), self.workspace());
        key
    }

    fn workspace(&mut self) -> &'static str {
        WORKSPACES[self.rng.random_range(0..WORKSPACES.len())]
    }

    fn latest(&self) -> &Owners {
        &self.lists[self.lists.len() - 1].1
    }

    /// Returns the key of a request: mostly one of the latest list, sometimes a removed one.
    pub(super) fn pick(&mut self) -> Option<String> {
        let is_removed = self.rng.random_bool(REMOVED_SHARE) && !self.removed.is_empty();
        if is_removed {
            return self.removed.iter().choose(&mut self.rng).cloned();
        }
        let owners = &self.lists[self.lists.len() - 1].1;
        owners.keys().choose(&mut self.rng).cloned()
    }

    /// Returns a key of the latest list.
    pub(super) fn valid_key(&self) -> Option<String> {
        self.latest().keys().next().cloned()
    }

    /// Returns the latest list as `tenants` of a configuration.
    pub(super) fn tenants(&self) -> Value {
        let entry = |name: &&str| {
            let own = self.latest().iter().filter(|(_, owner)| *owner == name);
            let keys: Vec<&String> = own.map(|(key, _)| key).collect();
            json!({ "name": name, "api_keys": keys, "priority": 1 })
        };
        WORKSPACES.iter().map(entry).collect()
    }

    /// Returns the workspaces that `key` had at any time from `from` to `to`; `None` for a time at
    /// which it was in no list.
    pub(super) fn owners(
        &self,
        key: &str,
        from: Instant,
        to: Instant,
    ) -> BTreeSet<Option<&'static str>> {
        let last = self.lists.partition_point(|(at, _)| *at <= to).max(1);
        let first = self.lists.partition_point(|(at, _)| *at <= from).max(1) - 1;
        let lists = &self.lists[first.min(last - 1)..last];
        lists
            .iter()
            .map(|(_, owners)| owners.get(key).copied())
            .collect()
    }
}
