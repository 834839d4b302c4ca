//! How long ago this instance knew all records of the operator.

use balance::Position;
use model::Time;

use crate::state::State;

/// Returns the time for which the operator may have written records that this instance does not know,
/// in milliseconds.
pub fn operator_age_ms(state: &State) -> u64 {
    state.now().since_us(state.operator_as_of.get()) / 1_000
}

/// Returns whether no newer configuration can be in effect than the one that this instance has.
pub fn has_current_config(state: &State) -> bool {
    let is_current = operator_age_ms(state) < state.settings.apply_ms();
    // A store that has come back from an earlier copy may lack what was confirmed.
    let is_complete =
        state.era_since.get().is_none() && state.peer_config.get() <= state.config_version();
    is_current && is_complete
}

/// Records that there was no record of the operator from `next` on as of `as_of`. That says nothing of
/// this instance if it has not read as far.
pub fn record_operator_as_of(state: &State, next: Position, as_of: Time) {
    if next <= state.operator_next.get() {
        let latest = state.operator_as_of.get().max(as_of);
        state.operator_as_of.set(latest);
    }
}

#[cfg(test)]
mod tests;
