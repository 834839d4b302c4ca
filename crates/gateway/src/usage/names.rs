//! Names of workspaces by the hashes that stand for them in datagrams.

use std::collections::HashMap;

use model::hash_parts;
use tracing::warn;

/// Most names that are kept. A deployment has 83 workspaces; names that configurations have replaced are
/// needed until the windows in which they were counted are decided.
const MAX_NAMES: usize = 4_096;

/// A name, and when it was last added.
#[derive(Clone, Debug)]
struct KnownName {
    name: String,
    /// Number of the latest call that added it.
    added: u64,
    /// Whether another name with this hash was logged.
    has_collided: bool,
}

/// Names that the instance knows. Those that have not been added for longest are forgotten first.
#[derive(Clone, Debug, Default)]
pub struct UsageNames {
    names: HashMap<u32, KnownName>,
    /// Number of calls that added a name.
    calls: u64,
}

impl UsageNames {
    /// Adds the name of a workspace. Returns its hash.
    pub fn add(&mut self, name: &str) -> u32 {
        let hash = hash_of(name);
        self.calls += 1;
        let known = self.names.entry(hash).or_insert_with(|| KnownName {
            name: name.to_owned(),
            added: 0,
            has_collided: false,
        });
        known.added = self.calls;
        if known.name != name && !known.has_collided {
            known.has_collided = true;
            warn!(event = "usage_names_collide", name, known = known.name);
        }
        if self.names.len() > MAX_NAMES {
            self.forget_oldest();
        }
        hash
    }

    fn forget_oldest(&mut self) {
        let oldest = self.names.iter().min_by_key(|(_, known)| known.added);
        if let Some(hash) = oldest.map(|(hash, _)| *hash) {
            self.names.remove(&hash);
        }
    }

    /// Returns the name with a hash, if the instance knows it.
    #[must_use]
    pub fn get(&self, hash: u32) -> Option<&str> {
        self.names.get(&hash).map(|known| &*known.name)
    }
}

/// Returns the hash of a name, the same at all instances.
fn hash_of(name: &str) -> u32 {
    let [a, b, c, d, ..] = hash_parts(&[name.as_bytes()]).to_le_bytes();
    u32::from_le_bytes([a, b, c, d])
}

#[cfg(test)]
mod tests;
