//! Finds out whether a target has crashed, after it closed a connection without a response.

use std::{collections::HashMap, io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration};

use async_std::{future::timeout, net::TcpStream};
use balance::Target;
use futures::{
    FutureExt,
    future::{LocalBoxFuture, Shared, join_all},
};
use model::{TargetId, Time};
use rand::seq::IteratorRandom;

use crate::{crashes::SentRequest, selection::is_eligible, state::State};

/// Time for the new connection. A target that runs accepts it, and the machine of one that does not
/// refuses it, within a few milliseconds; one that is cut off does neither.
const CHECK_LIMIT: Duration = Duration::from_millis(50);
/// Other targets that are connected to, to find out whether any can be. Some may have crashed as well.
const OTHERS: usize = 4;
/// Time for which the result of a check holds, in microseconds. All connections of a process that
/// crashes end at about the same time.
const VALID_US: u64 = 1_000_000;

/// Recent checks by the target's name and the start of its process. Requests whose connections end
/// at the same time wait for the same check.
pub type CrashChecks = HashMap<(TargetId, u64), (Time, Shared<LocalBoxFuture<'static, bool>>)>;

/// Whether the process that `request` was sent to has crashed: it refuses a new connection, although another
/// target accepts one and nothing says that it leaves.
pub async fn has_crashed(state: &Rc<State>, request: &SentRequest<'_>) -> bool {
    let SentRequest {
        target: id,
        born,
        addr,
        sent,
        ..
    } = *request;
    let now = state.now();
    let is_expected = || {
        let targets = state.targets.borrow();
        targets.get(id).is_none_or(|t| !is_eligible(state, t))
    };
    if is_expected() {
        return false;
    }
    let check = {
        let mut checks = state.crash_checks.borrow_mut();
        checks.retain(|_, (at, _)| now.since_us(*at) < VALID_US);
        let check = checks.entry((id.clone(), born)).or_insert_with(|| {
            state.metrics.count("crash_checks", 1);
            let others = other_targets(state, id, sent);
            (now, is_down(addr, others).boxed_local().shared())
        });
        check.1.clone()
    };
    check.await && !is_expected()
}

/// Returns the addresses of some other targets, of any service, that were not known to be down when a
/// request was sent to the target `id` at `sent`.
fn other_targets(state: &State, id: &TargetId, sent: Time) -> Vec<SocketAddr> {
    let (targets, reach) = (state.targets.borrow(), state.reach.borrow());
    let now = state.now();
    let was_down = |t: &Target| {
        let failed_at = reach
            .get(&t.entry.service)
            .and_then(|r| r.failed_at(&t.entry.id));
        t.health.is_ejected(now) || failed_at.is_some_and(|at| at < sent)
    };
    let others = targets
        .all()
        .filter(|t| t.entry.id != *id && is_eligible(state, t) && !was_down(t));
    others
        .map(|t| t.entry.addr)
        .choose_multiple(&mut rand::rng(), OTHERS)
}

/// Whether the target at `addr` refuses a connection while one of `others` accepts it. If they all went
/// down at the same time, this instance is cut off from them.
async fn is_down(addr: SocketAddr, others: Vec<SocketAddr>) -> bool {
    if connect(addr).await != Connected::Refused {
        return false;
    }
    let has_none = others.is_empty();
    let accepted = join_all(others.into_iter().map(connect)).await;
    has_none || accepted.contains(&Connected::Accepted)
}

/// Result of a connection attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Connected {
    Accepted,
    Refused,
    /// Neither happened in time, or the system reports another error.
    Unknown,
}

async fn connect(addr: SocketAddr) -> Connected {
    match timeout(CHECK_LIMIT, TcpStream::connect(addr)).await {
        Ok(Ok(_)) => Connected::Accepted,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Connected::Refused,
        _ => Connected::Unknown,
    }
}
