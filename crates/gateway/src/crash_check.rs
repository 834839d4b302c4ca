//! Finds out whether a target has crashed, after it closed a connection without a response.

use std::{collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use async_std::{future::timeout, net::TcpStream};
use futures::{
    FutureExt,
    future::{LocalBoxFuture, Shared},
};
use model::{TargetId, Time};

use crate::{selection::is_eligible, state::State};

/// Time for the new connection. A target that runs accepts it, and the machine of one that does not
/// refuses it, within a few milliseconds; one that is cut off does neither.
const CHECK_LIMIT: Duration = Duration::from_millis(50);
/// Time for which the result of a check holds, in microseconds. All connections of a process that
/// crashes end at about the same time.
const VALID_US: u64 = 1_000_000;

/// Recent checks by the target's name and the start of its process. Requests whose connections end
/// at the same time wait for the same check.
pub type CrashChecks = HashMap<(TargetId, u64), (Time, Shared<LocalBoxFuture<'static, bool>>)>;

/// Whether the process of the target `id` that started at `born` has crashed: it refuses a new
/// connection, although nothing says that it leaves.
pub async fn has_crashed(state: &Rc<State>, id: &TargetId, born: u64, addr: SocketAddr) -> bool {
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
            (now, refuses_connection(addr).boxed_local().shared())
        });
        check.1.clone()
    };
    check.await && !is_expected()
}

async fn refuses_connection(addr: SocketAddr) -> bool {
    let connected = timeout(CHECK_LIMIT, TcpStream::connect(addr)).await;
    let is_refused = |error: &std::io::Error| error.kind() == std::io::ErrorKind::ConnectionRefused;
    connected.is_ok_and(|result| result.as_ref().is_err_and(is_refused))
}
