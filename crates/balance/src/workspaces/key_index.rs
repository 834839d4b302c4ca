//! Index of the keys of all workspaces. Addresses callers of other teams and of none, who must not reach
//! the targets, and guessed keys: a look-up costs the same for one key and for ten thousand, and its
//! time says nothing of the keys.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use crate::workspaces::{Access, KeyDigest, KeyVerdict, Workspace, unread_keys::UnreadKeys};

/// The keys of all workspaces of one configuration.
#[derive(Clone, Debug, Default)]
pub struct KeyIndex {
    workspaces: HashMap<KeyDigest, Arc<Workspace>>,
    unread: UnreadKeys,
}

impl KeyIndex {
    /// Returns an index without keys, of a configuration whose list of workspaces cannot be read.
    #[must_use]
    pub fn unreadable() -> Self {
        Self {
            unread: UnreadKeys::List,
            ..Self::default()
        }
    }

    /// Notes that a key, or all keys of a workspace, cannot be read.
    pub fn add_unreadable(&mut self) {
        self.unread = self.unread.max(UnreadKeys::Parts);
    }

    /// Adds a key of `workspace`. Returns the workspace that had it before.
    pub fn insert(
        &mut self,
        digest: KeyDigest,
        workspace: &Arc<Workspace>,
    ) -> Option<Arc<Workspace>> {
        self.workspaces.insert(digest, Arc::clone(workspace))
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.workspaces.len()
    }

    /// Returns whether no key is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }

    /// Returns the different priorities of the workspaces that have a key.
    #[must_use]
    pub fn priorities(&self) -> BTreeSet<Option<u32>> {
        self.workspaces.values().map(|w| w.priority).collect()
    }

    /// Returns the workspaces, once for each key.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.workspaces.values()
    }

    /// Returns what is known of a request that has `key`, if it has one.
    #[must_use]
    pub fn check(&self, access: Access, key: Option<&[u8]>) -> KeyVerdict {
        let workspace = key.and_then(|key| self.workspaces.get(&KeyDigest::of(key)));
        self.verdict(access, key.is_some(), workspace)
    }

    /// Returns what is known of a request that has a key of the workspace `name`, or no key. A name that
    /// is not known stands for a key that is not. Takes time linear in the keys.
    #[must_use]
    pub fn check_workspace(&self, access: Access, name: Option<&str>) -> KeyVerdict {
        let workspace = name.and_then(|name| self.workspaces().find(|w| &*w.name == name));
        self.verdict(access, name.is_some(), workspace)
    }

    fn verdict(
        &self,
        access: Access,
        has_key: bool,
        workspace: Option<&Arc<Workspace>>,
    ) -> KeyVerdict {
        if workspace.is_some() || access == Access::Public {
            return KeyVerdict::Allowed(workspace.cloned());
        }
        let is_unsure = access == Access::Unreadable
            || match self.unread {
                UnreadKeys::Nothing => false,
                UnreadKeys::Parts => has_key,
                UnreadKeys::List => true,
            };
        if is_unsure {
            KeyVerdict::Unsure
        } else {
            KeyVerdict::Denied
        }
    }
}

#[cfg(test)]
mod tests;
