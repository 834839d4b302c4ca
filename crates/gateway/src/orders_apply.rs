//! Applies the records of the operator, and the verdicts on rollouts that the store holds.

use std::{collections::HashSet, rc::Rc};

use balance::{GatewayConfig, Position, Rollout, RolloutOrder};
use model::Zone;
use platform::{ConfigFault, Listing, OperatorChange, Record, RecordedVerdict, Topic};
use tracing::{error, info, warn};

use crate::{operator_age::operator_age_ms, scheduling::control_delay_ms, state::State};

/// Most unreadable parts of a configuration that are logged.
const MAX_FAULTS: usize = 20;

/// Where records of the operator come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A read, which has every record between two positions.
    Read,
    /// A listing of all that is in force.
    Listing,
    /// A listing of a store that has come back from an earlier copy, before the operator can have
    /// written again what was lost. What is missing may have been lost, and what is known may have
    /// been replaced since.
    RestoredListing,
}

/// Applies records of the operator.
pub fn apply_orders(state: &State, records: &[Record], source: Source) {
    let known: HashSet<Position> = {
        let mut known = state.known_orders.borrow_mut();
        let again = records.iter().filter(|record| known.insert(record));
        again.map(|record| record.position).collect()
    };
    let mut relay = state.relay.borrow_mut();
    relay.record_newest(records, source == Source::Listing);
    drop(relay);
    let listing = Listing::decode(Topic::Operator, records);
    for (key, error) in &listing.malformed {
        error!(event = "order_malformed", key, %error);
    }
    if source == Source::Listing {
        remove_missing_zones(state, &listing);
    }
    for (offset, change) in listing.changes {
        let platform::Change::Operator(change) = change else {
            continue;
        };
        let record = records.iter().find(|r| r.position.offset == offset);
        if let Some(record) = record {
            let is_known = source != Source::Read && known.contains(&record.position);
            apply_change(state, record, change, is_known, source);
        }
    }
}

/// Puts zones back into service that a complete listing does not contain any more.
fn remove_missing_zones(state: &State, listing: &Listing) {
    let is_listed = |zone: &Zone| {
        let mut changes = listing.changes.iter();
        changes.any(|(_, c)| {
            matches!(c, platform::Change::Operator(OperatorChange::ZoneOut(z)) if z == zone)
        })
    };
    state.zones_out.borrow_mut().retain(is_listed);
}

/// Applies one change. `is_known` states that the record was listed and had been read before.
fn apply_change(
    state: &State,
    record: &Record,
    change: OperatorChange,
    is_known: bool,
    source: Source,
) {
    let position = record.position;
    match change {
        OperatorChange::Config(config, faults) => apply_config(state, record, *config, &faults),
        OperatorChange::Rollout(order) => apply_rollout(state, order, is_known),
        OperatorChange::RolloutWithdrawn(service) => {
            info!(event = "rollout_withdrawn", service = %service, offset = %position);
        }
        OperatorChange::ZoneOut(zone) if is_known && source == Source::RestoredListing => {
            info!(event = "order_known", zone = %zone, offset = %position);
        }
        OperatorChange::ZoneOut(zone) => {
            info!(event = "zone_out", zone = %zone, offset = %position);
            state.zones_out.borrow_mut().insert(zone);
        }
        OperatorChange::ZoneBack(zone) => {
            info!(event = "zone_back", zone = %zone, offset = %position);
            state.zones_out.borrow_mut().remove(&zone);
        }
        OperatorChange::Unknown(key) => {
            info!(event = "order_unknown", key, offset = %position);
        }
    }
}

/// Puts a configuration into force, unless a newer version is. Logs the parts that cannot be read.
fn apply_config(state: &State, record: &Record, config: GatewayConfig, faults: &[ConfigFault]) {
    let position = record.position;
    let mut current = state.config.borrow_mut();
    let old = current.as_ref().map_or(0, |m| m.version);
    let version = config.version;
    if version < old {
        warn!(event = "config_ignored", version, current = old, offset = %position);
        return;
    }
    info!(event = "config", version, old, offset = %position,
        keys = config.keys().map(balance::KeyIndex::len),
        old_age_ms = operator_age_ms(state), delay_ms = control_delay_ms(state));
    for ConfigFault { part, error } in faults.iter().take(MAX_FAULTS) {
        error!(
            event = "config_part_malformed",
            version,
            part,
            error,
            count = faults.len()
        );
    }
    if let (Some(usage), Some(keys)) = (&state.usage, config.keys()) {
        let mut names = usage.names.borrow_mut();
        for workspace in keys.workspaces() {
            names.add(&workspace.name);
        }
    }
    *current = Some(Rc::new(config));
    state.relay.borrow_mut().set_config(record.clone());
}

/// Starts the rollout of an order, unless it is the one that is known or an earlier one. The
/// operator writes an order again, at another position, if the store has lost it.
fn apply_rollout(state: &State, order: RolloutOrder, is_known: bool) {
    let mut rollouts = state.rollouts.borrow_mut();
    if let Some(rollout) = rollouts.get_mut(&order.service) {
        let known = rollout.order.position;
        if order.position <= known {
            return;
        }
        if order.position.era > known.era && rollout.order.is_same_move(&order) {
            info!(event = "rollout_rewritten", service = %order.service, version = %order.version,
                old = %known, offset = %order.position);
            rollout.set_position(order.position);
            return;
        }
        if is_known {
            info!(event = "order_known", service = %order.service, version = %order.version,
                offset = %order.position);
            return;
        }
    }
    info!(event = "rollout", service = %order.service, version = %order.version,
        limit_ms = order.limit_ms, offset = %order.position);
    let own = state.settings.instance.clone();
    let limits = state.settings.exposure_limits();
    let mut rollout = Rollout::new(order, own, limits, state.now());
    if let Some(earlier) = rollouts.get(&rollout.order.service) {
        rollout.inherit_rejected(earlier);
    }
    rollouts.insert(rollout.order.service.clone(), rollout);
}

/// Applies a verdict that was recorded in the store, if it belongs to the order that is known here.
/// A verdict that is known to be recorded stays, also if the store has lost it.
pub fn apply_verdict(state: &State, recorded: &RecordedVerdict, source: &str) {
    let mut rollouts = state.rollouts.borrow_mut();
    let Some(rollout) = rollouts.get_mut(&recorded.service) else {
        return;
    };
    let current = rollout.order.position;
    let position = recorded.order.unwrap_or(current);
    // An instance that has started since does not know the earlier position of an order that was
    // written again.
    let is_same_order = rollout.had_position(position) || position.era < current.era;
    if recorded.version != rollout.order.version || !is_same_order {
        return;
    }
    rollout.recorded = Some((recorded.verdict, position));
    if rollout.verdict == balance::Verdict::Running && rollout.verdict != recorded.verdict {
        info!(event = "rollout_verdict", service = %recorded.service, verdict = ?recorded.verdict,
            source);
        rollout.verdict = recorded.verdict;
    }
}

#[cfg(test)]
mod tests;
