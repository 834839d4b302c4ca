//! Whether the requests of a route need a key.

/// Whether the requests of a route need the key of a workspace. Without workspaces in the
/// configuration, none does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Access {
    /// A request needs a known key.
    #[default]
    Keyed,
    /// A request needs no key. A known one sets its workspace.
    Public,
    /// The configuration has a value that cannot be read. Requests may or may not need a key.
    Unreadable,
}
