//! Requests that crash each target that begins to run them.

use std::{
    io,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::Channel,
    record::Record,
    rig::{Rig, ZONES, exchange, has_trouble, next_id, record_in, request, route, service},
    target::{Run, Spec},
};

/// `contact_s`.
const CONTACT: Duration = Duration::from_secs(3);
const DEADLY: &str = "/deadly/";

fn rig(
    record: &Record,
    targets: usize,
    gateways: usize,
    deadly: Option<&'static str>,
) -> io::Result<Rig> {
    let mut rig = Rig::start(record)?;
    let more = "\"timeout_s\":0.8,\"aim_s\":0.25,\"priority\":2,\"attempts\":2";
    rig.publish(
        &route("batch", "idempotent", "/batch/", "orders", more),
        &service("orders"),
    );
    for index in 0..targets {
        rig.add_target(Spec {
            name: format!("i-{index}"),
            service: String::from("orders"),
            zone: ZONES[index % 3].to_owned(),
            version: String::from("v1"),
            slots: 3,
            work: Duration::from_millis(90),
            cold_s: 0.0,
            deadly,
            crash_after: Duration::from_millis(60),
            down: Duration::from_secs(3),
            most_cold: None,
        })?;
    }
    rig.start_gateways(gateways)?;
    rig.wait_ready()?;
    thread::sleep(Duration::from_secs(4));
    Ok(rig)
}

/// Runs of `path` that count: sent later than `contact_s` after the third crash.
fn late(rig: &Rig, path: &str) -> (usize, Vec<Run>) {
    let targets = rig.targets.iter();
    let mut runs: Vec<Run> = targets
        .flat_map(|t| t.runs.lock().unwrap().clone())
        .collect();
    runs.retain(|run| run.path == path);
    runs.sort_by_key(|run| run.at);
    let all = runs.len();
    let targets = rig.targets.iter();
    let crashes = targets.flat_map(|t| t.crashes.lock().unwrap().clone());
    let mut crashes: Vec<Instant> = crashes
        .filter(|(_, p)| p == path)
        .map(|(at, _)| at)
        .collect();
    crashes.sort_unstable();
    let Some(third) = crashes.get(2) else {
        return (all, Vec::new());
    };
    runs.retain(|run| run.at > *third + CONTACT);
    (all, runs)
}

fn send(rig: &Rig, gateway: usize, path: &str) -> u16 {
    let id = next_id();
    let bytes = request("GET", path, &id, 800, b"");
    let addr = rig.gateways[gateway].callers();
    let limit = Duration::from_millis(1_800);
    let seen = exchange(&rig.record, gateway, addr, &mut None, &id, &bytes, limit);
    seen.map_or(0, |seen| seen.status)
}

/// All gateways are killed at the same moment after the request was found to crash targets.
pub fn run_wipe(folder: &Path) -> io::Result<bool> {
    let record = record_in(folder)?;
    let mut rig = rig(&record, 12, 6, Some(DEADLY))?;
    let path = "/batch/deadly/7?q=1";
    let mut turn = 0;
    let mut come = |rig: &Rig, times: usize| {
        for _ in 0..times {
            // Two clients send it, each to another machine.
            thread::scope(|scope| {
                for client in 0..2 {
                    let gateway = (turn + 3 * client) % 6;
                    scope.spawn(move || send(rig, gateway, path));
                }
            });
            turn += 1;
            thread::sleep(Duration::from_millis(300));
        }
    };
    come(&rig, 12);
    let (before, _) = late(&rig, path);
    record.say(&format!("before: the request has run {before} times"));
    thread::sleep(Duration::from_secs(2));
    if has_trouble() {
        rig.kill_all(Duration::from_millis(500))?;
    }
    // The gateways are in touch again when the request comes the next time.
    thread::sleep(Duration::from_secs(5));
    come(&rig, 12);
    let (all, late) = late(&rig, path);
    for run in &late {
        record.say(&format!(
            "{} ms: {} begins to run it",
            record.ms(run.at),
            run.target
        ));
    }
    record.say(&format!(
        "BUDGET: the request has run {all} times, {} of them later than 3 s after the third crash; more \
         than 3 break the rule",
        late.len()
    ));
    Ok(late.len() > 3)
}

/// Pages that crash targets. Each has a second request that always comes with it on the same channel.
const PAGES: usize = 8;

pub fn run_pair(folder: &Path) -> io::Result<bool> {
    let record = record_in(folder)?;
    let rig = rig(&record, 3, 3, has_trouble().then_some(DEADLY))?;
    let start = Instant::now();
    let mut turn = 0;
    while start.elapsed() < Duration::from_secs(80) {
        let (gateway, page) = (turn % 3, turn % PAGES);
        turn += 1;
        let (first, second) = (next_id(), next_id());
        let mut bytes = request("GET", &format!("/batch/deadly/{page}"), &first, 800, b"");
        bytes.extend(request(
            "GET",
            &format!("/batch/list/{page}"),
            &second,
            800,
            b"",
        ));
        record.line(&format!(
            "client sends {first} (deadly/{page}) and {second} (list/{page}) to edge-{}",
            gateway + 1
        ));
        if let Ok(mut channel) = Channel::connect(rig.gateways[gateway].callers()) {
            let end = Instant::now() + Duration::from_millis(1_800);
            let _ = channel.write(&bytes);
            for id in [&first, &second] {
                match channel.read_until(end) {
                    Ok(answer) => record.line(&format!("client gets {id}: {}", answer.status())),
                    Err(error) => record.line(&format!("client gets nothing for {id}: {error}")),
                }
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    let mut worst = 0;
    for page in 0..PAGES {
        let (all, late) = late(&rig, &format!("/batch/deadly/{page}"));
        record.say(&format!(
            "deadly/{page} has run {all} times, {} of them later than 3 s after the third crash",
            late.len()
        ));
        worst = worst.max(late.len());
    }
    record.say(&format!(
        "BUDGET: {worst} late runs of one request; more than 3 break the rule"
    ));
    Ok(worst > 3)
}

/// The request comes at all machines at the same moment, again and again.
pub fn run_waves(folder: &Path) -> io::Result<bool> {
    let record = record_in(folder)?;
    let rig = rig(&record, 24, 8, has_trouble().then_some(DEADLY))?;
    let path = "/batch/deadly/7?q=1";
    for _ in 0..6 {
        thread::scope(|scope| {
            for gateway in 0..8 {
                let rig = &rig;
                scope.spawn(move || send(rig, gateway, path));
            }
        });
        thread::sleep(Duration::from_secs(4));
    }
    let (all, late) = late(&rig, path);
    for run in &late {
        record.say(&format!(
            "{} ms: {} begins to run it",
            record.ms(run.at),
            run.target
        ));
    }
    record.say(&format!(
        "BUDGET: the request has run {all} times, {} of them later than 3 s after the third crash; more \
         than 3 break the rule",
        late.len()
    ));
    Ok(late.len() > 3)
}
