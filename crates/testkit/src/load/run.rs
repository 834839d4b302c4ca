//! Open-loop runs: each call is sent at its planned time, whatever became of earlier ones.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use async_std::{channel::unbounded, task};

use super::{Arrival, Customer, Plan, Sample};
use crate::{CALL_ID_HEADER, CallDone, CallSpec, Caller, CallerSpec, RESPONSE_BYTES};

/// Time limit of a call at its caller.
const CALL_LIMIT: Duration = Duration::from_secs(5);
/// Size of a request body in bytes.
const BODY: &[u8] = &[b'r'; 256];

/// The callers of a plan, spread over the zones, each knowing all instances. The last one is the
/// noisy one.
#[must_use]
pub fn callers(
    customer: &Customer,
    plan: &Plan,
    entries: &[SocketAddr],
    repeats: u32,
) -> Vec<Arc<Caller>> {
    let caller = |index: usize| {
        Arc::new(Caller::new(CallerSpec {
            name: format!("caller-{index}"),
            zone: customer.zones[index % customer.zones.len()].to_owned(),
            entries: entries.to_vec(),
            repeats,
        }))
    };
    (0..=plan.callers).map(caller).collect()
}

/// Sends all calls and waits for their ends. `tag` makes call ids unique across runs.
pub async fn run_load(
    customer: &Arc<Customer>,
    arrivals: &[Arrival],
    callers: &[Arc<Caller>],
    tag: &str,
) -> Vec<Sample> {
    let start = Instant::now();
    let samples = Arc::new(Mutex::new(Vec::with_capacity(arrivals.len())));
    let (alive, ended) = unbounded::<()>();
    for (number, arrival) in arrivals.iter().copied().enumerate() {
        let at = start + Duration::from_micros(arrival.at_us);
        let wait = at.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            task::sleep(wait).await;
        }
        let customer = Arc::clone(customer);
        let caller = Arc::clone(&callers[arrival.caller]);
        let samples = Arc::clone(&samples);
        let alive = alive.clone();
        let id = format!("{tag}-{number}");
        task::spawn(async move {
            let sample = send(&customer, &caller, arrival, number, &id, at).await;
            let mut samples = samples.lock().unwrap_or_else(PoisonError::into_inner);
            samples.push(sample);
            drop(alive);
        });
    }
    drop(alive);
    let _ = ended.recv().await;
    std::mem::take(&mut *samples.lock().unwrap_or_else(PoisonError::into_inner))
}

async fn send(
    customer: &Customer,
    caller: &Caller,
    arrival: Arrival,
    number: usize,
    id: &str,
    at: Instant,
) -> Sample {
    let shape = &customer.services[arrival.service];
    let class = &shape.classes[arrival.class];
    let service_us = arrival.service_us.to_string();
    let spec = CallSpec {
        service: shape.name,
        class: class.name,
        path: class.path,
        body: BODY,
        headers: &[(CALL_ID_HEADER, id), ("x-service-us", &service_us)],
    };
    let late = at.elapsed();
    let done = caller.call(&spec, CALL_LIMIT).await;
    sample_of(&done, id, number, arrival, [late, at.elapsed()])
}

fn sample_of(
    done: &CallDone,
    id: &str,
    number: usize,
    arrival: Arrival,
    [late, latency]: [Duration; 2],
) -> Sample {
    let us = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    let answer = done.answer.as_ref();
    let status = answer.map_or(0, |a| a.status);
    let code = answer.and_then(|a| a.code).unwrap_or(0);
    let wrong = answer.is_some_and(|a| status == 200 && !(code == 1_000 && names(&a.body, id)));
    Sample {
        number,
        arrival,
        latency_us: us(latency),
        late_us: us(late),
        status,
        code,
        unknown: done.unknown,
        wrong,
        repeats: done.repeats,
    }
}

/// Whether an answer is whole and begins with `id`, followed by filling.
fn names(body: &[u8], id: &str) -> bool {
    let rest = body.strip_prefix(id.as_bytes());
    body.len() == RESPONSE_BYTES && rest.is_some_and(|r| r.first() == Some(&b'x'))
}
