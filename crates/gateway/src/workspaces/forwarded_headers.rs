//! Which headers of a request targets do not get, so that they see no key and believe no caller who
//! names a workspace.

use platform::headers;

use crate::workspaces::Caller;

/// Returns whether a header line of a request is not sent to the target. Servers read `_` in a name
/// as `-`, so that a name with it is the same to them. The line that holds the key is withheld whatever
/// its scheme, since a key may stand in it without one.
pub fn is_withheld(caller: &Caller, name: &str) -> bool {
    caller.is_checked()
        && (name.eq_ignore_ascii_case(headers::AUTHORIZATION) || is_same(name, headers::TENANT))
}

/// Returns whether two names of headers are the same but for their case and `_` in place of `-`.
fn is_same(name: &str, other: &str) -> bool {
    let plain = |byte: u8| match byte {
        b'_' => b'-',
        byte => byte.to_ascii_lowercase(),
    };
    name.bytes().map(plain).eq(other.bytes().map(plain))
}
