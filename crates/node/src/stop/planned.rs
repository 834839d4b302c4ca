//! Runs the steps of a planned stop.

use std::time::{Duration, Instant};

use async_std::task;
use model::Code;
use tracing::{info, warn};
use wire::EntryState;

use crate::{addresses::MAX_ANSWER_AGE, context::Context, node::register};

/// Time after which every instance has seen a change of the instance list.
const LIST_DELAY: Duration = Duration::from_secs(2);
/// Time for which a failed registration is retried. After it the stop goes on although callers keep
/// getting this instance's address from other instances; waiting longer would not help them.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two attempts to register.
const REGISTER_PAUSE: Duration = Duration::from_millis(200);
/// Interval at which the number of calls in progress is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How a planned stop ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stopped {
    /// All calls in progress ended.
    Complete,
    /// Calls were still in progress when the time limit passed.
    TimedOut {
        /// Number of calls in progress at the time limit.
        calls: u64,
    },
}

/// Runs a planned stop. The process may end when it returns.
pub async fn stop_planned(ctx: &Context) -> Stopped {
    let instance = &ctx.settings.instance;
    if ctx.progress.begin_leaving() {
        info!(event = "stop_started", %instance);
        register_leaving(ctx).await;
        task::sleep(LIST_DELAY + MAX_ANSWER_AGE).await;
    }
    ctx.progress.drain.cancel();
    let calls = wait_for_calls(ctx).await;
    if calls == 0 {
        info!(event = "stopped", %instance);
        return Stopped::Complete;
    }
    ctx.metrics.violation(Code::StopCut);
    let code = Code::StopCut.number();
    warn!(event = "stop_cut", %instance, code, calls);
    Stopped::TimedOut { calls }
}

/// Registers the instance as leaving in the instance list.
async fn register_leaving(ctx: &Context) {
    let instance = &ctx.settings.instance;
    let start = Instant::now();
    loop {
        let Err(error) = register(ctx, EntryState::Leaving).await else {
            return;
        };
        if start.elapsed() >= REGISTER_TIMEOUT {
            warn!(event = "leaving_unlisted", %instance, %error);
            return;
        }
        task::sleep(REGISTER_PAUSE).await;
    }
}

/// Waits until no call is in progress or the time limit passes, and returns the number of calls left.
async fn wait_for_calls(ctx: &Context) -> u64 {
    let limit = Duration::from_millis(ctx.settings.stop_ms);
    let start = Instant::now();
    loop {
        let calls = ctx.progress.calls();
        if calls == 0 || start.elapsed() >= limit {
            return calls;
        }
        task::sleep(POLL_INTERVAL).await;
    }
}

#[cfg(test)]
mod tests;
