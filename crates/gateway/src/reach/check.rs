//! Checks on the targets of a service that seems cut off, until some accept connections again.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use async_std::task;
use balance::Contact;
use futures::future::join_all;
use model::{ServiceName, TargetId, Time};
use rand::seq::IndexedRandom;

use super::record::{record_contact, record_unreachable};
use crate::{pool::ConnectError, selection::is_target_eligible, state::State};

/// Targets that are checked again at the same time.
const CHECKED_AGAIN: usize = 4;
/// Further targets that are checked for the first time with them.
const CHECKED_FIRST: usize = 4;
/// Pause between two rounds of checks.
const PAUSE: Duration = Duration::from_millis(250);
/// Pause after a round in which a target that was unreachable accepted a connection.
const SHORT_PAUSE: Duration = Duration::from_millis(20);
/// Time after which a target that has accepted a connection is checked again, in microseconds.
const ACCEPTED_US: u64 = 500_000;

/// A target to check.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueTarget {
    /// When it was last found unreachable, if it is.
    failed_at: Option<Time>,
    id: TargetId,
    addr: SocketAddr,
}

/// Opens connections to a few targets of `service` at a time until it is reached.
pub async fn check_service(state: Rc<State>, service: ServiceName) {
    let mut accepted_at: HashMap<TargetId, Time> = HashMap::new();
    while state.reach.borrow().contact(&service) != Contact::Reached {
        let eligible = eligible_targets(&state, &service);
        if eligible.is_empty() {
            // All its targets have left.
            state.reach.borrow_mut().retain(|other| *other != service);
            break;
        }
        let now = state.now();
        accepted_at.retain(|_, at| now.since_us(*at) < ACCEPTED_US);
        let due = due_targets(eligible, |id| accepted_at.contains_key(id));
        let checks = due.iter().map(|target| check(&state, target));
        let results = join_all(checks).await;
        let accepted = || due.iter().zip(&results).filter(|(_, accepts)| **accepts);
        accepted_at.extend(accepted().map(|(target, _)| (target.id.clone(), state.now())));
        let is_progress = accepted().any(|(target, _)| target.failed_at.is_some());
        task::sleep(if is_progress { SHORT_PAUSE } else { PAUSE }).await;
    }
    state.reach_checks.borrow_mut().remove(&service);
}

/// Returns the targets of `service` that may be used.
fn eligible_targets(state: &State, service: &ServiceName) -> Vec<DueTarget> {
    let targets = state.targets.borrow();
    let reach = state.reach.borrow();
    let known = reach.get(service);
    let eligible = targets
        .of_service(service)
        .filter(|t| is_target_eligible(state, &t.entry.id));
    eligible
        .map(|t| DueTarget {
            failed_at: known.and_then(|reach| reach.failed_at(&t.entry.id)),
            id: t.entry.id.clone(),
            addr: t.entry.addr,
        })
        .collect()
}

/// Returns those of `eligible` to check next: the ones that were found unreachable longest ago, and some of
/// the others that have not just accepted a connection.
fn due_targets(
    eligible: Vec<DueTarget>,
    has_accepted: impl Fn(&TargetId) -> bool,
) -> Vec<DueTarget> {
    let (mut again, mut first): (Vec<_>, Vec<_>) =
        eligible.into_iter().partition(|t| t.failed_at.is_some());
    again.sort_unstable();
    again.truncate(CHECKED_AGAIN);
    first.retain(|target| !has_accepted(&target.id));
    let first = first.choose_multiple(&mut rand::rng(), CHECKED_FIRST);
    again.into_iter().chain(first.cloned()).collect()
}

/// Opens a connection to a target and keeps it for requests. Returns whether the target accepted it.
async fn check(state: &Rc<State>, target: &DueTarget) -> bool {
    let (id, addr) = (&target.id, target.addr);
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
