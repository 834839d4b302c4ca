//! Sends the totals of this instance to the collectors.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use async_std::{net::UdpSocket, task};
use balance::usage::WindowTally;
use model::Time;
use tracing::warn;

use crate::{
    datagrams::send_paced,
    state::State,
    usage::{
        UsageDatagram, UsageState, apply_tallies, moment, record_begun, usage_state::time_of_day_us,
    },
};

/// Time between two datagrams. What a killed instance has counted since its last one is lost: 0.25 s of
/// a window on average, of half of the instances.
const INTERVAL: Duration = Duration::from_millis(500);
/// Intervals after which all totals of the last two windows are sent, in case datagrams were lost.
const REPEAT_INTERVALS: u64 = 4;
/// Time in which new collectors get the totals of all kept windows, in microseconds.
const NEWS_US: u64 = 5_000_000;
/// Time after which a request without a result counts, in microseconds. Targets refuse requests within
/// milliseconds, and its window is decided 4 s after its end.
const RESULT_US: u64 = 2_000_000;

/// Sends totals until the process ends.
pub async fn send_tallies(state: Rc<State>, socket: Rc<UdpSocket>) {
    let Some(usage) = &state.usage else { return };
    let mut known: Vec<SocketAddr> = Vec::new();
    let mut changed_at = state.now();
    for interval in 1.. {
        task::sleep(INTERVAL).await;
        follow_time_of_day(&state, usage);
        count_long_running(&state, state.now());
        let collectors = collectors(&state);
        if collectors != known {
            known.clone_from(&collectors);
            changed_at = state.now();
        }
        let is_repeat = interval % REPEAT_INTERVALS == 0;
        let has_news = state.now().since_us(changed_at) < NEWS_US;
        for part in totals_to_send(&state, usage, is_repeat, has_news) {
            apply_tallies(&state, &part);
            let bytes = part.encode();
            for addr in &collectors {
                send_paced(&state, &socket, &state.report_pace, &bytes, *addr).await;
            }
        }
    }
}

/// Returns the addresses of the other collectors.
fn collectors(state: &State) -> Vec<SocketAddr> {
    let members = state.members.borrow();
    let own = members.own().peer_addr;
    let mut addrs: Vec<SocketAddr> = members.collectors().iter().map(|m| m.peer_addr).collect();
    addrs.retain(|addr| *addr != own);
    addrs.sort_unstable();
    addrs
}

/// Takes a new time of day once it has held.
fn follow_time_of_day(state: &State, usage: &UsageState) {
    let change = usage
        .clock
        .borrow_mut()
        .record(state.now(), time_of_day_us());
    if let Some(change_us) = change {
        warn!(event = "usage_clock", change_ms = change_us / 1_000);
    }
}

/// Counts the requests that have had no result for long.
pub fn count_long_running(state: &State, now: Time) {
    let Some(usage) = &state.usage else { return };
    let mut due = Vec::new();
    usage
        .pending
        .borrow_mut()
        .retain(|_, (sent_at, workspace)| {
            let is_due = now.since_us(*sent_at) >= RESULT_US;
            if is_due {
                due.push((*sent_at, std::mem::take(workspace)));
            }
            !is_due
        });
    for (sent_at, workspace) in due {
        record_begun(state, Some(&workspace), sent_at);
    }
}

/// Returns the datagrams of this interval: the changed totals, and now and then all of them.
fn totals_to_send(
    state: &State,
    usage: &UsageState,
    is_repeat: bool,
    has_news: bool,
) -> Vec<UsageDatagram> {
    let at = moment(state, usage);
    let present = usage.bounds.window_at(at.true_us);
    let mut tallies = usage.tallies.borrow_mut();
    let windows: Vec<WindowTally> = match (is_repeat, has_news) {
        (true, true) => tallies.take_since(0),
        (true, false) => tallies.take_since(present.saturating_sub(1)),
        (false, _) => tallies.take_changed(),
    };
    let datagram = UsageDatagram {
        instance: state.instance_id().clone(),
        incarnation: state.incarnation,
        true_us: at.true_us,
        windows,
    };
    datagram.split()
}

#[cfg(test)]
mod tests;
