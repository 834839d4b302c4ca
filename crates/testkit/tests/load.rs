//! Tests of planned arrivals, statistics, the ideal simulation and the caller. They guard against
//! misleading measurements: arrivals that differ between runs with the same seed, an ideal
//! simulation that the system could outperform, and retries of calls that ran.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering::Relaxed},
    },
    time::Duration,
};

use async_std::task;
use http_types::{Response, StatusCode};
use testkit::{
    CallSpec, Caller, CallerSpec, HttpServer, json_response,
    load::{Customer, IdealFaults, Plan, plan_arrivals, simulate_ideal, summarize_by_class},
};

#[test]
fn arrivals_same_seed_same_plan() {
    let customer = Customer::by_name("lemovka").unwrap();
    let plan = Plan::steady(0.5, 2.0, 7);
    let arrivals = plan_arrivals(&customer, &plan);
    assert_eq!(arrivals, plan_arrivals(&customer, &plan));
    assert!(arrivals.is_sorted_by_key(|a| a.planned_us));
    let planned = (4687.5 + 1125.0) * 0.5 * 2.0;
    let rate = f64::from(u32::try_from(arrivals.len()).unwrap()) / planned;
    assert!((0.95..1.05).contains(&rate), "rate is {rate} of the plan");
}

#[test]
fn ideal_low_load_has_no_queueing() {
    let customer = Customer::by_name("sacaria").unwrap();
    let arrivals = plan_arrivals(&customer, &Plan::steady(0.1, 2.0, 1));
    for sample in simulate_ideal(&customer, &arrivals, IdealFaults::default()) {
        assert_eq!(sample.latency_us, sample.arrival.service_us);
        assert!(sample.is_served());
    }
}

#[test]
fn ideal_overload_refuses_within_delay() {
    let customer = Customer::by_name("lemovka").unwrap();
    let arrivals = plan_arrivals(&customer, &Plan::steady(1.5, 3.0, 1));
    let samples = simulate_ideal(&customer, &arrivals, IdealFaults::default());
    assert_eq!(samples.len(), arrivals.len());
    for sample in &samples {
        let class = &customer.services[sample.arrival.service].classes[sample.arrival.class];
        let waited = sample.latency_us.saturating_sub(sample.arrival.service_us);
        assert!(waited <= class.delay_ms * 1_000);
    }
    let refused: u64 = summarize_by_class(&customer, &samples)
        .iter()
        .filter_map(|s| s.refused.get(&3_001))
        .sum();
    assert!(refused > 0);
}

/// Sends one call to an instance that answers the first request with `code` and serves later ones.
/// Returns the number of requests that the instance received.
async fn count_requests(code: u16, outcome: &'static str) -> u32 {
    let requests = Arc::new(AtomicU32::new(0));
    let count = Arc::clone(&requests);
    let server = HttpServer::start(move |req, stream| {
        let count = Arc::clone(&count);
        async move {
            if req.header("hw-service").is_none() {
                let addr = stream.local_addr()?;
                let body = serde_json::json!({ "addresses": [addr], "max_age_ms": 60_000 });
                return json_response(&body);
            }
            let mut response = Response::new(StatusCode::Ok);
            let first = count.fetch_add(1, Relaxed) == 0;
            let code = if first { code } else { 1_000 };
            response.insert_header("hw-code", code.to_string());
            response.insert_header("hw-outcome", outcome);
            response.insert_header("hw-retry-after-ms", "1");
            Ok(response)
        }
    })
    .await;
    let caller = Caller::new(CallerSpec {
        name: "c".to_owned(),
        zone: "a".to_owned(),
        instance_addrs: vec![server.addr()],
        max_retries: 3,
    });
    let spec = CallSpec {
        service: "orders",
        class: "bulk",
        path: "/",
        body: b"order",
        headers: &[],
    };
    caller.call(&spec, Duration::from_secs(2)).await;
    requests.load(Relaxed)
}

#[test]
fn caller_retries_only_not_run() {
    task::block_on(async {
        assert_eq!(count_requests(3_001, "not-run").await, 2);
        assert_eq!(count_requests(4_002, "unknown").await, 1);
        assert_eq!(
            count_requests(2_003, "not-run").await,
            1,
            "a caller's own error"
        );
    });
}
