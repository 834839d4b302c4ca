//! Receives the datagrams of the other instances.

use std::{net::SocketAddr, rc::Rc, task::Poll, time::Duration};

use async_std::{net::UdpSocket, task};
use balance::{PeerAhead, Presence};
use futures::{pin_mut, poll};
use model::Time;
use tracing::{debug, warn};

use crate::{
    collecting::{apply_report, send_welcome},
    datagrams::send_paced,
    digest::{ReceivedDigest, envelope},
    digest_apply::{apply_digest, check_peer_ahead, log_member},
    entries_apply::apply_update,
    entries_sender::forward,
    entries_update::EntriesUpdate,
    report::Report,
    state::State,
    store_era::check_peer_era,
    usage::{UsageDatagram, apply_tallies},
};

/// Pause after a failed read from the socket, in milliseconds.
const ERROR_PAUSE_MS: u64 = 400;
/// Largest datagram that UDP allows, in bytes.
const MAX_DATAGRAM: usize = 65_535;
/// Datagrams in a row after which other tasks get their turn.
const DATAGRAMS_PER_TURN: u32 = 32;

/// Receives reports, digests and entries updates until the process ends. Calls `on_peer_ahead` with an
/// instance that has read more records of the operator than this one, or has a newer configuration in
/// force.
pub async fn receive_datagrams(
    state: Rc<State>,
    socket: Rc<UdpSocket>,
    on_peer_ahead: impl Fn(PeerAhead),
) {
    // A report with the evidence of a rollout over many routes can be larger than one Ethernet frame.
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
                let SocketAddr::V4(addr) = from else { continue };
                if let Some(received) = ReceivedDigest::decode(bytes) {
                    forward_digest(&state, &socket, &received, empty_at);
                    let since = empty_at.minus_ms(received.held_ms);
                    apply_digest(&state, received.digest, addr, since, &on_peer_ahead);
                } else if let Some(report) = Report::decode(bytes) {
                    receive_report(&state, &socket, &report, from, empty_at, &on_peer_ahead).await;
                } else if let Some(update) = EntriesUpdate::decode(bytes) {
                    let as_of = empty_at.minus_ms(update.age_ms);
                    forward(&state, &socket, &update, as_of);
                    apply_update(&state, from, update, as_of);
                } else if let Some(tallies) = UsageDatagram::decode(bytes) {
                    apply_tallies(&state, &tallies);
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

/// Forwards a digest to the instances that its sender has named. It may have waited in the socket from
/// `since` on; it states how old it is, since what it says is as of its making. One that may have
/// waited for long is not forwarded: it could name instances that have ended meanwhile.
fn forward_digest(
    state: &Rc<State>,
    socket: &Rc<UdpSocket>,
    received: &ReceivedDigest,
    since: Time,
) {
    let now = state.now();
    let is_late = state.members.borrow().arrived_at(since, now) != now;
    if received.forward_to.is_empty() || is_late {
        return;
    }
    let (state, socket) = (Rc::clone(state), Rc::clone(socket));
    let (encoded, addrs) = (received.encoded.clone(), received.forward_to.clone());
    let made = since.minus_ms(received.held_ms);
    task::spawn_local(async move {
        for addr in addrs {
            let held_ms = state.now().since_us(made).div_ceil(1_000);
            let bytes = envelope(&encoded, held_ms, &[]);
            send_paced(&state, &socket, &state.report_pace, &bytes, addr).await;
        }
    });
}

/// Takes a report as a collector, or tells its sender who collects. `since` is the time from which it
/// may have waited in the socket.
async fn receive_report(
    state: &State,
    socket: &UdpSocket,
    report: &Report,
    from: SocketAddr,
    since: Time,
    on_peer_ahead: &impl Fn(PeerAhead),
) {
    let arrived = state.members.borrow().arrived_at(since, state.now());
    check_peer_era(state, report.entries_era);
    let as_of = since.minus_ms(report.operator_age_ms);
    let progress = (report.operator_next, as_of);
    check_peer_ahead(state, from, progress, report.config_version, on_peer_ahead);
    let Some(is_change) = record_sender(state, report, from, arrived) else {
        return;
    };
    if !state.is_collector.get() {
        return send_welcome(state, socket, from).await;
    }
    let mut collector = state.collector.borrow_mut();
    collector.record_report(from, is_change, arrived);
    drop(collector);
    apply_report(state, report, false);
    if is_change && report.member.presence == Presence::Leaving {
        state.request_digest();
    }
}

/// Records the sender of a report, which arrived at `as_of` or later. Returns whether its description
/// has changed; `None` if the report is from an earlier process.
fn record_sender(state: &State, report: &Report, from: SocketAddr, as_of: Time) -> Option<bool> {
    let mut member = report.member.clone();
    // The address that it was sent from is the one to reach it at.
    member.peer_addr = from;
    let mut members = state.members.borrow_mut();
    let known = members.get(from);
    if known.is_some_and(|k| k.incarnation > member.incarnation) {
        return None;
    }
    let is_change = members.record_heard(member.clone(), as_of);
    if is_change {
        log_member(&member);
    }
    Some(is_change)
}
