//! The machines that are named as seeds are lost, and another machine is added. Targets state limits.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
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

/// Targets that state a limit, of [`TARGETS`].
const LIMITED: usize = 2;
const TARGETS: usize = 3;
/// Requests a second that these take from all machines together: half of what a target usually gets.
const RATE: u32 = 20;
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

/// Time from a machine's first answer of a target to the window.
const PASSED_ON: Duration = Duration::from_millis(500);

/// What came of the requests to one machine.
struct Pressed {
    served: u32,
    /// When the first answer of a target, which names its limit, was passed on.
    first: Duration,
}

/// Sends requests at a steady rate to one machine.
fn press(addr: SocketAddr, name: &str, record: &Record) -> Pressed {
    let served = Arc::new(AtomicU32::new(0));
    let first_ms = Arc::new(AtomicU64::new(u64::MAX));
    let start = Instant::now();
    let mut senders = Vec::new();
    for number in 0_u32.. {
        let at = Duration::from_secs(1) * number / LOAD;
        if at >= LENGTH {
            break;
        }
        thread::sleep(at.saturating_sub(start.elapsed()));
        let (id, record) = (format!("{name}-{number}"), record.clone());
        let (served, first_ms) = (Arc::clone(&served), Arc::clone(&first_ms));
        senders.push(thread::spawn(move || {
            record.line(&format!("{id} is sent"));
            let status = send(addr, &id);
            record.line(&format!("{id} gets {status:?}"));
            if status == Some(200) {
                served.fetch_add(1, Ordering::Relaxed);
                first_ms.fetch_min(record.now().as_millis() as u64, Ordering::Relaxed);
            }
        }));
    }
    for sender in senders {
        let _ = sender.join();
    }
    Pressed {
        served: served.load(Ordering::Relaxed),
        first: Duration::from_millis(first_ms.load(Ordering::Relaxed)),
    }
}

/// Returns the most arrivals of a target in a window that begins `CONTACT` after the first one or later,
/// and not before `bound_from`.
fn most_in_window(target: &Target, bound_from: Duration) -> usize {
    let arrivals: Vec<Duration> = target.runs().iter().map(|run| run.arrived).collect();
    let Some(first) = arrivals.first() else {
        return 0;
    };
    let bound = arrivals
        .iter()
        .filter(|at| **at >= (*first + CONTACT).max(bound_from));
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
    let specs = (0..TARGETS).map(|n| Spec {
        work: Duration::from_millis(50),
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
    for target in &rig.targets[..LIMITED] {
        target.set_limit(RATE);
    }
    record.line("the limits are stated from now on");
    let old_record = record.clone();
    let pressing = thread::spawn(move || press(old, "old", &old_record));
    let by_new = press(new, "new", record);
    let Ok(by_old) = pressing.join() else {
        return Outcome::Failed(String::from("a client has panicked"));
    };
    if by_old.served < 50 || by_new.served < 50 {
        return Outcome::Failed(String::from("a machine has served too few requests"));
    }
    let bound_from = by_old.first.max(by_new.first) + PASSED_ON;
    let allowed = f64::from(RATE) * WINDOW.as_secs_f64() * 1.5 + 5.0;
    let mut is_broken = false;
    for target in &rig.targets[..LIMITED] {
        let most = most_in_window(target, bound_from);
        is_broken |= most as f64 > allowed;
        record.say(&format!(
            "{}: at most {most} requests in 4 s, {allowed} allowed",
            target.spec.id
        ));
    }
    record.say(&format!(
        "served by the old machine {}, by the added one {}",
        by_old.served, by_new.served
    ));
    rig.gateways.clear();
    if is_broken {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
