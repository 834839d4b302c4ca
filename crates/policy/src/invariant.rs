//! Run-time checks of the guarantees that the dispatcher gives.

use std::fmt;

use model::Code;

use crate::Stats;

/// Counts a violation of the guarantee `code` if `holds` is false, and panics in debug and test
/// builds. Returns `holds`, so that a release build can skip the step that would break the
/// guarantee.
pub(crate) fn check_invariant(
    stats: &mut Stats,
    code: Code,
    holds: bool,
    detail: fmt::Arguments<'_>,
) -> bool {
    if !holds {
        *stats.violations.entry(code).or_default() += 1;
    }
    if cfg!(debug_assertions) {
        assert!(holds, "{code}: {detail}");
    }
    holds
}
