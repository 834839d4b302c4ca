//! Applies what a collector tells.

use std::net::{SocketAddr, SocketAddrV4};

use balance::{Member, PeerAhead, Position, ReportedOutcomes};
use model::{InstanceId, Time};
use tracing::{info, warn};

use crate::{
    crashes::apply_crashes, digest::Digest, notices::apply_leaving,
    operator_age::record_operator_as_of, report::RolloutReport, reporting::is_running,
    returns::apply_claims, state::State, store_era::check_peer_era,
    target_limits::apply_limit_reports,
};

/// Time for which the entries of an instance must have been up to date to show that the store had no
/// outage, in milliseconds. Entries that lapsed in an outage are back 2 s after the store.
pub const MIN_FRESH_MS: u64 = 2_500;
/// Time for which such a report is valid, in microseconds: more than two intervals of digests.
const CONFIRMED_US: u64 = 2_000_000;
/// Most instances in one log line. The collectors log each change that reaches them.
const MAX_NAMES: usize = 8;
/// Time between two attempts to fetch a configuration from a peer, in microseconds. Each one ends the
/// pending read of the operator's records.
const CONFIG_RETRY_US: u64 = 1_000_000;

/// Applies a digest. `from` is the instance that it was received from, which may have forwarded it,
/// and `since` the time at which it was made, or from which it may have waited in the socket. Calls `on_peer_ahead` if its
/// sender knows more of the operator's records.
pub fn apply_digest(
    state: &State,
    digest: Digest,
    from: SocketAddrV4,
    since: Time,
    on_peer_ahead: &impl Fn(PeerAhead),
) {
    let now = state.now();
    let sender = &digest.member;
    let addr = sender.peer_addr;
    check_peer_era(state, digest.entries_era);
    let as_of = since.minus_ms(digest.operator_age_ms);
    let progress = (digest.operator_next, as_of);
    check_peer_ahead(state, addr, progress, digest.config_version, on_peer_ahead);
    let mut members = state.members.borrow_mut();
    let arrived = members.arrived_at(since, now);
    let is_direct = addr == from.into();
    let is_change = if is_direct {
        members.record_heard(sender.clone(), arrived)
    } else {
        members.record_named(sender.clone(), arrived)
    };
    if is_change {
        log_member(sender);
    }
    let named = digest.members.into_iter();
    let changed = named.filter(|m| members.record_named(m.clone(), arrived));
    log_members(changed, sender.name.as_str());
    if let Some(view) = &digest.view {
        members.record_view_as_of(addr, view, arrived, now);
    }
    drop(members);
    confirm_entries(state, digest.entries_era, digest.fresh_ms, &sender.name);
    if let Some((usage, instances)) = digest.budget_usage {
        let mut fleet_usage = state.fleet_usage.borrow_mut();
        fleet_usage.record_sums(usage.into_iter().collect(), instances, now);
    }
    apply_claims(state, &digest.claims, since);
    for outcomes in &digest.outcomes {
        apply_outcomes(state, outcomes);
    }
    apply_leaving(state, &digest.leaving, sender.name.as_str());
    apply_limit_reports(state, &digest.limits, &sender.name);
    apply_crashes(state, &digest.crashes, sender.name.as_str());
    for rollout in &digest.rollouts {
        apply_rollout(state, sender, rollout);
    }
}

/// Logs that an instance has joined, or has changed its description.
pub fn log_member(member: &Member) {
    info!(event = "peer", peer = %member.name, boot = member.incarnation,
        revision = member.revision, presence = ?member.presence, has_store = member.has_store,
        has_targets = member.has_targets);
}

/// Logs in one line which instances have joined or changed their descriptions, as `source` told.
pub fn log_members(changed: impl Iterator<Item = Member>, source: &str) {
    let mut names: Vec<String> = changed
        .map(|m| format!("{}/{}:{:?}", m.name, m.incarnation, m.presence))
        .collect();
    let count = names.len();
    if count > 0 {
        names.truncate(MAX_NAMES);
        info!(event = "peers", count, peers = names.join(","), source);
    }
}

/// Records how far the peer at `addr` has read the operator's records (`progress`: position of the next
/// one, and the time as of which there was none). Calls `on_peer_ahead` if it knows more of them than
/// this instance, or has a newer configuration in force.
pub fn check_peer_ahead(
    state: &State,
    addr: SocketAddr,
    progress: (Position, Time),
    config_version: u64,
    on_peer_ahead: &impl Fn(PeerAhead),
) {
    let (next, as_of) = progress;
    record_operator_as_of(state, next, as_of);
    let has_records = next > state.operator_next.get();
    // The peer may have more records than it can pass on, so its configuration is noted in any case.
    let wants_config = wants_config(state, config_version);
    if has_records || wants_config {
        on_peer_ahead(PeerAhead {
            addr,
            has_records,
            next,
            as_of,
            config_version,
        });
    }
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

/// Records that an instance has had entries of targets of `era` for `fresh_ms` without an outage of
/// the store. If that is long enough, targets whose entries are missing here are gone.
pub fn confirm_entries(state: &State, era: u64, fresh_ms: u64, source: &InstanceId) {
    if era != state.entries.borrow().era() || fresh_ms < MIN_FRESH_MS {
        return;
    }
    let now = state.now();
    state.confirmed_until.set(now.plus_us(CONFIRMED_US));
    let dropped = state.targets.borrow_mut().drop_lapsed(now);
    if dropped > 0 {
        info!(event = "targets_lapsed", dropped, %source, steady_ms = fresh_ms);
    }
}

/// Counts the outcomes in a report of an instance, unless they were counted before.
pub fn apply_outcomes(state: &State, reported: &ReportedOutcomes) {
    let own = state.members.borrow().own().fingerprint_of_process();
    if !state.outcome_log.borrow_mut().record(reported) || reported.reporter == own {
        return;
    }
    let now = state.now();
    let mut targets = state.targets.borrow_mut();
    for (id, good, bad) in &reported.outcomes {
        if let Some(target) = targets.get_mut(id) {
            target.health.record(now, *good, *bad);
        }
    }
}

/// Applies what the instance `from` knows of a rollout.
pub fn apply_rollout(state: &State, from: &Member, report: &RolloutReport) {
    let mut rollouts = state.rollouts.borrow_mut();
    let Some(rollout) = rollouts.get_mut(&report.service) else {
        return;
    };
    if rollout.order.position != report.order {
        return;
    }
    if is_running(rollout) && report.verdict != balance::Verdict::Running {
        info!(event = "rollout_verdict", service = %report.service, verdict = ?report.verdict,
            source = %from.name);
        rollout.verdict = report.verdict;
    }
    let (was_stopped, old_stage) = (rollout.is_stopped, rollout.stage);
    let now = state.now();
    if let Some(evidence) = &report.evidence {
        let process = (from.name.clone(), from.incarnation);
        let evidence = evidence.clone();
        rollout.record_report(process, report.stage(), report.stopped, evidence, now);
    } else {
        rollout.record_stage(report.stage(), report.stopped, now);
    }
    if rollout.stop_if_bad() || (rollout.is_stopped && !was_stopped) {
        warn!(event = "rollout_stopped", service = %report.service, source = %from.name,
            stage = rollout.stage.0);
    }
    let is_news = rollout.is_stopped != was_stopped || rollout.stage != old_stage;
    drop(rollouts);
    if is_news {
        state.request_digest();
    }
}

#[cfg(test)]
mod tests;
