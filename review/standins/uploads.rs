//! Clients upload bodies that are within `max_body_bytes`, beside clients with small requests. The
//! platform kills a process that exceeds `memory_mb` and starts it again after a short delay.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Outcome,
    http::{LINK_SHARE, Pace, read_message},
    record::Record,
    rig::{Rig, Times, request},
    target::{Spec, Target},
};

/// Size of an uploaded body. The manifest allows 64 MiB.
const BODY: usize = 48 * 1024 * 1024;
/// Clients that upload on an ordinary day, each one body after the other.
const USUAL: usize = 2;
/// The same in the burst: one and a half times as many.
const BURST: usize = 3;
/// Bursts, each with the time from its start to that of the next one.
const BURSTS: u32 = 4;
const BURST_EACH: Duration = Duration::from_millis(3_500);
/// Time for which a burst lasts. The longest one of the site file takes 5 s.
const BURST_LENGTH: Duration = Duration::from_millis(1_200);
/// Clients with small requests.
const OTHERS: usize = 8;
/// `memory_mb` of the settings, in kilobytes.
const MEMORY_KB: u64 = 260 * 1024;
/// Time for which the platform watches.
const LENGTH: Duration = Duration::from_secs(16);

/// Ends of a request on a kept channel.
#[derive(Default)]
struct Ends {
    answered: u32,
    /// Ids of the requests whose channel ended without an answer.
    cut: Vec<String>,
}

/// Sends small requests on one channel, and opens another one when it ends.
fn send_small(
    addr: SocketAddr,
    client: usize,
    is_over: &AtomicBool,
    ends: &Mutex<Ends>,
    record: &Record,
) {
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
        let mut input = Vec::new();
        let mut is_kept = false;
        while !is_over.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("s{client}-{number}");
            let mut text = request("POST", &format!("/write/{id}"), &id, 3_000, 4_000).into_bytes();
            text.resize(text.len() + 4_000, b'x');
            if stream.write_all(&text).is_err() {
                break;
            }
            record.line(&format!("{id} is sent"));
            let answer = read_message(&stream, &mut input);
            let status = answer.as_ref().ok().and_then(Option::as_ref);
            record.line(&format!("{id} gets {:?}", status.map(|a| a.status())));
            match answer {
                Ok(Some(_)) => ends.lock().unwrap().answered += 1,
                _ if is_kept => {
                    ends.lock().unwrap().cut.push(id);
                    break;
                }
                _ => break,
            }
            is_kept = true;
        }
    }
}

/// Writes a body at the rate of one of three that share the link.
fn write_paced(stream: &mut TcpStream, body: &[u8]) -> io::Result<()> {
    let mut pace = Pace::new(LINK_SHARE);
    for chunk in body.chunks(256 * 1024) {
        stream.write_all(chunk)?;
        pace.wait(chunk.len());
    }
    Ok(())
}

/// Uploads one body after the other until `end`.
fn upload(addr: SocketAddr, client: usize, end: Duration, is_over: &AtomicBool, record: &Record) {
    let body = vec![b'x'; BODY];
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) && record.now() < end {
        number += 1;
        let id = format!("u{client}-{number}");
        let head = request("POST", &format!("/write/{id}"), &id, 3_000, BODY);
        let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
        record.line(&format!("{id} begins to upload {BODY} bytes"));
        let sent = stream
            .write_all(head.as_bytes())
            .and_then(|()| write_paced(&mut stream, &body));
        let answer = sent
            .ok()
            .and_then(|()| read_message(&stream, &mut Vec::new()).ok()?);
        let answer = answer.map_or_else(|| String::from("no answer"), |a| a.start);
        record.line(&format!("{id} ends: {answer}"));
    }
}

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let specs = (0..8).map(|n| Spec {
        work: Duration::from_millis(250),
        ..Spec::new(&format!("i-{n}"), "orders", ["a", "b", "c"][n % 3])
    });
    let times = Times {
        timeout_s: 3.0,
        aim_s: 1.0,
    };
    let mut rig = match Rig::start(specs.collect(), 1, times, record) {
        Ok(rig) => rig,
        Err(error) => return Outcome::Failed(error.to_string()),
    };
    let addr = rig.gateways[0].callers();
    let is_over = Arc::new(AtomicBool::new(false));
    let ends = Arc::new(Mutex::new(Ends::default()));
    let mut clients = Vec::new();
    for client in 0..OTHERS {
        let (is_over, ends, record) = (Arc::clone(&is_over), Arc::clone(&ends), record.clone());
        clients.push(thread::spawn(move || {
            send_small(addr, client, &is_over, &ends, &record)
        }));
    }
    thread::sleep(Duration::from_secs(1));
    let uploading = if has_trouble { BURST } else { USUAL };
    let begun = record.now();
    for client in 0..uploading {
        let (is_over, record) = (Arc::clone(&is_over), record.clone());
        clients.push(thread::spawn(move || {
            if client < USUAL {
                return upload(addr, client, begun + LENGTH, &is_over, &record);
            }
            for burst in 0..BURSTS {
                let start = begun + BURST_EACH * burst;
                thread::sleep(start.saturating_sub(record.now()));
                record.line(&format!("burst {burst} begins"));
                upload(addr, client, start + BURST_LENGTH, &is_over, &record);
            }
        }));
    }
    let (mut peak_kb, mut kills) = (0, 0);
    while record.now() < begun + LENGTH {
        thread::sleep(Duration::from_millis(2));
        let used_kb = rig.gateways[0].memory_kb("VmRSS").unwrap_or_default();
        peak_kb = peak_kb.max(used_kb);
        if used_kb > MEMORY_KB {
            kills += 1;
            record.line(&format!(
                "the platform kills the process: {used_kb} kB of {MEMORY_KB}"
            ));
            let _ = rig.gateways[0].child.kill();
            thread::sleep(Duration::from_millis(500));
            if let Err(error) = rig.gateways[0].restart() {
                return Outcome::Failed(error.to_string());
            }
        }
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let ends = ends.lock().unwrap();
    // Targets are sound throughout. A request counts if one of them got it.
    let runs: Vec<_> = rig.targets.iter().flat_map(Target::runs).collect();
    let passed_on = |id: &&String| runs.iter().any(|run| run.id == **id);
    let lost: Vec<&String> = ends.cut.iter().filter(passed_on).collect();
    for id in &lost {
        record.line(&format!(
            "{id} was passed on, and its kept channel ended without an answer"
        ));
    }
    record.say(&format!(
        "{uploading} uploads at a time: at most {peak_kb} kB in use, {kills} kills for memory; \
         {} small requests answered, {} passed on and cut on a kept channel",
        ends.answered,
        lost.len()
    ));
    if ends.answered < 50 {
        return Outcome::Failed(String::from("too few requests were answered"));
    }
    if lost.len() > 3 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
