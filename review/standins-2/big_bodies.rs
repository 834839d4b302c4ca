//! Clients send request bodies within `max_body_bytes` of the manifest at the same time.

use std::{
    io,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    rig::{Load, Rig, Seen, ZONES, exchange, has_trouble, next_id, record_in, request, route, service},
    target::Spec,
};

/// `memory_mb` of a machine.
const MEMORY: u64 = 260 * 1024 * 1024;
/// Clients that send a large body at the same time.
const UPLOADS: usize = 5;
/// Size of a large body; `max_body_bytes` is 67,108,864.
const LARGE: usize = 60_000_000;
/// Largest body of the site file.
const USUAL: usize = 24_000;
/// Time for which a process that has ended is down.
const DOWN: Duration = Duration::from_millis(500);

pub fn run(folder: &Path) -> io::Result<bool> {
    let record = record_in(folder)?;
    let mut rig = Rig::start(&record)?;
    let more = "\"timeout_s\":6,\"aim_s\":2,\"priority\":1,\"attempts\":2";
    let routes = [
        route("order", "non_idempotent", "/order/", "orders", more),
        route("batch", "idempotent", "/batch/", "orders", more),
    ];
    rig.publish(&routes.join(","), &service("orders"));
    for index in 0..24 {
        rig.add_target(Spec {
            name: format!("i-{index}"),
            service: String::from("orders"),
            zone: ZONES[index % 3].to_owned(),
            version: String::from("v1"),
            slots: 3,
            work: Duration::from_millis(400),
            cold_s: 0.0,
            deadly: None,
            crash_after: Duration::ZERO,
            down: Duration::ZERO,
            limit: None,
        })?;
    }
    rig.start_gateways(3)?;
    rig.wait_ready()?;
    thread::sleep(Duration::from_secs(3));
    // Usual clients: each keeps its channel and sends one request after the other.
    let load = Load::start(&rig, 45, Duration::from_millis(20), 3_000, |_, id| {
        request("POST", &format!("/order/{id}"), id, 3_000, &[b'x'; 4_000])
    });
    thread::sleep(Duration::from_secs(3));
    let size = if has_trouble() { LARGE } else { USUAL };
    let addr = rig.gateways[0].callers();
    record.say(&format!("{UPLOADS} clients send bodies of {size} bytes to edge-1 at the same time"));
    let uploads: Vec<_> = (0..UPLOADS)
        .map(|_| {
            let record = record.clone();
            thread::spawn(move || {
                let id = next_id();
                let bytes = request("POST", &format!("/order/{id}"), &id, 6_000, &vec![b'y'; size]);
                let limit = Duration::from_secs(6);
                exchange(&record, 0, addr, &mut None, &id, &bytes, limit)
            })
        })
        .collect();
    // The platform ends a process that exceeds its memory, and starts it again.
    let (mut largest, mut kills) = (0, 0);
    let end = Instant::now() + Duration::from_secs(9);
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(2));
        for gateway in &mut rig.gateways {
            let memory = gateway.memory();
            largest = largest.max(memory);
            if memory > MEMORY {
                gateway.kill();
                kills += 1;
                record.say(&format!(
                    "platform ends {} at {} MB of {} MB",
                    gateway.name,
                    memory / 1024 / 1024,
                    MEMORY / 1024 / 1024
                ));
                thread::sleep(DOWN);
                gateway.restart()?;
            }
            if gateway.has_ended() {
                kills += 1;
                record.say(&format!("{} has ended by itself", gateway.name));
                gateway.restart()?;
            }
        }
    }
    for upload in uploads {
        let seen = upload.join().ok().flatten();
        let status = seen.map_or(0, |seen| seen.status);
        record.say(&format!("upload: status {status} (0: the channel ended without an answer)"));
    }
    let seen = load.stop();
    let runs: Vec<String> = rig
        .targets
        .iter()
        .flat_map(|t| t.runs.lock().unwrap().iter().map(|run| run.id.clone()).collect::<Vec<_>>())
        .collect();
    let is_lost = |s: &&Seen| {
        s.status == 0 && s.is_kept && s.ended < s.sent + Duration::from_millis(2_900) && runs.contains(&s.id)
    };
    let lost = seen.iter().filter(is_lost).count();
    let served = seen.iter().filter(|s| s.status == 200).count();
    record.say(&format!(
        "{} usual requests, {served} served; largest memory {} MB; {kills} processes ended",
        seen.len(),
        largest / 1024 / 1024
    ));
    record.say(&format!(
        "LOST: {lost} requests from kept channels were passed on to a sound target and their channels \
         closed without an answer; more than 3 break the rule"
    ));
    Ok(lost > 3)
}
