//! Checks the key of a request against the configuration in force.

use balance::{Access, GatewayConfig, KeyVerdict};
use h1::Request;
use model::Code;
use platform::headers;

use crate::workspaces::Caller;

/// Returns who sent a request on a route with this access. `is_current` states that no newer
/// configuration can be in effect.
///
/// # Errors
///
/// Returns [`Code::Unauthorized`] if no configuration in effect can allow the request, and
/// [`Code::AccessUnsure`] if one may.
pub fn check_key(
    config: &GatewayConfig,
    access: Access,
    request: &Request,
    is_current: impl FnOnce() -> bool,
) -> Result<Caller, Code> {
    let Some(keys) = config.keys() else {
        return Ok(Caller::Unchecked);
    };
    caller(keys.check(access, key(request)), is_current)
}

/// Same as [`check_key`], for a request with a key of the workspace `name`, or without a key.
///
/// # Errors
///
/// Same as for [`check_key`].
pub fn check_workspace(
    config: &GatewayConfig,
    access: Access,
    name: Option<&str>,
    is_current: impl FnOnce() -> bool,
) -> Result<Caller, Code> {
    let Some(keys) = config.keys() else {
        return Ok(Caller::Unchecked);
    };
    caller(keys.check_workspace(access, name), is_current)
}

fn caller(verdict: KeyVerdict, is_current: impl FnOnce() -> bool) -> Result<Caller, Code> {
    match verdict {
        KeyVerdict::Allowed(workspace) => Ok(workspace.map_or(Caller::Anonymous, Caller::Of)),
        KeyVerdict::Denied if is_current() => Err(Code::Unauthorized),
        KeyVerdict::Denied | KeyVerdict::Unsure => Err(Code::AccessUnsure),
    }
}

/// Returns the key of a request: what follows the scheme in its only header for that. The name of the
/// scheme is read without regard to case, as RFC 9110 has it (section 11.1).
fn key(request: &Request) -> Option<&[u8]> {
    let mut values = request.headers.values(headers::AUTHORIZATION);
    let value = values.next()?.trim_ascii();
    if values.next().is_some() {
        return None;
    }
    let (scheme, key) = value.split_at_checked(headers::KEY_SCHEME.len())?;
    let key_start = key.trim_ascii_start();
    let is_separated = key_start.len() < key.len();
    let is_key = is_separated && scheme.eq_ignore_ascii_case(headers::KEY_SCHEME.as_bytes());
    is_key.then_some(key_start)
}

#[cfg(test)]
mod tests;
