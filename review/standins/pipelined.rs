//! Clients send 16 idempotent requests on one channel before the first answer, and leave.

use std::{
    io::Write,
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Outcome,
    http::read_message,
    record::Record,
    rig::{Rig, Times, request},
    target::{Spec, Target},
};

/// Clients that leave, one after the other.
const LEAVING: usize = 4;
/// Clients that wait for their answers: of all clients, a quarter leaves.
const STAYING: usize = 12;
/// Requests that a leaving client has sent on its channel.
const DEPTH: usize = 16;
/// Time after which it leaves: less than half of the objective.
const PATIENCE: Duration = Duration::from_millis(400);
/// Time after the close within which targets must have been told.
const SLACK: Duration = Duration::from_millis(500);
/// Time that a request takes at a target.
const WORK: Duration = Duration::from_millis(1_500);

/// Sends one request after the other on a channel and reads the answers.
fn stay(addr: SocketAddr, client: usize, is_over: &AtomicBool, served: &AtomicU32) {
    let Ok(mut stream) = TcpStream::connect(addr) else {
        return;
    };
    let mut input = Vec::new();
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("s{client}-{number}");
        let text = request("GET", &format!("/read/{id}"), &id, 4_000, 0);
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
        match read_message(&stream, &mut input) {
            Ok(Some(answer)) if answer.status() == 200 => served.fetch_add(1, Ordering::Relaxed),
            _ => return,
        };
    }
}

/// Reads `count` answers. Returns how many are successes.
fn read_all(stream: &TcpStream, count: usize) -> usize {
    let mut input = Vec::new();
    let answers = (0..count).map_while(|_| read_message(stream, &mut input).ok()?);
    answers.filter(|answer| answer.status() == 200).count()
}

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let specs = (0..24).map(|n| Spec {
        work: WORK,
        ..Spec::new(&format!("i-{n}"), "orders", ["a", "b", "c"][n % 3])
    });
    let times = Times {
        timeout_s: 4.0,
        aim_s: 2.0,
    };
    let mut rig = match Rig::start(specs.collect(), 2, times, record) {
        Ok(rig) => rig,
        Err(error) => return Outcome::Failed(error.to_string()),
    };
    let (is_over, served) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU32::new(0)),
    );
    let staying: Vec<_> = (0..STAYING)
        .map(|client| {
            let addr = rig.gateways[client % 2].callers();
            let (is_over, served) = (Arc::clone(&is_over), Arc::clone(&served));
            thread::spawn(move || stay(addr, client, &is_over, &served))
        })
        .collect();
    let mut closed_at = Vec::new();
    let mut answered = 0;
    for client in 0..LEAVING {
        thread::sleep(Duration::from_millis(1_000));
        let addr = rig.gateways[client % 2].callers();
        let Ok(mut stream) = TcpStream::connect(addr) else {
            return Outcome::Failed(format!("no channel to {addr}"));
        };
        let texts = (0..DEPTH).map(|number| {
            let path = format!("/read/{client}/{number}");
            request("GET", &path, &format!("c{client}-{number:02}"), 4_000, 0)
        });
        if stream
            .write_all(texts.collect::<String>().as_bytes())
            .is_err()
        {
            return Outcome::Failed(String::from("the requests could not be sent"));
        }
        record.line(&format!(
            "client c{client} sends {DEPTH} requests to {addr}"
        ));
        if has_trouble {
            thread::sleep(PATIENCE);
            let _ = stream.shutdown(Shutdown::Both);
            closed_at.push(record.now());
            record.line(&format!("client c{client} closes its channel"));
        } else {
            answered += read_all(&stream, DEPTH);
            closed_at.push(record.now());
            record.line(&format!("client c{client} has read its answers"));
        }
        drop(stream);
        thread::sleep(WORK * 2);
    }
    is_over.store(true, Ordering::Relaxed);
    for client in staying {
        let _ = client.join();
    }
    let (mut total, mut worked, mut late) = (0, 0, 0);
    let runs = rig.targets.iter().flat_map(Target::runs);
    for run in runs.filter(|run| run.id.starts_with('c')) {
        let client: usize = run.id[1..2].parse().unwrap_or_default();
        let limit = closed_at[client] + SLACK;
        total += 1;
        late += u32::from(run.arrived > limit);
        worked += u32::from(run.began.is_some() && run.ended.is_none_or(|at| at > limit));
    }
    rig.gateways.clear();
    let served = served.load(Ordering::Relaxed);
    record.say(&format!(
        "{total} arrivals of the clients that leave: targets at work on {worked} of them half a \
         second after the close; {late} arrive later than that; {answered} were answered; {served} \
         requests of the clients that stay were served"
    ));
    if served < 30 || total < (LEAVING * DEPTH / 2) as u32 {
        return Outcome::Failed(String::from("too few requests reached targets"));
    }
    if !has_trouble && answered < LEAVING * DEPTH * 9 / 10 {
        return Outcome::Failed(String::from(
            "too few requests were served without the trouble",
        ));
    }
    if worked * 4 > total || late > 3 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
