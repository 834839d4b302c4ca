//! Records which requests were in progress at targets that crashed, and tells the other instances.

use std::{cell::RefCell, cmp::Reverse, collections::BTreeMap, net::SocketAddr};

use balance::{Crash, CrashReport, Suspicion};
use h1::Request;
use model::{TargetId, Time, hash_parts_and_pieces, rendezvous};
use platform::headers;
use tracing::{info, warn};

use crate::{
    state::State,
    workspaces::{Caller, is_withheld},
};

/// Most requests in one report or digest. With six crashes each they take about a third of a datagram.
const MAX_REPORTS: usize = 4;
/// Reports of an instance, and digests of each collector, that tell of a crash.
const REPEATS: u8 = 2;
/// Time after which a collector tells again of confirmed requests, in microseconds. An instance that
/// was cut off hears of them before it counts as being in touch again.
const RETELL_US: u64 = 1_500_000;

/// Source, in logs, of what this instance has seen itself.
const OWN: &str = "own";

/// Returns a hash of what is the same each time that a request comes. Where keys are checked, the name
/// of the workspace, which the target gets, stands in place of the key: the hash goes into logs and to
/// other instances.
pub fn request_key(request: &Request, caller: &Caller) -> u64 {
    let mut parts = vec![request.method.as_bytes(), request.target.as_bytes()];
    let names = headers::SAME_EACH_TIME.iter();
    for name in names.filter(|name| !is_withheld(caller, name)) {
        parts.push(name.as_bytes());
        parts.extend(request.headers.values(name));
    }
    if let Some(workspace) = caller.workspace() {
        parts.push(headers::TENANT.as_bytes());
        parts.push(workspace.name.as_bytes());
    }
    hash_parts_and_pieces(&parts, request.body.segments())
}

/// Returns what is known of the request `key`.
pub fn suspicion(state: &State, key: u64) -> Suspicion {
    let suspects = state.crash_suspects.borrow();
    suspects.suspicion(key, state.now())
}

/// A request that was sent to a process of a target.
pub struct SentRequest<'a> {
    /// Hash of what is the same each time that the request comes.
    pub key: u64,
    /// Id of the request, if it has one.
    pub id: Option<&'a str>,
    /// Name of the target.
    pub target: &'a TargetId,
    /// Start of the process, as in the target's entry.
    pub born: u64,
    /// Address of the target.
    pub addr: SocketAddr,
    /// When the request was sent.
    pub sent: Time,
}

/// Records that a process crashed at `at` while it ran the request, and has it told to the others.
pub fn record_crash(state: &State, request: &SentRequest<'_>, at: Time) {
    let SentRequest {
        key, target, born, ..
    } = *request;
    let before = suspicion(state, key);
    let crash = Crash {
        process: rendezvous(target.as_str(), &born.to_string()),
        sent: request.sent,
        at,
    };
    let mut suspects = state.crash_suspects.borrow_mut();
    let is_news = suspects.record_crash(key, crash, state.now());
    drop(suspects);
    let after = suspicion(state, key);
    warn!(event = "crash_suspected", id = request.id.unwrap_or("-"), key = hex(key),
        crashes = after.crashes(), target_id = %target, born, source = OWN);
    state.metrics.count("crash_suspects", 1);
    log_change(state, key, before, after, OWN);
    if is_news {
        state.crash_news.borrow_mut().insert(key, REPEATS);
        state.request_report();
    }
}

/// Records that a target has run the request `key` and responded.
pub fn record_run(state: &State, key: u64) {
    let mut suspects = state.crash_suspects.borrow_mut();
    if suspects.is_empty() {
        return;
    }
    let before = suspects.suspicion(key, state.now());
    let is_news = suspects.record_success(key, state.now());
    drop(suspects);
    if is_news {
        log_change(state, key, before, suspicion(state, key), OWN);
        // Not urgent: others still send the request, if more carefully.
        state.crash_news.borrow_mut().insert(key, REPEATS);
    }
}

/// Applies what the instance `peer` knows of requests near crashes.
pub fn apply_crashes(state: &State, reports: &[CrashReport], peer: &str) {
    for report in reports {
        let key = report.key;
        let before = suspicion(state, key);
        let is_news = {
            let mut suspects = state.crash_suspects.borrow_mut();
            suspects.apply(report, state.now())
        };
        if is_news {
            log_change(state, key, before, suspicion(state, key), peer);
        }
    }
}

/// Applies as a collector what a report says of requests near crashes, and has it told to all.
pub fn collect_crashes(state: &State, reports: &[CrashReport], peer: &str) {
    // The own report brings no news here, but the others have to be told of it.
    apply_crashes(state, reports, peer);
    let mut untold = state.untold_crashes.borrow_mut();
    untold.extend(reports.iter().map(|report| (report.key, REPEATS)));
    drop(untold);
    if reports.iter().any(|report| !report.crashes.is_empty()) {
        state.request_digest();
    }
}

/// Returns what a report is to tell of requests near crashes.
pub fn take_crash_news(state: &State) -> Vec<CrashReport> {
    let reports = take_reports(state, &state.crash_news);
    if has_urgent(&reports) && !state.crash_news.borrow().is_empty() {
        state.request_report();
    }
    reports
}

/// Returns what a digest is to tell of requests near crashes.
pub fn take_untold_crashes(state: &State) -> Vec<CrashReport> {
    let now = state.now();
    if now.since_us(state.crashes_told.get()) >= RETELL_US {
        state.crashes_told.set(now);
        let suspects = state.crash_suspects.borrow();
        let mut untold = state.untold_crashes.borrow_mut();
        for key in suspects.confirmed(now).take(MAX_REPORTS) {
            untold.entry(key).or_insert(1);
        }
    }
    let reports = take_reports(state, &state.untold_crashes);
    if has_urgent(&reports) && !state.untold_crashes.borrow().is_empty() {
        state.request_digest();
    }
    reports
}

/// Whether a full datagram tells of crashes, so that the rest must not wait for the next interval.
fn has_urgent(reports: &[CrashReport]) -> bool {
    reports.len() == MAX_REPORTS && reports.iter().any(|report| !report.crashes.is_empty())
}

/// Takes reports on up to [`MAX_REPORTS`] of `untold`, which holds how often each is still to be told.
/// Those with the most crashes come first: sound requests are near crashes, too.
fn take_reports(state: &State, untold: &RefCell<BTreeMap<u64, u8>>) -> Vec<CrashReport> {
    let now = state.now();
    let suspects = state.crash_suspects.borrow();
    let mut untold = untold.borrow_mut();
    let mut keys: Vec<u64> = untold.keys().copied().collect();
    keys.sort_by_key(|key| {
        let crashes = suspects.suspicion(*key, now).crashes();
        // What was not told at all comes before what is repeated.
        (Reverse(crashes), Reverse(untold.get(key).copied()))
    });
    keys.truncate(MAX_REPORTS);
    for key in &keys {
        let left = untold.remove(key).unwrap_or_default();
        if left > 1 {
            untold.insert(*key, left - 1);
        }
    }
    let reports = keys.into_iter();
    reports
        .filter_map(|key| suspects.report(key, now))
        .collect()
}

/// Logs what has become known of the request `key`. `source` is the instance that told.
fn log_change(state: &State, key: u64, before: Suspicion, after: Suspicion, source: &str) {
    let crashes = after.crashes();
    let is_news = before.left_us().is_none();
    let key = hex(key);
    match after {
        Suspicion::Confirmed { left_us } if is_news => {
            state.metrics.count("crashes_confirmed", 1);
            let hold_ms = left_us / 1_000;
            warn!(event = "crash_confirmed", key, crashes, hold_ms, source);
        }
        Suspicion::Clear if before != Suspicion::Clear => {
            info!(event = "crash_cleared", key, source);
        }
        Suspicion::Suspected { .. } if source != OWN => {
            info!(event = "crash_suspected", key, crashes, source);
        }
        _ => {}
    }
}

/// Returns the key of a request as logs show it.
pub fn hex(key: u64) -> String {
    format!("{key:016x}")
}

#[cfg(test)]
mod tests;
