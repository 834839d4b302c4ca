//! Measures how late the tasks that keep the instance up to date run. Their time limits include that delay:
//! a call that has ended by its limit may have been answered in time.

use std::{rc::Rc, time::Duration};

use async_std::task;
use model::Time;
use tracing::warn;

use crate::state::State;

/// Time between two measurements.
const INTERVAL: Duration = Duration::from_millis(100);
/// Delay from which it is logged, in milliseconds: the time limit of a call to another instance.
const LOGGED_MS: u64 = 300;

/// Delay from which the instance itself may be why a time limit has passed, in microseconds: half of the shortest
/// limit of a call to a target.
const OWN_DELAY_US: u64 = 15_000;

/// Whether the end of a time limit, at `due`, is noticed so late that the answer may have come in time. Then it
/// says nothing of the other side.
pub fn is_noticed_late(due: Time, now: Time) -> bool {
    now.since_us(due) >= OWN_DELAY_US
}

/// Measures the delay until the process ends.
pub async fn watch_control_delay(state: Rc<State>) {
    let mut is_delayed = false;
    loop {
        let asked = state.now();
        task::sleep(INTERVAL).await;
        let late = Duration::from_micros(state.now().since_us(asked)).saturating_sub(INTERVAL);
        let late_ms = u64::try_from(late.as_millis()).unwrap_or(u64::MAX);
        state
            .control_delay
            .borrow_mut()
            .record(late_ms, state.now());
        if late_ms >= LOGGED_MS && !is_delayed {
            warn!(
                event = "control_delayed",
                delay_ms = late_ms,
                busy = state.active_requests.get(),
                callers = state.caller_connections.get()
            );
        }
        is_delayed = late_ms >= LOGGED_MS;
    }
}

/// Returns the largest delay of the last one to two seconds, in milliseconds.
pub fn control_delay_ms(state: &State) -> u64 {
    state.control_delay.borrow().value(state.now())
}
