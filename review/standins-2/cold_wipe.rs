//! All gateways are killed at the same moment while targets are cold.

use std::{io, path::Path, thread, time::Duration};

use crate::{
    rig::{Load, Rig, ZONES, has_trouble, record_in, request, route, service},
    target::{Run, Spec},
};

/// `warmup_per_s` x `cold_over` + `cold_slack`.
const MOST: f64 = 11.0 * 1.5 + 5.0;

pub fn run(folder: &Path) -> io::Result<bool> {
    let record = record_in(folder)?;
    let mut rig = Rig::start(&record)?;
    let more = "\"timeout_s\":0.8,\"aim_s\":0.25,\"priority\":2,\"attempts\":2";
    rig.publish(&route("batch", "idempotent", "/batch/", "orders", more), &service("orders"));
    for index in 0..3 {
        rig.add_target(Spec {
            name: format!("i-{index}"),
            service: String::from("orders"),
            zone: ZONES[index % 3].to_owned(),
            version: String::from("v1"),
            slots: 8,
            work: Duration::from_millis(60),
            cold_s: 3.0,
            deadly: None,
            crash_after: Duration::ZERO,
            down: Duration::from_secs(1),
            limit: None,
        })?;
    }
    rig.start_gateways(16)?;
    rig.wait_ready()?;
    thread::sleep(Duration::from_secs(3));
    let load = Load::start(&rig, 96, Duration::from_millis(60), 800, |_, id| {
        request("GET", &format!("/batch/{id}"), id, 800, b"")
    });
    thread::sleep(Duration::from_secs(3));
    for _ in 0..3 {
        // The targets end and come back cold. All gateways end at the same moment.
        for target in &rig.targets {
            target.crash();
        }
        if has_trouble() {
            rig.kill(|_| true);
        }
        thread::sleep(Duration::from_millis(1_000));
        if has_trouble() {
            rig.restart_ended()?;
        }
        for target in &rig.targets {
            target.boot(3.0)?;
        }
        thread::sleep(Duration::from_secs(7));
    }
    load.stop();
    let mut worst = 0;
    for target in &rig.targets {
        let mut runs: Vec<Run> = target.runs.lock().unwrap().clone();
        runs.retain(|run| run.is_cold);
        for (index, run) in runs.iter().enumerate() {
            let second = runs[index..].iter();
            let same = |r: &&Run| r.target == run.target && r.at < run.at + Duration::from_secs(1);
            worst = worst.max(second.take_while(same).count());
        }
    }
    record.say(&format!("FAILBACK: a cold target gets {worst} in one second; more than {MOST} break the rule"));
    Ok(worst as f64 > MOST)
}
