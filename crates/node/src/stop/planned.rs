//! Steps of a planned stop.

use std::time::{Duration, Instant};

use async_std::task;
use model::Code;
use tracing::{info, warn};
use wire::EntryState;

use crate::{addresses::MAX_ANSWER_AGE, context::Context, node::register};

/// Time after which every instance has seen a change of the instance list.
const LIST_LAG: Duration = Duration::from_secs(2);
/// Time for which registering is tried again while the list does not answer. Callers then keep
/// getting this instance's address from others; waiting longer would not help them.
const REGISTER_LIMIT: Duration = Duration::from_secs(10);
/// Pause between two tries.
const REGISTER_PAUSE: Duration = Duration::from_millis(200);
/// Interval at which the end of the calls in progress is checked.
const POLL: Duration = Duration::from_millis(5);

/// How a planned stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stopped {
    /// All calls in progress ended.
    Whole,
    /// Calls were still in progress when the time limit passed.
    Cut {
        /// Their number.
        calls: u64,
    },
}

/// Runs a planned stop up to the point where the process may end.
pub async fn stop_planned(ctx: &Context) -> Stopped {
    let instance = &ctx.settings.instance;
    if ctx.progress.leave() {
        info!(event = "stop_started", %instance);
        announce(ctx).await;
        task::sleep(LIST_LAG + MAX_ANSWER_AGE).await;
    }
    ctx.progress.drain.cancel();
    let calls = wait_idle(ctx).await;
    if calls == 0 {
        info!(event = "stopped", %instance);
        return Stopped::Whole;
    }
    ctx.metrics.violation(Code::StopCut);
    let code = Code::StopCut.number();
    warn!(event = "stop_cut", %instance, code, calls);
    Stopped::Cut { calls }
}

/// Lists the instance as leaving.
async fn announce(ctx: &Context) {
    let instance = &ctx.settings.instance;
    let start = Instant::now();
    loop {
        let Err(error) = register(ctx, EntryState::Leaving).await else {
            return;
        };
        if start.elapsed() >= REGISTER_LIMIT {
            warn!(event = "leaving_unlisted", %instance, %error);
            return;
        }
        task::sleep(REGISTER_PAUSE).await;
    }
}

/// Waits for the requests in progress and returns how many are left at the time limit.
async fn wait_idle(ctx: &Context) -> u64 {
    let limit = Duration::from_millis(ctx.settings.stop_ms);
    let start = Instant::now();
    loop {
        let busy = ctx.progress.busy();
        if busy == 0 || start.elapsed() >= limit {
            return busy;
        }
        task::sleep(POLL).await;
    }
}

#[cfg(test)]
mod tests;
