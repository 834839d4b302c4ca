//! Checks on the targets of a service that seems cut off, until some accept connections again.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use async_std::task;
use balance::Contact;
use futures::future::join_all;
use model::{ServiceName, TargetId};
use rand::seq::IndexedRandom;

use super::record::{record_contact, record_unreachable};
use crate::{pool::ConnectError, selection::is_target_eligible, state::State};

/// Targets that are checked again at the same time.
const CHECKED_AGAIN: usize = 4;
/// Further targets that are checked for the first time with them.
const CHECKED_FIRST: usize = 4;
/// Pause between two rounds of checks.
const PAUSE: Duration = Duration::from_millis(250);
/// Pause after a round in which a target accepted a connection.
const SHORT_PAUSE: Duration = Duration::from_millis(20);

/// Opens connections to a few targets of `service` at a time until it is reached.
pub async fn check_service(state: Rc<State>, service: ServiceName) {
    while state.reach.borrow().contact(&service) != Contact::Reached {
        let due = due_targets(&state, &service);
        if due.is_empty() {
            // All its targets have left.
            state.reach.borrow_mut().retain(|other| *other != service);
            break;
        }
        let checks = due.iter().map(|(id, addr)| check(&state, id, *addr));
        let is_any = join_all(checks).await.contains(&true);
        task::sleep(if is_any { SHORT_PAUSE } else { PAUSE }).await;
    }
    state.reach_checks.borrow_mut().remove(&service);
}

/// Returns the targets to check next: those that were found unreachable longest ago, and some of which
/// nothing is known.
fn due_targets(state: &State, service: &ServiceName) -> Vec<(TargetId, SocketAddr)> {
    let targets = state.targets.borrow();
    let reach = state.reach.borrow();
    let known = reach.get(service);
    let eligible = targets
        .of_service(service)
        .filter(|t| is_target_eligible(state, &t.entry.id));
    let (mut again, mut first) = (Vec::new(), Vec::new());
    for target in eligible {
        let due = (target.entry.id.clone(), target.entry.addr);
        match known.and_then(|reach| reach.failed_at(&target.entry.id)) {
            Some(at) => again.push((at, due)),
            None => first.push(due),
        }
    }
    again.sort_unstable();
    let again = again.into_iter().map(|(_, due)| due).take(CHECKED_AGAIN);
    let first = first.choose_multiple(&mut rand::rng(), CHECKED_FIRST);
    again.chain(first.cloned()).collect()
}

/// Opens a connection to a target and keeps it for requests. Returns whether the target accepted it.
async fn check(state: &Rc<State>, id: &TargetId, addr: SocketAddr) -> bool {
    state.metrics.count("reach_checks", 1);
    match state.pool.connect(addr).await {
        Ok(stream) => {
            state.metrics.count("connections_opened", 1);
            state.pool.put(addr, stream, None, state.now());
            record_contact(state, id);
            true
        }
        Err(ConnectError::System(_)) => {
            record_unreachable(state, id);
            false
        }
        Err(ConnectError::NoRoom) => false,
    }
}
