//! Which keys of a configuration cannot be read.

/// What the configuration has of keys that cannot be read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum UnreadKeys {
    /// Nothing.
    #[default]
    Nothing,
    /// Single keys or workspaces.
    Parts,
    /// The whole list, so that it is not known whether requests need keys.
    List,
}
