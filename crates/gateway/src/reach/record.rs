//! Records evidence of contact with targets.

use std::rc::Rc;

use balance::Contact;
use model::{ServiceName, TargetId};
use tracing::{info, warn};

use super::check::check_service;
use crate::{selection::is_eligible, state::State};

/// Records that a target has accepted a connection or answered.
pub fn record_contact(state: &Rc<State>, id: &TargetId) {
    let Some(service) = service_of(state, id) else {
        return;
    };
    let known = || known_targets(state, &service);
    let changed = state
        .reach
        .borrow_mut()
        .record_contact(&service, id, known, state.now());
    log_change(state, &service, changed);
}

/// Records that no connection to a target could be opened.
pub fn record_unreachable(state: &Rc<State>, id: &TargetId) {
    let Some(service) = service_of(state, id) else {
        return;
    };
    let (known, now) = (known_targets(state, &service), state.now());
    let changed = state
        .reach
        .borrow_mut()
        .record_unreachable(&service, id, known, now);
    log_change(state, &service, changed);
}

/// Records that targets have not answered on open connections, or have closed them.
pub fn record_silent<'a>(state: &Rc<State>, ids: impl Iterator<Item = &'a TargetId>) {
    for id in ids {
        let Some(service) = service_of(state, id) else {
            continue;
        };
        let known = known_targets(state, &service);
        let changed = state.reach.borrow_mut().record_silent(&service, id, known);
        log_change(state, &service, changed);
    }
}

/// Whether this instance is in contact with most targets, or has lost it only a moment ago. If there are no
/// targets, nothing speaks against it.
pub fn has_targets(state: &State) -> bool {
    let (targets, reach) = (state.targets.borrow(), state.reach.borrow());
    let lost = reach.lost_for_long(state.now());
    let lost: usize = lost.map(|s| targets.of_service(s).count()).sum();
    lost == 0 || lost * 2 <= targets.len()
}

fn service_of(state: &State, id: &TargetId) -> Option<ServiceName> {
    let targets = state.targets.borrow();
    Some(targets.get(id)?.entry.service.clone())
}

/// Returns the number of targets of a service that may be used.
fn known_targets(state: &State, service: &ServiceName) -> usize {
    let targets = state.targets.borrow();
    let of_service = targets.of_service(service);
    of_service.filter(|t| is_eligible(state, t)).count()
}

/// Logs a change of the contact with a service. Starts checks if it got worse.
fn log_change(state: &Rc<State>, service: &ServiceName, changed: Option<Contact>) {
    let Some(contact) = changed else { return };
    let known = known_targets(state, service);
    let unreachable = {
        let reach = state.reach.borrow();
        reach
            .get(service)
            .map_or(0, balance::ServiceReach::unreachable_count)
    };
    match contact {
        Contact::Reached => {
            info!(event = "targets_reached", %service, unreachable, known);
        }
        Contact::Doubtful => {
            info!(event = "targets_silent", %service, unreachable, known);
        }
        Contact::Lost => {
            state.metrics.count("contacts_lost", 1);
            warn!(event = "targets_unreached", %service, unreachable, known);
        }
    }
    if contact != Contact::Reached && state.reach_checks.borrow_mut().insert(service.clone()) {
        let check = check_service(Rc::clone(state), service.clone());
        state.caller_tasks.spawn(check).detach();
    }
}
