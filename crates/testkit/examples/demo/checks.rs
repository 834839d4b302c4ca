//! Checks of the promises against what was measured. Bounds are those of the design page.

use std::{os::unix::process::ExitStatusExt, time::Duration};

use testkit::load::{Customer, Sample};

use crate::{
    promise::{Promise, Verdict},
    seen::{Leaving, Seen},
};

/// Prefix of the ids of the load's calls.
pub const TAG: &str = "demo";
/// Largest cost of measuring load, as a share of upstream work.
const PROBE_SHARE: f64 = 0.01;
/// Largest share of a bad version's calls before detection.
const BAD_SHARE: f64 = 0.02;
/// Time after detection in which a bad version may still get calls.
const BAD_TAIL: Duration = Duration::from_secs(2);
/// Time for a change to be in force everywhere.
const CHANGE_LIMIT: Duration = Duration::from_secs(5);

/// Checks all promises.
pub fn check_all(customer: &Customer, seen: &Seen) -> Vec<Promise> {
    vec![
        probes(seen),
        cold(seen),
        zone(seen),
        bad_version(seen),
        own_answer(seen),
        not_run(seen),
        at_most_once(customer, seen),
        draining(seen),
        planned_stop(seen),
        change(seen),
    ]
}

const fn promise(
    name: &'static str,
    text: &'static str,
    verdict: Verdict,
    seen: String,
) -> Promise {
    Promise {
        name,
        text,
        verdict,
        seen,
    }
}

fn probes(seen: &Seen) -> Promise {
    let share = seen.counts.probes as f64 / seen.counts.ran.max(1) as f64;
    promise(
        "P1",
        "measuring load costs at most 1% of upstream time",
        Verdict::of(share <= PROBE_SHARE && seen.counts.ran > 0),
        format!(
            "{} probes next to {} calls",
            seen.counts.probes, seen.counts.ran
        ),
    )
}

fn cold(seen: &Seen) -> Promise {
    let counts = seen.cold;
    let verdict = if counts.ran == 0 {
        Verdict::NotShown
    } else {
        Verdict::of(counts.over_cold_limit == 0 && counts.refused == 0)
    };
    let text = format!(
        "{} calls run by upstreams that joined cold, {} beyond their limit, {} refused",
        counts.ran, counts.over_cold_limit, counts.refused
    );
    promise(
        "P2",
        "a cold upstream gets no more than it can handle",
        verdict,
        text,
    )
}

fn leaving(found: Option<Leaving>) -> (Verdict, String) {
    match found {
        Some(l) if l.before > 0 => (
            Verdict::of(l.after == 0),
            format!("{} calls before, {} more than 3 s after", l.before, l.after),
        ),
        _ => (Verdict::NotShown, "no calls before".to_owned()),
    }
}

fn zone(seen: &Seen) -> Promise {
    let (verdict, text) = leaving(seen.zone);
    promise(
        "P3",
        "a zone taken out gets no new work after 3 s",
        verdict,
        text,
    )
}

fn draining(seen: &Seen) -> Promise {
    let (verdict, text) = leaving(seen.draining);
    promise(
        "P8",
        "a draining upstream gets no new work after 3 s",
        verdict,
        text,
    )
}

fn bad_version(seen: &Seen) -> Promise {
    let name = "P4";
    let text = "a bad version gets under 2% of calls, and none 2 s after detection";
    let Some(bad) = seen.bad.filter(|b| b.ran > 0) else {
        let seen = "the new version got no calls: the build made no rollout step".to_owned();
        return promise(name, text, Verdict::NotShown, seen);
    };
    let share = bad.ran as f64 / bad.all.max(1) as f64;
    let Some(after) = bad.stopped_after else {
        let seen = format!("{:.2}% of calls, never stopped", share * 100.0);
        return promise(name, text, Verdict::Broken, seen);
    };
    let seen = format!(
        "{:.2}% of calls, stopped after {} ms, last call {} ms later",
        share * 100.0,
        after.as_millis(),
        bad.last_after.as_millis()
    );
    let kept = share < BAD_SHARE && bad.last_after <= BAD_TAIL;
    promise(name, text, Verdict::of(kept), seen)
}

fn own_answer(seen: &Seen) -> Promise {
    let wrong = seen.samples.iter().filter(|s| s.wrong).count();
    let text = format!(
        "{wrong} wrong or short answers passed on, {} sent by upstreams",
        seen.counts.faulty_responses
    );
    let verdict = if seen.counts.faulty_responses == 0 {
        Verdict::NotShown
    } else {
        Verdict::of(wrong == 0)
    };
    promise(
        "P5",
        "each caller gets its own, whole answer",
        verdict,
        text,
    )
}

fn runs(seen: &Seen, sample: &Sample) -> u64 {
    let id = format!("{TAG}-{}", sample.number);
    seen.runs.get(&id).copied().unwrap_or(0)
}

fn not_run(seen: &Seen) -> Promise {
    let refused: Vec<&Sample> = seen.samples.iter().filter(|s| s.is_refused()).collect();
    let false_ones = refused.iter().filter(|s| runs(seen, s) > 0).count();
    let verdict = if refused.is_empty() {
        Verdict::NotShown
    } else {
        Verdict::of(false_ones == 0)
    };
    let text = format!(
        "{} calls refused as not run, {false_ones} had run",
        refused.len()
    );
    promise("P6", "a refusal as not run is true", verdict, text)
}

fn at_most_once(customer: &Customer, seen: &Seen) -> Promise {
    let once =
        |s: &&Sample| !customer.services[s.arrival.service].classes[s.arrival.class].idempotent;
    let calls: Vec<&Sample> = seen.samples.iter().filter(once).collect();
    let twice = calls.iter().filter(|s| runs(seen, s) > 1).count();
    let repeated = calls.iter().filter(|s| s.retries > 0).count();
    promise(
        "P7",
        "a non-idempotent call runs at most once",
        Verdict::of(twice == 0 && !calls.is_empty()),
        format!(
            "{twice} of {} ran twice; {repeated} were repeated as not run",
            calls.len()
        ),
    )
}

fn planned_stop(seen: &Seen) -> Promise {
    let name = "P9";
    let text = "a planned stop cuts no call";
    let Some(stop) = seen.stop else {
        let seen = "needs the binary: cargo build --release -p hibiscusway".to_owned();
        return promise(name, text, Verdict::NotShown, seen);
    };
    let Some(status) = stop.status else {
        let seen = format!(
            "{} calls, {} cut, the process went on",
            stop.calls, stop.cut
        );
        return promise(name, text, Verdict::Broken, seen);
    };
    if status.signal().is_some() {
        let seen = format!(
            "the build does not handle SIGTERM yet ({status}, {} calls cut)",
            stop.cut
        );
        return promise(name, text, Verdict::NotShown, seen);
    }
    let seen = format!("{} calls, {} cut, {status}", stop.calls, stop.cut);
    let kept = stop.cut == 0 && status.success() && stop.calls > 0;
    promise(name, text, Verdict::of(kept), seen)
}

fn change(seen: &Seen) -> Promise {
    let name = "P10";
    let text = "a change is in force everywhere within seconds and never reverts";
    let Some(change) = seen.change else {
        return promise(
            name,
            text,
            Verdict::NotShown,
            "nothing published".to_owned(),
        );
    };
    let Some(after) = change.offset_after else {
        let seen = "not at all instances in time".to_owned();
        return promise(name, text, Verdict::Broken, seen);
    };
    let kept = after <= CHANGE_LIMIT && change.known == change.instances && seen.offset_back == 0;
    let seen = format!(
        "{} ms; {} of {} instances knew the new class; went back {} times",
        after.as_millis(),
        change.known,
        change.instances,
        seen.offset_back
    );
    promise(name, text, Verdict::of(kept), seen)
}
