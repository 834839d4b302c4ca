//! Exchange of heartbeats and entries updates with the other instances over UDP.

use std::{
    collections::HashMap,
    net::{SocketAddr, SocketAddrV4},
    rc::Rc,
    task::Poll,
    time::Duration,
};

use async_std::{net::UdpSocket, task};
use balance::{Member, Presence, Rollout};
use futures::{pin_mut, poll};
use model::Time;
use rand::seq::IndexedRandom;
use tracing::{debug, info, warn};

use crate::{
    datagrams::send_paced,
    entries_apply::apply_update,
    entries_sender::forward,
    entries_update::EntriesUpdate,
    heartbeat::{Heartbeat, RolloutReport},
    operator_records::PeerAhead,
    phase::Phase,
    state::State,
    store_era::check_peer_era,
    target_limits::{apply_limit_reports, take_limit_reports},
};

/// Pause after a failed read from the socket, in milliseconds.
const ERROR_PAUSE_MS: u64 = 400;
/// Age up to which the entries of targets count as up to date, in microseconds.
const FRESH_US: u64 = 1_300_000;
/// Time for which the entries of a peer must have been up to date to show that the store had no
/// outage, in milliseconds. Entries that lapsed in an outage are back 2 s after the store.
const MIN_FRESH_MS: u64 = 2_500;
/// Time for which a peer's report of up-to-date entries is valid, in microseconds: two heartbeats.
const CONFIRMED_US: u64 = 2_000_000;
/// Time between two attempts to fetch a configuration from a peer, in microseconds. Each one ends the
/// pending read of the operator's records.
const CONFIG_RETRY_US: u64 = 1_000_000;
/// Largest datagram that UDP allows, in bytes.
const MAX_DATAGRAM: usize = 65_535;
/// Datagrams in a row after which other tasks get their turn.
const DATAGRAMS_PER_TURN: u32 = 32;
/// Addresses of peers in one heartbeat. A hundred instances all know each other after some
/// heartbeats.
const HEARTBEAT_ADDRS: usize = 6;
/// Addresses of peers in the first heartbeat to a new instance. At 8 bytes each, they fit into a
/// datagram.
const WELCOME_ADDRS: usize = 120;
/// Time between two heartbeats while a rollout runs, in milliseconds, if the usual time is 400 ms.
/// A faulty version must be stopped within seconds.
const ROLLOUT_HEARTBEAT_MS: u64 = 200;

/// Sends heartbeats until the process ends.
pub async fn send_heartbeats(state: Rc<State>, socket: Rc<UdpSocket>) {
    loop {
        send_heartbeat(&state, &socket).await;
        let rollout_runs = state.rollouts.borrow().values().any(is_running);
        let usual_ms = state.members.borrow().heartbeat_ms();
        let pause_ms = if rollout_runs {
            usual_ms.min(ROLLOUT_HEARTBEAT_MS * usual_ms / 400)
        } else {
            usual_ms
        };
        task::sleep(Duration::from_millis(pause_ms)).await;
    }
}

fn is_running(rollout: &Rollout) -> bool {
    rollout.verdict == balance::Verdict::Running
}

/// Sends one heartbeat to all known instances and to the seeds that are not among them.
pub async fn send_heartbeat(state: &Rc<State>, socket: &UdpSocket) {
    let bytes = own_heartbeat(state, HEARTBEAT_ADDRS).encode();
    for addr in recipients(state) {
        send_paced(state, socket, &state.heartbeat_pace, &bytes, addr).await;
    }
}

/// Returns the addresses that heartbeats are sent to: members, seeds and reported addresses.
fn recipients(state: &State) -> Vec<SocketAddr> {
    let mut members = state.members.borrow_mut();
    members.sweep(state.now());
    state.peer_usage.borrow_mut().sweep(state.now());
    let mut addrs: Vec<SocketAddr> = members.all().map(|m| m.peer_addr).collect();
    for seed in &state.settings.seeds {
        let addr = SocketAddr::new(seed.ip(), state.settings.peer.port());
        if !addrs.contains(&addr) {
            addrs.push(addr);
        }
    }
    addrs.extend(members.addresses_to_try());
    addrs.retain(|addr| *addr != SocketAddr::from(state.settings.peer));
    addrs
}

/// Returns how long the entries have been up to date without an outage of the store, or 0 if they
/// are out of date now.
fn fresh_ms(state: &State) -> u64 {
    let now = state.now();
    let is_fresh = state
        .entries_as_of
        .get()
        .is_some_and(|at| now.since_us(at) < FRESH_US);
    if is_fresh {
        now.since_us(state.fresh_since.get()) / 1_000
    } else {
        0
    }
}

/// Returns the peer addresses of `count` live instances, chosen at random.
fn sample_peers(state: &State, count: usize) -> Vec<SocketAddr> {
    let now = state.now();
    let live: Vec<SocketAddr> = state
        .members
        .borrow()
        .live(now)
        .map(|m| m.peer_addr)
        .collect();
    live.choose_multiple(&mut rand::rng(), count)
        .copied()
        .collect()
}

/// Returns a heartbeat of this instance with `addr_count` addresses of peers. A heartbeat for all
/// instances takes the collected outcomes and the news of limits.
fn own_heartbeat(state: &State, addr_count: usize) -> Heartbeat {
    let outcomes = if addr_count == HEARTBEAT_ADDRS {
        state.outcomes.take()
    } else {
        HashMap::default()
    };
    let limits = if addr_count == HEARTBEAT_ADDRS {
        take_limit_reports(state)
    } else {
        Vec::new()
    };
    let rollouts = state.rollouts.borrow();
    let reports = rollouts.values().map(|r| RolloutReport {
        service: r.order.service.clone(),
        order: r.order.position,
        stage: r.stage.0,
        stopped: r.is_stopped,
        verdict: r.verdict,
        evidence: if is_running(r) {
            r.own_evidence.clone()
        } else {
            balance::Evidence::default()
        },
    });
    let now = state.now();
    let mut budgets = state.budgets.borrow_mut();
    let usage = budgets
        .iter_mut()
        .map(|(name, b)| (name.clone(), b.usage(now)));
    Heartbeat {
        budget_usage: usage.collect(),
        name: state.instance_id().clone(),
        incarnation: state.incarnation,
        zone: state.settings.zone.clone(),
        caller_addr: state.settings.callers,
        presence: match state.phase.get() {
            Phase::Starting => 0,
            Phase::Ready => 1,
            Phase::Leaving => 2,
        },
        has_store: state.has_store.get(),
        link_mbps: state.settings.whole_link_mbps(),
        operator_next: state.operator_next.get(),
        config_version: state.config_version(),
        entries_era: state.entries.borrow().era(),
        fresh_ms: fresh_ms(state),
        known_addrs: sample_peers(state, addr_count),
        outcomes: outcomes
            .into_iter()
            .filter(|(_, (_, bad))| *bad > 0)
            .map(|(id, (good, bad))| (id, good, bad))
            .collect(),
        limits,
        rollouts: reports.collect(),
    }
}

/// Receives heartbeats and entries updates until the process ends. Calls `on_peer_ahead` with a
/// sender that has read more records of the operator than this instance, or has a newer
/// configuration in force.
pub async fn receive_datagrams(
    state: Rc<State>,
    socket: Rc<UdpSocket>,
    on_peer_ahead: impl Fn(PeerAhead),
) {
    // A heartbeat with the evidence of a rollout over many routes can be larger than one Ethernet
    // frame.
    let mut buffer = vec![0; MAX_DATAGRAM];
    let mut empty_at = state.now();
    let mut in_turn = 0;
    loop {
        // A datagram that is there already may have waited since the socket was last seen empty.
        let received = {
            let receiving = socket.recv_from(&mut buffer);
            pin_mut!(receiving);
            match poll!(&mut receiving) {
                Poll::Ready(received) => {
                    in_turn += 1;
                    received
                }
                Poll::Pending => {
                    empty_at = state.now();
                    in_turn = 0;
                    receiving.await
                }
            }
        };
        if in_turn >= DATAGRAMS_PER_TURN {
            in_turn = 0;
            task::yield_now().await;
        }
        match received {
            Ok((count, from)) => {
                let bytes = &buffer[..count];
                if let Some(heartbeat) = Heartbeat::decode(bytes) {
                    let SocketAddr::V4(from) = from else { continue };
                    if apply_heartbeat(&state, heartbeat, from, &on_peer_ahead) {
                        send_welcome(&state, &socket, from.into()).await;
                    }
                } else if let Some(update) = EntriesUpdate::decode(bytes) {
                    let as_of = empty_at.minus_ms(update.age_ms);
                    forward(&state, &socket, &update, as_of);
                    apply_update(&state, from, update, as_of);
                } else {
                    debug!(event = "datagram_foreign", %from);
                }
            }
            Err(error) => {
                warn!(event = "beats_failed", %error);
                task::sleep(Duration::from_millis(ERROR_PAUSE_MS)).await;
            }
        }
    }
}

/// Sends the addresses of all live instances to a new one, so that it need not read them from the
/// store.
async fn send_welcome(state: &State, socket: &UdpSocket, to: SocketAddr) {
    let mut heartbeat = own_heartbeat(state, WELCOME_ADDRS);
    // The outcomes are for all instances and are sent with the next heartbeat to all.
    heartbeat.outcomes.clear();
    if let Err(error) = socket.send_to(&heartbeat.encode(), to).await {
        debug!(event = "welcome_unsent", peer = %to, %error);
    }
}

/// Applies a heartbeat. Returns whether its sender was not known before.
fn apply_heartbeat(
    state: &State,
    heartbeat: Heartbeat,
    from: SocketAddrV4,
    on_peer_ahead: &impl Fn(PeerAhead),
) -> bool {
    let now = state.now();
    check_peer_era(state, heartbeat.entries_era);
    let has_records = heartbeat.operator_next > state.operator_next.get();
    if has_records || wants_config(state, heartbeat.config_version) {
        on_peer_ahead(PeerAhead {
            addr: from.into(),
            has_records,
        });
    }
    let is_new = record_member(state, &heartbeat, from, now);
    let is_same_era = heartbeat.entries_era == state.entries.borrow().era();
    if is_same_era && heartbeat.fresh_ms >= MIN_FRESH_MS {
        state.confirmed_until.set(now.plus_us(CONFIRMED_US));
        let dropped = state.targets.borrow_mut().drop_lapsed(now);
        if dropped > 0 {
            info!(event = "targets_lapsed", dropped, source = %heartbeat.name,
                steady_ms = heartbeat.fresh_ms);
        }
    }
    state
        .members
        .borrow_mut()
        .add_reported_addresses(&heartbeat.known_addrs, state.settings.peer.into());
    let mut peer_usage = state.peer_usage.borrow_mut();
    peer_usage.record_report(heartbeat.name.clone(), heartbeat.budget_usage, now);
    for (id, good, bad) in &heartbeat.outcomes {
        if let Some(target) = state.targets.borrow_mut().get_mut(id) {
            target.health.record(now, *good, *bad);
        }
    }
    apply_limit_reports(state, &heartbeat.limits, &heartbeat.name);
    let mut rollouts = state.rollouts.borrow_mut();
    let sender = (heartbeat.name.clone(), heartbeat.incarnation);
    for report in heartbeat.rollouts {
        let Some(rollout) = rollouts.get_mut(&report.service) else {
            continue;
        };
        if rollout.order.position != report.order {
            continue;
        }
        if is_running(rollout) && report.verdict != balance::Verdict::Running {
            info!(event = "rollout_verdict", service = %report.service, verdict = ?report.verdict,
                source = %heartbeat.name);
            rollout.verdict = report.verdict;
        }
        let reported_stage = Heartbeat::stage(&report);
        let was_stopped = rollout.is_stopped;
        rollout.record_report(
            sender.clone(),
            reported_stage,
            report.stopped,
            report.evidence,
            now,
        );
        if rollout.stop_if_bad() || (rollout.is_stopped && !was_stopped) {
            warn!(event = "rollout_stopped", service = %report.service, source = %heartbeat.name,
                stage = rollout.stage.0);
        }
    }
    is_new
}

/// Whether a peer's configuration, of this version, is to be fetched: it is newer than the one here,
/// and none was fetched a moment ago, which may have failed.
fn wants_config(state: &State, version: u64) -> bool {
    let newest = state.peer_config.get().max(version);
    state.peer_config.set(newest);
    let now = state.now();
    let is_due = |at| now.since_us(at) >= CONFIG_RETRY_US;
    let wants = version > state.config_version() && state.config_asked.get().is_none_or(is_due);
    if wants {
        state.config_asked.set(Some(now));
    }
    wants
}

/// Records the sender of a heartbeat as a member. Returns whether it was not known before.
fn record_member(state: &State, heartbeat: &Heartbeat, from: SocketAddrV4, now: Time) -> bool {
    let presence = heartbeat.presence();
    let mut members = state.members.borrow_mut();
    let is_change = !members.live(now).any(|m| {
        m.name == heartbeat.name && m.incarnation == heartbeat.incarnation && m.presence == presence
    });
    if is_change {
        info!(event = "peer", peer = %heartbeat.name, boot = heartbeat.incarnation,
            presence = ?presence);
    }
    let is_new = !members
        .live(now)
        .any(|m| m.name == heartbeat.name && m.incarnation == heartbeat.incarnation);
    members.record_report(Member {
        name: heartbeat.name.clone(),
        incarnation: heartbeat.incarnation,
        zone: heartbeat.zone.clone(),
        caller_addr: heartbeat.caller_addr,
        peer_addr: from.into(),
        presence,
        has_store: heartbeat.has_store,
        link_mbps: heartbeat.link_mbps,
        last_heard: Some(now),
    });
    is_new
}

/// Adds an instance that is listed in the store.
pub fn add_listed_peer(state: &State, entry: platform::PeerEntry) {
    if entry.peer_addr == SocketAddr::from(state.settings.peer) {
        return;
    }
    state.members.borrow_mut().add_listed(Member {
        name: entry.name,
        incarnation: entry.incarnation,
        zone: entry.zone,
        caller_addr: entry.caller_addr,
        peer_addr: entry.peer_addr,
        presence: Presence::Starting,
        has_store: true,
        link_mbps: 1,
        last_heard: None,
    });
}
