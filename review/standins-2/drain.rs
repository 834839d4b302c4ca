//! Targets that leave.

use std::{
    io,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    record::Record,
    rig::{Load, Rig, Seen, ZONES, has_trouble, record_in, request, route, service},
    target::{Spec, Target},
};

/// `drain_s`.
const DRAIN: Duration = Duration::from_secs(2);
const TARGETS: usize = 12;
/// `heartbeat_s`.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// `contact_s`.
const CONTACT: Duration = Duration::from_secs(3);

fn rig(record: &Record, gateways: usize) -> io::Result<Rig> {
    let mut rig = Rig::start(record)?;
    let more = "\"timeout_s\":0.8,\"aim_s\":0.25,\"priority\":2,\"attempts\":2";
    rig.publish(
        &route("batch", "idempotent", "/batch/", "orders", more),
        &service("orders"),
    );
    for index in 0..TARGETS {
        rig.add_target(Spec {
            name: format!("i-{index}"),
            service: String::from("orders"),
            zone: ZONES[index % 3].to_owned(),
            version: String::from("v1"),
            slots: 3,
            work: Duration::from_millis(90),
            cold_s: 0.0,
            deadly: None,
            crash_after: Duration::ZERO,
            down: Duration::ZERO,
            most_cold: None,
        })?;
        // The targets write their entries at different times.
        thread::sleep(HEARTBEAT / TARGETS as u32);
    }
    rig.start_gateways(gateways)?;
    rig.wait_ready()?;
    thread::sleep(Duration::from_secs(4));
    Ok(rig)
}

fn load(rig: &Rig) -> Load {
    Load::start(rig, 24, Duration::from_millis(150), 800, |_, id| {
        request("GET", &format!("/batch/{id}"), id, 800, b"")
    })
}

/// Runs at `targets` of requests that clients sent at `from` or later.
fn late_runs(record: &Record, targets: &[&Target], seen: &[Seen], from: Instant) -> usize {
    let mut count = 0;
    for target in targets {
        for run in target.runs.lock().unwrap().iter() {
            let sent = seen.iter().find(|s| s.id == run.id);
            if let Some(sent) = sent.filter(|s| s.sent >= from) {
                count += 1;
                if count <= 20 {
                    record.say(&format!(
                        "{} runs {} by edge-{} at {} ms",
                        run.target,
                        run.id,
                        sent.gateway + 1,
                        record.ms(run.at)
                    ));
                }
            }
        }
    }
    count
}

/// Another writer writes an entry with a `born` of another type under the id of a target that has left.
pub fn run_foreign(folder: &Path) -> io::Result<bool> {
    let record = record_in(folder)?;
    let rig = rig(&record, 3)?;
    let load = load(&rig);
    thread::sleep(Duration::from_secs(3));
    let target = &rig.targets[0];
    target.leave();
    let left = Instant::now();
    thread::sleep(DRAIN + Duration::from_secs(2));
    if has_trouble() {
        let entry = format!(
            "{{\"service\":\"orders\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":3,\
             \"state\":\"ready\",\"warmup_left_s\":0,\"seq\":1,\"born\":null}}",
            target.addr
        );
        record.say(&format!("another writer writes {} = {entry}", target.id()));
        rig.store.put("keyed.servers", &target.id(), &entry);
    }
    thread::sleep(Duration::from_secs(6));
    let seen = load.stop();
    let late = late_runs(
        &record,
        &[target],
        &seen,
        left + DRAIN + Duration::from_millis(100),
    );
    record.say(&format!(
        "DRAIN: {late} requests that were sent later than 2 s after the target was gone reach it; one \
         breaks the rule"
    ));
    Ok(late > 0)
}

/// Targets drain; the store is away for a moment and comes back from a copy; machines are added then.
pub fn run_restored(folder: &Path) -> io::Result<bool> {
    let record = record_in(folder)?;
    let mut rig = rig(&record, 6)?;
    let before = load(&rig);
    thread::sleep(Duration::from_secs(2));
    let copy = rig.store.copy();
    thread::sleep(Duration::from_secs(2));
    let leaving: Vec<Target> = rig.targets.iter().step_by(2).cloned().collect();
    for target in &leaving {
        target.drain();
    }
    thread::sleep(DRAIN + Duration::from_millis(500));
    if has_trouble() {
        rig.store.go_away();
        record.say("the store is away");
        thread::sleep(Duration::from_millis(1_500));
    }
    rig.start_gateways(3)?;
    record.say("three machines are added");
    thread::sleep(Duration::from_millis(500));
    if has_trouble() {
        rig.store.come_back(copy);
        record.say("the store is back from a copy that is 6.5 s old");
    }
    rig.wait_ready()?;
    let added = Instant::now();
    let after = load(&rig);
    // The targets have written their entries again, and these writes are acknowledged while the store
    // is stable.
    let calm = added + CONTACT + HEARTBEAT + DRAIN + Duration::from_millis(500);
    thread::sleep(Duration::from_secs(15));
    let mut seen = before.stop();
    seen.extend(after.stop());
    let targets: Vec<&Target> = leaving.iter().collect();
    for target in &targets {
        let entry = rig.store.get("keyed.servers", &target.id());
        record.say(&format!(
            "at the end the store has {} = {}",
            target.id(),
            entry.unwrap_or_default()
        ));
    }
    let late = late_runs(&record, &targets, &seen, calm);
    record.say(&format!(
        "DRAIN: {late} requests that were sent later than 7 s after the end of the impairment reach a \
         target that drains; one breaks the rule"
    ));
    Ok(late > 0)
}
