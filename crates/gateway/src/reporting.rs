//! Sends reports on this instance to the collectors.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use async_std::{future::timeout, net::UdpSocket, task};
use balance::{BudgetUsage, Presence, ReportedOutcomes, Rollout, Verdict};
use model::ServiceName;
use rand::seq::IndexedRandom;
use tracing::info;

use crate::{
    collecting::apply_report,
    crashes::take_crash_news,
    datagrams::send_paced,
    hedging::give_up_unused,
    operator_age::operator_age_ms,
    phase::Phase,
    reach::has_targets,
    report::{Report, RolloutReport},
    returns::report_claims,
    state::State,
    target_limits::take_limit_reports,
};

/// Age up to which the entries of targets count as up to date, in microseconds.
const FRESH_US: u64 = 1_300_000;
/// Fraction of the usual interval after which reports are sent while a rollout runs. A faulty version
/// must be stopped within seconds.
const ROLLOUT_DIVISOR: u64 = 2;

/// Shortest time between two reports of an instance.
const MIN_PAUSE: Duration = Duration::from_millis(20);

/// Sends reports until the process ends.
pub async fn send_reports(state: Rc<State>, socket: Rc<UdpSocket>) {
    loop {
        send_report(&state, &socket).await;
        let rollout_runs = state.rollouts.borrow().values().any(is_running);
        let interval_ms = state.members.borrow().interval_ms();
        let divisor = if rollout_runs { ROLLOUT_DIVISOR } else { 1 };
        task::sleep(MIN_PAUSE).await;
        let pause = Duration::from_millis(interval_ms / divisor).saturating_sub(MIN_PAUSE);
        // Whether the time is over or something urgent has happened makes no difference.
        let _ = timeout(pause, state.report_wanted()).await;
    }
}

/// Whether a rollout has no verdict yet.
pub fn is_running(rollout: &Rollout) -> bool {
    rollout.verdict == Verdict::Running
}

/// Sends one report to the collectors, to the seeds that are not known yet, and to one instance that
/// seems to have ended: it may have been cut off together with the collectors that it knows.
pub async fn send_report(state: &Rc<State>, socket: &UdpSocket) {
    let now = state.now();
    let mut addrs = {
        let mut members = state.members.borrow_mut();
        members.sweep(now);
        let mut addrs = members.receivers(now);
        addrs.extend(members.addresses_to_try());
        let dead: Vec<SocketAddr> = members.dead().map(|m| m.peer_addr).collect();
        addrs.extend(dead.choose(&mut rand::rng()));
        for seed in &state.settings.seeds {
            let addr = SocketAddr::new(seed.ip(), state.settings.peer.port());
            if members.get(addr).is_none() {
                addrs.push(addr);
            }
        }
        addrs
    };
    state.peer_usage.borrow_mut().sweep(now);
    addrs.sort_unstable();
    addrs.dedup();
    addrs.retain(|addr| *addr != SocketAddr::from(state.settings.peer));
    let mut report = own_report(state);
    if state.is_collector.get() {
        apply_report(state, &report, true);
    }
    let bytes = report.encode();
    for addr in addrs {
        send_paced(state, socket, &state.report_pace, &bytes, addr).await;
    }
}

/// Returns how long the entries have been up to date without an outage of the store, in
/// milliseconds, or 0 if they are out of date now.
pub fn fresh_ms(state: &State) -> u64 {
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

/// Returns a report on this instance. It takes the collected outcomes and the news of limits.
fn own_report(state: &State) -> Report {
    let now = state.now();
    let presence = match state.phase.get() {
        Phase::Starting => Presence::Starting,
        Phase::Ready => Presence::Ready,
        Phase::Leaving => Presence::Leaving,
    };
    let mut members = state.members.borrow_mut();
    let has_targets = has_targets(state);
    if members.update_own(presence, state.has_store.get(), has_targets) {
        info!(
            event = "own_state",
            ?presence,
            has_store = state.has_store.get(),
            has_targets
        );
    }
    let member = members.own().clone();
    drop(members);
    let number = state.report_number.get() + 1;
    state.report_number.set(number);
    let outcomes = state.outcomes.take().into_iter();
    let bad = outcomes.filter(|(_, (_, bad))| *bad > 0);
    let mut budgets = state.budgets.borrow_mut();
    if let Some(config) = state.config() {
        budgets.retain(|name, budget| {
            config.service(name).is_some() || budget.usage(now) != BudgetUsage::default()
        });
    }
    let usage = budgets
        .iter_mut()
        .map(|(name, b)| (name.clone(), b.usage(now)));
    let mut budget_usage: Vec<_> = usage.collect();
    for (service, usage) in &mut budget_usage {
        give_up_unused(state, service, usage);
    }
    let has_budget = |service: &ServiceName| budgets.contains_key(service);
    state.hedging.sweep(now, has_budget);
    state
        .fleet_usage
        .borrow_mut()
        .record_own(budget_usage.iter().cloned().collect());
    Report {
        outcomes: ReportedOutcomes {
            reporter: member.fingerprint_of_process(),
            number,
            outcomes: bad.map(|(id, (good, bad))| (id, good, bad)).collect(),
        },
        member,
        operator_next: state.operator_next.get(),
        operator_age_ms: operator_age_ms(state),
        config_version: state.config_version(),
        entries_era: state.entries.borrow().era(),
        fresh_ms: fresh_ms(state),
        leaving: state.leaving_news.take(),
        limits: take_limit_reports(state),
        budget_usage,
        claims: report_claims(state),
        rollouts: rollout_reports(state, true),
        crashes: take_crash_news(state),
    }
}

/// Returns the state of the rollouts, with the evidence of this instance if it is wanted.
pub fn rollout_reports(state: &State, has_evidence: bool) -> Vec<RolloutReport> {
    let rollouts = state.rollouts.borrow();
    let reports = rollouts.values().map(|r| RolloutReport {
        service: r.order.service.clone(),
        order: r.order.position,
        stage: r.stage.0,
        share: r.share_percent,
        stopped: r.is_stopped,
        verdict: r.verdict,
        evidence: (has_evidence && is_running(r)).then(|| r.own_evidence.clone()),
    });
    reports.collect()
}

#[cfg(test)]
mod tests;
