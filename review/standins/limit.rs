//! The machines that are named as seeds are lost, and another machine is added. Targets state limits.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    gateway::{Gateway, free_ip, wait_ready},
    http::read_message,
    record::Record,
    rig::{Rig, Times, request},
    target::{Spec, Target},
};

/// Requests a second that each target takes from all machines together.
const RATE: u32 = 10;
/// Requests a second that clients send to each of the two machines.
const LOAD: u32 = 60;
/// Time for which they send.
const LENGTH: Duration = Duration::from_secs(16);
/// Length of the window of the rule.
const WINDOW: Duration = Duration::from_secs(4);
/// Time from the loss to the start of the added machine, within `seed_lag_s` (3 s).
const ADDED_AFTER: Duration = Duration::from_secs(2);
/// `contact_s`: time from which the limit binds.
const CONTACT: Duration = Duration::from_secs(3);

fn send(addr: SocketAddr, id: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let text = request("GET", &format!("/read/{id}"), id, 800, 0);
    stream.write_all(text.as_bytes()).ok()?;
    Some(read_message(&stream, &mut Vec::new()).ok()??.status())
}

/// Sends requests at a steady rate to one machine. Returns how many were served.
fn press(addr: SocketAddr, name: &str) -> u32 {
    let served = Arc::new(AtomicU32::new(0));
    let start = Instant::now();
    let mut senders = Vec::new();
    for number in 0_u32.. {
        let at = Duration::from_secs(1) * number / LOAD;
        if at >= LENGTH {
            break;
        }
        thread::sleep(at.saturating_sub(start.elapsed()));
        let (id, served) = (format!("{name}-{number}"), Arc::clone(&served));
        senders.push(thread::spawn(move || {
            let is_served = send(addr, &id) == Some(200);
            served.fetch_add(u32::from(is_served), Ordering::Relaxed);
        }));
    }
    for sender in senders {
        let _ = sender.join();
    }
    served.load(Ordering::Relaxed)
}

/// Returns the most arrivals of a target in a window that begins `CONTACT` after the first one or later.
fn most_in_window(target: &Target) -> usize {
    let arrivals: Vec<Duration> = target.runs().iter().map(|run| run.arrived).collect();
    let Some(first) = arrivals.first() else {
        return 0;
    };
    let bound = arrivals.iter().filter(|at| **at >= *first + CONTACT);
    let bound: Vec<Duration> = bound.copied().collect();
    let in_window = |from: &Duration| {
        bound
            .iter()
            .filter(|at| **at >= *from && **at < *from + WINDOW)
            .count()
    };
    bound.iter().map(in_window).max().unwrap_or_default()
}

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let specs = (0..3).map(|n| Spec {
        limit: Some(RATE),
        work: Duration::from_millis(30),
        ..Spec::new(&format!("i-{n}"), "orders", ["a", "b", "c"][n % 3])
    });
    let times = Times {
        timeout_s: 0.8,
        aim_s: 0.25,
    };
    let mut rig = match Rig::start(specs.collect(), 4, times, record) {
        Ok(rig) => rig,
        Err(error) => return Outcome::Failed(error.to_string()),
    };
    let seeds: Vec<String> = rig.gateways[..3].iter().map(|g| g.ip.clone()).collect();
    let lost: Vec<Gateway> = if has_trouble {
        rig.gateways.drain(..3).collect()
    } else {
        Vec::new()
    };
    for gateway in lost {
        record.line(&format!("{} is lost for good", gateway.name));
        drop(gateway);
    }
    thread::sleep(ADDED_AFTER);
    let added = match Gateway::start(&rig.folder, &free_ip(), "a", rig.store.addr, &seeds, false) {
        Ok(added) => added,
        Err(error) => return Outcome::Failed(error.to_string()),
    };
    record.line(&format!("{} is added", added.name));
    rig.gateways.push(added);
    if !wait_ready(&rig.gateways, Duration::from_secs(10)) {
        return Outcome::Failed(String::from("the added machine is not ready within 10 s"));
    }
    thread::sleep(Duration::from_secs(8));
    let count = rig.gateways.len();
    let old = rig.gateways[count - 2].callers();
    let new = rig.gateways[count - 1].callers();
    let pressing = thread::spawn(move || press(old, "old"));
    let by_new = press(new, "new");
    let by_old = pressing.join().unwrap_or_default();
    let allowed = f64::from(RATE) * WINDOW.as_secs_f64() * 1.5 + 5.0;
    let mut is_broken = false;
    for target in &rig.targets {
        let most = most_in_window(target);
        is_broken |= most as f64 > allowed;
        record.say(&format!(
            "{}: at most {most} requests in 4 s, {allowed} allowed",
            target.spec.id
        ));
    }
    record.say(&format!(
        "served by the old machine {by_old}, by the added one {by_new}"
    ));
    rig.gateways.clear();
    if by_old < 50 || by_new < 50 {
        return Outcome::Failed(String::from("a machine has served too few requests"));
    }
    if is_broken {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
