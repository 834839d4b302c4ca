//! Fetches the descriptions of all instances from a collector when the known ones differ for long, and
//! serves them to others.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use async_std::task;
use balance::Member;
use bincode::{config::standard, serde::encode_to_vec};
use platform::PeerClient;
use rand::Rng;
use tracing::{info, warn};

use crate::{digest_apply::log_members, state::State, wire_format};

/// Path of the request for the descriptions.
pub const ROSTER_PATH: &str = "/roster";
/// Time between two checks whether the descriptions differ.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Largest random part of the time between two checks, in milliseconds, so that not all instances
/// fetch at the same time.
const MAX_JITTER_MS: u64 = 400;
/// Age up to which this instance trusts its own word on an instance that a collector does not list, in
/// milliseconds.
const RECENT_MS: u64 = 2_000;
/// Time limit of a fetch, in milliseconds.
const FETCH_LIMIT_MS: u64 = 800;

/// An instance, and the time since it was known to live in milliseconds.
type Listed = (Member, Option<u64>);

/// Fetches the descriptions whenever they differ, until the process ends.
pub async fn follow_roster(state: Rc<State>) {
    loop {
        let jitter = Duration::from_millis(rand::rng().random_range(0..MAX_JITTER_MS));
        task::sleep(CHECK_INTERVAL + jitter).await;
        if let Some(addr) = due_source(&state) {
            fetch_roster(&state, addr).await;
        }
    }
}

/// Returns the collector to fetch the descriptions from now, if they differ.
fn due_source(state: &State) -> Option<SocketAddr> {
    let now = state.now();
    let mut members = state.members.borrow_mut();
    let addr = members.roster_source(state.is_collector.get(), now)?;
    members.defer_roster(addr, now);
    Some(addr)
}

/// Fetches the descriptions from the instance at `addr` and applies them.
async fn fetch_roster(state: &State, addr: SocketAddr) {
    let asked = state.now();
    let fetched = PeerClient::new(addr).get(ROSTER_PATH, FETCH_LIMIT_MS).await;
    let body = match fetched {
        Ok(response) if response.status == 200 => response.body,
        Ok(response) => {
            warn!(event = "roster_unread", peer = %addr, status = response.status);
            return;
        }
        Err(error) => {
            warn!(event = "roster_unread", peer = %addr, %error);
            return;
        }
    };
    let Some(listed) = decode(&body) else {
        warn!(event = "roster_unread", peer = %addr, error = "malformed");
        return;
    };
    let count = listed.len();
    let changed = apply_roster(state, addr, listed, asked);
    info!(event = "roster_read", peer = %addr, count, changed);
}

/// Applies the descriptions that the instance at `addr` listed. Returns the number of changes.
pub fn apply_roster(
    state: &State,
    addr: SocketAddr,
    listed: Vec<Listed>,
    asked: model::Time,
) -> usize {
    let mut members = state.members.borrow_mut();
    let is_news = |m: &Member| members.get(m.peer_addr).is_none_or(|k| m.is_newer_than(k));
    let news: Vec<Member> = listed
        .iter()
        .filter(|(m, _)| is_news(m))
        .map(|(m, _)| m.clone())
        .collect();
    let dated = listed
        .into_iter()
        .map(|(member, age_ms)| (member, age_ms.map(|age| asked.minus_ms(age))));
    members.replace_roster(addr, dated.collect(), asked.minus_ms(RECENT_MS));
    drop(members);
    let count = news.len();
    log_members(news.into_iter(), "roster");
    count
}

/// Returns the known descriptions, encoded.
pub fn encode_roster(state: &State) -> Vec<u8> {
    let now = state.now();
    let members = state.members.borrow();
    let own = members.own().peer_addr;
    let listed: Vec<Listed> = members
        .roster()
        .map(|m| {
            let heard = if m.peer_addr == own {
                Some(now)
            } else {
                m.last_heard
            };
            let age_ms = heard.map(|at| now.since_us(at) / 1_000);
            (m.clone(), age_ms)
        })
        .collect();
    encode_to_vec(&listed, standard()).unwrap_or_default()
}

fn decode(bytes: &[u8]) -> Option<Vec<Listed>> {
    wire_format::decode(bytes)
}

#[cfg(test)]
mod tests;
