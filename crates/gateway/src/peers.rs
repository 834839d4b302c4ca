//! Exchange of beats with the other instances over UDP.

use std::{
    collections::HashMap,
    net::{SocketAddr, SocketAddrV4},
    rc::Rc,
    time::Duration,
};

use async_std::{net::UdpSocket, task};
use balance::{Member, Presence, Rollout};
use model::Time;
use rand::seq::IndexedRandom;
use tracing::{debug, info, warn};

use crate::{
    entries::apply_update,
    entries_update::EntriesUpdate,
    heartbeat::{Heartbeat, RolloutReport},
    phase::Phase,
    state::State,
};

/// Pause after a failed read from the socket, in milliseconds.
const ERROR_PAUSE_MS: u64 = 400;
/// Age up to which entries are sound, in microseconds.
const FRESH_US: u64 = 1_300_000;
/// Time after which sound entries at another instance show that the store was not away, in
/// milliseconds. Lapsed entries are back 2 s after the store is.
const MIN_FRESH_MS: u64 = 2_500;
/// Time for which the word of another instance counts, in microseconds: two beats.
const CONFIRMED_US: u64 = 2_000_000;
/// Largest datagram of UDP, in bytes.
const MAX_DATAGRAM: usize = 65_535;
/// Instances that a beat names. All of a hundred know each other after some beats.
const GOSSIPED_ADDRS: usize = 6;
/// Instances that the first beat to a new one names; 8 bytes each, so that they fit a datagram.
const WELCOME_ADDRS: usize = 120;
/// Part of the link that datagrams to many instances may take while they are sent.
const LINK_SHARE: f64 = 0.4;
/// Bytes of the headers below a datagram.
const HEADER_BYTES: usize = 42;
/// Time for which datagrams may be sent ahead. At 10 Mbit/s these are 4 kB, far below a link's queue.
const MAX_SEND_AHEAD: Duration = Duration::from_millis(8);
/// Time between two beats while a rollout rollout_runs, in milliseconds: a fault is to stop it within seconds.
const ROLLOUT_HEARTBEAT_MS: u64 = 200;

/// Sends beats until the process ends.
pub async fn send_heartbeats(state: Rc<State>, socket: Rc<UdpSocket>) {
    loop {
        send_heartbeat(&state, &socket).await;
        let rollout_runs = state.rollouts.borrow().values().any(is_running);
        let usual = state.members.borrow().heartbeat_ms();
        let pause = if rollout_runs {
            usual.min(ROLLOUT_HEARTBEAT_MS * usual / 400)
        } else {
            usual
        };
        task::sleep(Duration::from_millis(pause)).await;
    }
}

fn is_running(rollout: &Rollout) -> bool {
    rollout.verdict == balance::Verdict::Running
}

/// Sends a datagram to many instances, no faster than a part of the link bears: what does not fit into its
/// queue is dropped, and requests wait behind the rest.
async fn send_spread(state: &State, socket: &UdpSocket, bytes: &[u8], addrs: &[SocketAddr]) {
    let bits = (bytes.len() + HEADER_BYTES) as f64 * 8.0;
    let each = Duration::from_secs_f64(bits / (state.settings.link_mbps * 1e6 * LINK_SHARE));
    let mut owed = Duration::ZERO;
    for addr in addrs {
        if owed >= MAX_SEND_AHEAD {
            task::sleep(owed).await;
            owed = Duration::ZERO;
        }
        owed += each;
        if let Err(error) = socket.send_to(bytes, addr).await {
            debug!(event = "datagram_unsent", peer = %addr, %error);
        }
    }
}

/// Sends one beat to all known instances and to the seeds that are not among them.
pub async fn send_heartbeat(state: &Rc<State>, socket: &UdpSocket) {
    let bytes = own_heartbeat(state, GOSSIPED_ADDRS).encode();
    send_spread(state, socket, &bytes, &recipients(state)).await;
}

/// Sends a datagram to all live instances.
pub async fn broadcast(state: &State, socket: &UdpSocket, bytes: &[u8]) {
    let now = state.now();
    let addrs: Vec<SocketAddr> = state
        .members
        .borrow()
        .live(now)
        .map(|m| m.peer_addr)
        .collect();
    send_spread(state, socket, bytes, &addrs).await;
}

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

/// How long the entries were sound, 0 if they are out of date now.
fn fresh_ms(state: &State) -> u64 {
    let now = state.now();
    let is_fresh = state
        .targets_read
        .get()
        .is_some_and(|at| now.since_us(at) < FRESH_US);
    if is_fresh {
        now.since_us(state.fresh_since.get()) / 1_000
    } else {
        0
    }
}

/// A few live instances, others each time.
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

fn own_heartbeat(state: &State, addr_count: usize) -> Heartbeat {
    let outcomes = if addr_count == GOSSIPED_ADDRS {
        state.outcomes.take()
    } else {
        HashMap::default()
    };
    let rollouts = state.rollouts.borrow();
    let reports = rollouts.values().map(|r| RolloutReport {
        service: r.order.service.clone(),
        order: r.order.offset,
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
    let used = budgets
        .iter_mut()
        .map(|(name, b)| (name.clone(), b.usage(now)));
    Heartbeat {
        used: used.collect(),
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
        operator_next: state.operator_next.get(),
        fresh_ms: fresh_ms(state),
        known_addrs: sample_peers(state, addr_count),
        outcomes: outcomes
            .into_iter()
            .filter(|(_, (_, bad))| *bad > 0)
            .map(|(id, (good, bad))| (id, good, bad))
            .collect(),
        rollouts: reports.collect(),
    }
}

/// Receives beats until the process ends. `ahead` is told of a sender that has read
/// further in the operator's records than this instance.
pub async fn receive_datagrams(
    state: Rc<State>,
    socket: Rc<UdpSocket>,
    on_peer_ahead: impl Fn(SocketAddr),
) {
    // Evidence of a rollout over many routes can exceed the usual size.
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((count, from)) => {
                let bytes = &buffer[..count];
                if let Some(heartbeat) = Heartbeat::decode(bytes) {
                    let SocketAddr::V4(from) = from else { continue };
                    if apply_heartbeat(&state, heartbeat, from, &on_peer_ahead) {
                        send_welcome(&state, &socket, from.into()).await;
                    }
                } else if let Some(update) = EntriesUpdate::decode(bytes) {
                    apply_update(&state, update);
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

/// Tells an instance that was not known before of all others, so that it need not ask the store.
async fn send_welcome(state: &State, socket: &UdpSocket, to: SocketAddr) {
    let mut heartbeat = own_heartbeat(state, WELCOME_ADDRS);
    // Its outcomes are for all instances and go with the next beat to all.
    heartbeat.outcomes.clear();
    if let Err(error) = socket.send_to(&heartbeat.encode(), to).await {
        debug!(event = "welcome_unsent", peer = %to, %error);
    }
}

/// Takes in a beat; whether its sender was not known.
fn apply_heartbeat(
    state: &State,
    heartbeat: Heartbeat,
    from: SocketAddrV4,
    on_peer_ahead: &impl Fn(SocketAddr),
) -> bool {
    let now = state.now();
    if heartbeat.operator_next > state.operator_next.get() {
        on_peer_ahead(from.into());
    }
    let is_new = record_member(state, &heartbeat, from, now);
    if heartbeat.fresh_ms >= MIN_FRESH_MS {
        state.confirmed_until.set(now.plus_us(CONFIRMED_US));
        let dropped = state.targets.borrow_mut().drop_lapsed();
        if dropped > 0 {
            info!(event = "targets_lapsed", dropped, source = %heartbeat.name, steady_ms = heartbeat.fresh_ms);
        }
    }
    state
        .members
        .borrow_mut()
        .add_reported_addresses(&heartbeat.known_addrs, state.settings.peer.into());
    let mut peer_usage = state.peer_usage.borrow_mut();
    peer_usage.record_report(heartbeat.name.clone(), heartbeat.used, now);
    for (id, good, bad) in &heartbeat.outcomes {
        if let Some(target) = state.targets.borrow_mut().get_mut(id) {
            target.health.record(now, *good, *bad);
        }
    }
    let mut rollouts = state.rollouts.borrow_mut();
    let sender = (heartbeat.name.clone(), heartbeat.incarnation);
    for report in heartbeat.rollouts {
        let Some(rollout) = rollouts.get_mut(&report.service) else {
            continue;
        };
        if rollout.order.offset != report.order {
            continue;
        }
        if is_running(rollout) && report.verdict != balance::Verdict::Running {
            info!(event = "rollout_verdict", service = %report.service, verdict = ?report.verdict,
                source = %heartbeat.name);
            rollout.verdict = report.verdict;
        }
        let heard = Heartbeat::stage(&report);
        let was_stopped = rollout.is_stopped;
        rollout.record_report(sender.clone(), heard, report.stopped, report.evidence, now);
        if rollout.stop_if_bad() || (rollout.is_stopped && !was_stopped) {
            warn!(event = "rollout_stopped", service = %report.service, source = %heartbeat.name,
                stage = rollout.stage.0);
        }
    }
    is_new
}

/// Notes the sender of a beat; whether it was not known.
fn record_member(state: &State, heartbeat: &Heartbeat, from: SocketAddrV4, now: Time) -> bool {
    let presence = heartbeat.presence();
    let mut members = state.members.borrow_mut();
    let is_news = !members.live(now).any(|m| {
        m.name == heartbeat.name && m.incarnation == heartbeat.incarnation && m.presence == presence
    });
    if is_news {
        info!(event = "peer", peer = %heartbeat.name, boot = heartbeat.incarnation, presence = ?presence);
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
        last_heard: Some(now),
    });
    is_new
}

/// Notes an instance that was read of in the store.
pub fn add_listed_peer(state: &State, entry: platform::PeerEntry) {
    if entry.peer == SocketAddr::from(state.settings.peer) {
        return;
    }
    state.members.borrow_mut().add_listed(Member {
        name: entry.name,
        incarnation: entry.boot,
        zone: entry.zone,
        caller_addr: entry.front,
        peer_addr: entry.peer,
        presence: Presence::Starting,
        has_store: true,
        last_heard: None,
    });
}

#[cfg(test)]
mod tests;
