//! Open-loop runs: each call is sent at its planned time, even if earlier calls have not ended.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use async_std::{channel::unbounded, task};

use super::{Arrival, Customer, Plan, Sample};
use crate::{CALL_ID_HEADER, CallResult, CallSpec, Caller, CallerSpec, RESPONSE_BYTES};

/// Maximum time of a call, including retries.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Body of each request.
const BODY: &[u8] = &[b'r'; 256];

/// Creates the callers of a plan, spread over the zones. Each knows all instances. The last caller
/// is the noisy one.
#[must_use]
pub fn create_callers(
    customer: &Customer,
    plan: &Plan,
    instance_addrs: &[SocketAddr],
    max_retries: u32,
) -> Vec<Arc<Caller>> {
    let caller = |index: usize| {
        Arc::new(Caller::new(CallerSpec {
            name: format!("caller-{index}"),
            zone: customer.zones[index % customer.zones.len()].to_owned(),
            instance_addrs: instance_addrs.to_vec(),
            max_retries,
        }))
    };
    (0..=plan.callers).map(caller).collect()
}

/// Sends all calls and waits until they have ended. `run_id` is part of the call ids, so that these
/// differ between runs.
pub async fn run_load(
    customer: &Arc<Customer>,
    arrivals: &[Arrival],
    callers: &[Arc<Caller>],
    run_id: &str,
) -> Vec<Sample> {
    let start = Instant::now();
    let samples = Arc::new(Mutex::new(Vec::with_capacity(arrivals.len())));
    // Closed when every call has dropped its sender.
    let (call_guard, all_ended) = unbounded::<()>();
    for (number, arrival) in arrivals.iter().copied().enumerate() {
        let at = start + Duration::from_micros(arrival.planned_us);
        let wait = at.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            task::sleep(wait).await;
        }
        let customer = Arc::clone(customer);
        let caller = Arc::clone(&callers[arrival.caller]);
        let samples = Arc::clone(&samples);
        let call_guard = call_guard.clone();
        let id = format!("{run_id}-{number}");
        task::spawn(async move {
            let sample = send(&customer, &caller, arrival, number, &id, at).await;
            let mut samples = samples.lock().unwrap_or_else(PoisonError::into_inner);
            samples.push(sample);
            drop(call_guard);
        });
    }
    drop(call_guard);
    let _ = all_ended.recv().await;
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
    let profile = &customer.services[arrival.service];
    let class = &profile.classes[arrival.class];
    let service_us = arrival.service_us.to_string();
    let spec = CallSpec {
        service: profile.name,
        class: class.name,
        path: class.path,
        body: BODY,
        headers: &[(CALL_ID_HEADER, id), ("x-service-us", &service_us)],
    };
    let late = at.elapsed();
    let result = caller.call(&spec, CALL_TIMEOUT).await;
    sample_of(&result, id, number, arrival, [late, at.elapsed()])
}

fn sample_of(
    result: &CallResult,
    id: &str,
    number: usize,
    arrival: Arrival,
    [late, latency]: [Duration; 2],
) -> Sample {
    let us = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    let response = result.response.as_ref();
    let status = response.map_or(0, |r| r.status);
    let code = response.and_then(|r| r.code).unwrap_or(0);
    let wrong =
        response.is_some_and(|r| status == 200 && !(code == 1_000 && is_own_body(&r.body, id)));
    Sample {
        number,
        arrival,
        latency_us: us(latency),
        late_us: us(late),
        status,
        code,
        unknown: result.unknown,
        wrong,
        retries: result.retries,
    }
}

/// Returns whether a response body is complete and consists of `id` and padding.
fn is_own_body(body: &[u8], id: &str) -> bool {
    let rest = body.strip_prefix(id.as_bytes());
    body.len() == RESPONSE_BYTES && rest.is_some_and(|r| r.first() == Some(&b'x'))
}
