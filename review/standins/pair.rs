//! Two requests come that each crash the targets that begin to run them, beside sound requests.

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Outcome,
    http::read_message,
    record::Record,
    rig::{Rig, Times, request},
    target::{Run, Spec, Target},
};

/// Time for which the requests come.
const LENGTH: Duration = Duration::from_secs(20);
/// Time between two arrivals of the pair, at the machines in turn.
const GAP: Duration = Duration::from_millis(300);
/// `contact_s`.
const CONTACT: Duration = Duration::from_secs(3);

/// Sends a request on a new channel. Returns the status of the answer.
fn send(addr: SocketAddr, method: &str, path: &str, id: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let text = request(method, path, id, 800, 0);
    stream.write_all(text.as_bytes()).ok()?;
    Some(read_message(&stream, &mut Vec::new()).ok()??.status())
}

/// Returns how many runs of a request reached targets later than `CONTACT` after it had itself crashed
/// the third one.
fn late_runs(runs: &[Run], name: &str) -> usize {
    let mut own: Vec<&Run> = runs.iter().filter(|run| run.id.starts_with(name)).collect();
    own.sort_by_key(|run| run.arrived);
    let mut crashes = own
        .iter()
        .filter(|run| run.is_cause)
        .filter_map(|run| run.ended);
    let Some(third) = crashes.nth(2) else {
        return 0;
    };
    own.iter()
        .filter(|run| run.arrived > third + CONTACT)
        .count()
}

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let specs = (0..2).map(|n| Spec::new(&format!("i-{n}"), "orders", ["a", "b"][n]));
    let times = Times {
        timeout_s: 0.8,
        aim_s: 0.25,
    };
    let mut rig = match Rig::start(specs.collect(), 2, times, record) {
        Ok(rig) => rig,
        Err(error) => return Outcome::Failed(error.to_string()),
    };
    // Without the trouble the same requests come, but don't crash their targets.
    let folder = if has_trouble { "poison" } else { "sound" };
    let addrs: Vec<SocketAddr> = rig.gateways.iter().map(|g| g.callers()).collect();
    let (sent, served) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let start = record.now();
    let mut clients = Vec::new();
    for number in 0_usize.. {
        if record.now() > start + LENGTH {
            break;
        }
        let addr = addrs[number % addrs.len()];
        for name in ["a", "b"] {
            let (id, path) = (format!("{name}-{number}"), format!("/read/{folder}/{name}"));
            let record = record.clone();
            clients.push(thread::spawn(move || {
                let status = send(addr, "GET", &path, &id);
                record.line(&format!("{id} gets {status:?}"));
            }));
        }
        thread::sleep(GAP / 2);
        let (sent, served, record) = (Arc::clone(&sent), Arc::clone(&served), record.clone());
        clients.push(thread::spawn(move || {
            let id = format!("s-{number}");
            let status = send(addr, "POST", &format!("/write/{id}"), &id);
            record.line(&format!("{id} gets {status:?}"));
            sent.fetch_add(1, Ordering::Relaxed);
            served.fetch_add(u32::from(status == Some(200)), Ordering::Relaxed);
        }));
        thread::sleep(GAP / 2);
    }
    for client in clients {
        let _ = client.join();
    }
    rig.gateways.clear();
    let runs: Vec<Run> = rig.targets.iter().flat_map(Target::runs).collect();
    let crashes: u32 = rig.targets.iter().map(Target::crashes).sum();
    let late = [late_runs(&runs, "a-"), late_runs(&runs, "b-")];
    let cut = runs
        .iter()
        .filter(|run| run.id.starts_with("s-") && run.is_lost)
        .count();
    let (sent, served) = (sent.load(Ordering::Relaxed), served.load(Ordering::Relaxed));
    record.say(&format!(
        "{crashes} crashes; later than 3 s after its own third crash, a reached targets {} times and b \
         {} times; {served} of {sent} sound writes served, {cut} cut while they ran",
        late[0], late[1]
    ));
    if !has_trouble && served * 10 < sent * 9 {
        return Outcome::Failed(String::from(
            "too few requests were served without the trouble",
        ));
    }
    if late.iter().any(|late| *late > 3) {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
