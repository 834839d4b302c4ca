//! The work of a collector: takes the reports of the other instances and tells all of them what is in
//! there.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use async_std::{future::timeout, net::UdpSocket, task};
use balance::{COLLECTORS, FanOut, Member};
use rand::seq::SliceRandom;
use tracing::info;

use crate::{
    crashes::{collect_crashes, take_untold_crashes},
    datagrams::{send_paced, transmission_us},
    digest::{Digest, envelope},
    digest_apply::{apply_outcomes, apply_rollout, confirm_entries},
    notices::{LeavingReport, apply_leaving},
    operator_age::operator_age_ms,
    report::{MAX_BYTES, Report},
    reporting::{fresh_ms, rollout_reports},
    returns::{collect_claims, digest_claims},
    state::State,
    target_limits::apply_limit_reports,
};

/// Digests of each collector that tell of a target that leaves.
const LEAVING_REPEATS: u8 = 2;
/// Shortest time between two digests of an instance.
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// Applies a report that this instance has received as a collector, or that it would send to others
/// (`is_own`).
pub fn apply_report(state: &State, report: &Report, is_own: bool) {
    let now = state.now();
    let from = &report.member;
    confirm_entries(state, report.entries_era, report.fresh_ms, &from.name);
    if report.entries_era == state.entries.borrow().era() {
        let longest = state.reported_fresh_ms.get().max(report.fresh_ms);
        state.reported_fresh_ms.set(longest);
    }
    if !report.outcomes.outcomes.is_empty() {
        apply_outcomes(state, &report.outcomes);
        let mut log = state.outcome_log.borrow_mut();
        log.add_untold(report.outcomes.clone());
    }
    apply_leaving(state, &report.leaving, from.name.as_str());
    let mut leaving = state.untold_leaving.borrow_mut();
    leaving.extend(report.leaving.iter().map(|l| (l.clone(), LEAVING_REPEATS)));
    drop(leaving);
    collect_crashes(state, &report.crashes, from.name.as_str());
    if !is_own {
        apply_limit_reports(state, &report.limits, &from.name);
    }
    let mut limits = state.untold_limits.borrow_mut();
    limits.extend(report.limits.iter().map(|limit| (now, limit.clone())));
    drop(limits);
    let usage = report.budget_usage.clone();
    let mut peer_usage = state.peer_usage.borrow_mut();
    peer_usage.record_report(from.name.clone(), usage, now);
    drop(peer_usage);
    collect_claims(state, &from.name, &report.claims);
    if !is_own {
        for rollout in &report.rollouts {
            apply_rollout(state, from, rollout);
        }
    }
}

/// Sends digests while this instance is a collector, until the process ends.
pub async fn send_digests(state: Rc<State>, socket: Rc<UdpSocket>) {
    loop {
        let interval_ms = state.members.borrow().interval_ms();
        let pause = Duration::from_millis(interval_ms).saturating_sub(MIN_PAUSE);
        task::sleep(MIN_PAUSE).await;
        // Whether the time is over or something urgent has arrived makes no difference.
        let _ = timeout(pause, state.digest_wanted()).await;
        if update_duty(&state) {
            let digest = own_digest(&state);
            send_digest(&state, &socket, digest).await;
        }
    }
}

/// Finds out whether this instance is a collector, and returns it.
fn update_duty(state: &State) -> bool {
    let members = state.members.borrow();
    let has_duty = members.duty_rank(balance::COLLECT) < COLLECTORS;
    let mut collector = state.collector.borrow_mut();
    let is_collector = collector.update_duty(has_duty, &members, state.now());
    if state.is_collector.replace(is_collector) != is_collector {
        info!(
            event = "collector",
            is_collector,
            live = members.live().count()
        );
    }
    is_collector
}

/// Returns a digest of what this instance has from reports, and applies what it says of the others
/// here.
fn own_digest(state: &State) -> Digest {
    let now = state.now();
    let mut members = state.members.borrow_mut();
    let mut collector = state.collector.borrow_mut();
    let view = collector.view(&members, now);
    let own_addr = members.own().peer_addr;
    if let Some(view) = &view {
        members.record_view(own_addr, view, now);
    }
    let news = collector.take_news();
    let changed = news.into_iter().filter_map(|addr| members.get(addr));
    let (sums, instances) = state.peer_usage.borrow().total(now);
    let mut fleet_usage = state.fleet_usage.borrow_mut();
    fleet_usage.record_sums(sums.clone(), instances, now);
    // The other collectors have the same reports; only one tells what must not be told thrice.
    let tells = members.duty_rank(balance::COLLECT) == 0;
    let outcomes = state.outcome_log.borrow_mut().take_untold();
    let limits = state.untold_limits.take().into_iter();
    let limits = limits.map(|(at, mut limit)| {
        limit.age_ms += now.since_us(at) / 1_000;
        limit
    });
    Digest {
        view,
        operator_next: state.operator_next.get(),
        operator_age_ms: operator_age_ms(state),
        config_version: state.config_version(),
        entries_era: state.entries.borrow().era(),
        fresh_ms: state.reported_fresh_ms.take().max(fresh_ms(state)),
        budget_usage: Some((sums.into_iter().collect(), instances)),
        claims: digest_claims(state),
        rollouts: rollout_reports(state, false),
        members: changed.cloned().collect(),
        outcomes: if tells { outcomes } else { Vec::new() },
        leaving: take_leaving(state),
        crashes: take_untold_crashes(state),
        limits: if tells { limits.collect() } else { Vec::new() },
        ..Digest::new(members.own().clone())
    }
}

/// Returns the targets that leave and of which this digest is to tell.
fn take_leaving(state: &State) -> Vec<LeavingReport> {
    let mut untold = state.untold_leaving.borrow_mut();
    let told = untold.iter().map(|(leaving, _)| leaving.clone()).collect();
    untold.retain_mut(|(_, left)| {
        *left -= 1;
        *left > 0
    });
    told
}

/// Sends a digest to all live instances.
async fn send_digest(state: &State, socket: &UdpSocket, digest: Digest) {
    let groups = groups(state);
    let made = state.now();
    let forwards = groups.iter().map(|g| g.others.len()).max();
    for part in digest.encode(forwards.unwrap_or_default()) {
        for group in &groups {
            let held_ms = state.now().since_us(made).div_ceil(1_000);
            let bytes = envelope(&part, held_ms, &group.others);
            send_paced(state, socket, &state.report_pace, &bytes, group.relay).await;
        }
    }
}

/// Divides the live instances into random groups, of which one instance forwards a digest.
fn groups(state: &State) -> Vec<FanOut> {
    let members = state.members.borrow();
    let mut live: Vec<&Member> = members.live().collect();
    live.shuffle(&mut rand::rng());
    FanOut::groups(live, transmission_us(state, MAX_BYTES))
}

/// Tells an instance that has sent a report here, although this one is no collector, who collects.
pub async fn send_welcome(state: &State, socket: &UdpSocket, to: SocketAddr) {
    for part in welcome(state).encode(0) {
        if let Err(error) = socket.send_to(&envelope(&part, 0, &[]), to).await {
            tracing::debug!(event = "welcome_unsent", peer = %to, %error);
        }
    }
}

/// Returns a digest that names the collectors.
fn welcome(state: &State) -> Digest {
    let members = state.members.borrow();
    let own = members.own().peer_addr;
    let collectors = members.collectors().into_iter();
    Digest {
        operator_next: state.operator_next.get(),
        operator_age_ms: operator_age_ms(state),
        config_version: state.config_version(),
        entries_era: state.entries.borrow().era(),
        members: collectors.filter(|m| m.peer_addr != own).cloned().collect(),
        ..Digest::new(members.own().clone())
    }
}
