//! All gateways are killed at the same moment while targets start anew and are cold.

use std::{
    collections::HashMap,
    io,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    rig::{Load, Rig, ZONES, has_trouble, record_in, request, route, service},
    target::{Run, Spec},
};

/// `warmup_per_s` x `cold_over` + `cold_slack`.
const MOST: f64 = 11.0 * 1.5 + 5.0;
const COLD_S: f64 = 3.0;
const TARGETS: usize = 6;
/// Part of that bound from which on a cold target crashes.
const CRASHES_ABOVE: f64 = 1.15;

pub fn run(folder: &Path) -> io::Result<bool> {
    let record = record_in(folder)?;
    let mut rig = Rig::start(&record)?;
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
            slots: 8,
            work: Duration::from_millis(60),
            cold_s: COLD_S,
            deadly: None,
            crash_after: Duration::ZERO,
            down: Duration::from_secs(3),
            most_cold: Some(MOST * CRASHES_ABOVE),
        })?;
    }
    rig.start_gateways(16)?;
    rig.wait_ready()?;
    thread::sleep(Duration::from_secs(3));
    let load = Load::start(&rig, 48, Duration::from_millis(200), 800, |_, id| {
        request("GET", &format!("/batch/{id}"), id, 800, b"")
    });
    thread::sleep(Duration::from_secs(3));
    for target in &rig.targets {
        target.crash();
    }
    if has_trouble() {
        rig.kill(|_| true);
    }
    thread::sleep(Duration::from_secs(1));
    if has_trouble() {
        rig.restart_ended()?;
    }
    for target in &rig.targets {
        target.boot(COLD_S)?;
    }
    thread::sleep(Duration::from_secs(8));
    let seen = load.stop();
    let sent: HashMap<&str, Instant> = seen.iter().map(|s| (&*s.id, s.sent)).collect();
    let mut worst = (0, String::new(), 0);
    for target in &rig.targets {
        let runs: Vec<Run> = target
            .runs
            .lock()
            .unwrap()
            .iter()
            .filter(|r| r.is_cold)
            .cloned()
            .collect();
        for first in &runs {
            // Requests that were sent and arrived inside one second.
            let Some(from) = sent.get(&*first.id) else {
                continue;
            };
            let to = *from + Duration::from_secs(1);
            let is_inside = |r: &&Run| {
                r.target == first.target
                    && r.at < to
                    && sent.get(&*r.id).is_some_and(|at| at >= from)
            };
            let count = runs.iter().filter(is_inside).count();
            if count > worst.0 {
                worst = (count, first.target.clone(), record.ms(*from));
            }
        }
    }
    let crashes = rig.targets.iter().map(|t| t.crashes.lock().unwrap().len());
    let crashes: usize = crashes.sum();
    let failed = seen
        .iter()
        .filter(|s| s.status == 502 || s.status == 504)
        .count();
    record.say(&format!(
        "{} requests; targets crashed {crashes} times because they got too much while they were cold; \
         {failed} requests ended with 502 or 504",
        seen.len()
    ));
    record.say(&format!(
        "FAILBACK: {} requests were sent and arrived at the cold target {} in the second from {} ms; more \
         than {MOST} break the rule",
        worst.0, worst.1, worst.2
    ));
    Ok(worst.0 as f64 > MOST)
}
