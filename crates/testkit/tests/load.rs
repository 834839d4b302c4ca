//! Planned arrivals, figures, the ideal limit and the caller. Guards against figures that flatter the
//! system: arrivals that vary between runs, an ideal that is no limit, repeats of calls that ran.

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
    load::{Customer, IdealFaults, Plan, by_class, plan_arrivals, run_ideal},
};

#[test]
fn arrivals_same_seed_same_plan() {
    let customer = Customer::named("lemovka").unwrap();
    let plan = Plan::steady(0.5, 2.0, 7);
    let arrivals = plan_arrivals(&customer, &plan);
    assert_eq!(arrivals, plan_arrivals(&customer, &plan));
    assert!(arrivals.is_sorted_by_key(|a| a.at_us));
    let planned = (4687.5 + 1125.0) * 0.5 * 2.0;
    let rate = f64::from(u32::try_from(arrivals.len()).unwrap()) / planned;
    assert!((0.95..1.05).contains(&rate), "rate is {rate} of the plan");
}

#[test]
fn ideal_low_load_never_waits() {
    let customer = Customer::named("sacaria").unwrap();
    let arrivals = plan_arrivals(&customer, &Plan::steady(0.1, 2.0, 1));
    for sample in run_ideal(&customer, &arrivals, IdealFaults::default()) {
        assert_eq!(sample.latency_us, sample.arrival.service_us);
        assert!(sample.is_served());
    }
}

#[test]
fn ideal_overload_refuses_within_delay() {
    let customer = Customer::named("lemovka").unwrap();
    let arrivals = plan_arrivals(&customer, &Plan::steady(1.5, 3.0, 1));
    let samples = run_ideal(&customer, &arrivals, IdealFaults::default());
    assert_eq!(samples.len(), arrivals.len());
    for sample in &samples {
        let class = &customer.services[sample.arrival.service].classes[sample.arrival.class];
        let waited = sample.latency_us.saturating_sub(sample.arrival.service_us);
        assert!(waited <= class.delay_ms * 1_000);
    }
    let refused: u64 = by_class(&customer, &samples)
        .iter()
        .filter_map(|f| f.refused.get(&3_001))
        .sum();
    assert!(refused > 0);
}

/// Runs one call against an instance that answers `code` at first and serves later; returns the
/// number of calls that it saw.
async fn calls_seen(code: u16, outcome: &'static str) -> u32 {
    let seen = Arc::new(AtomicU32::new(0));
    let count = Arc::clone(&seen);
    let server = HttpServer::start(move |req, stream| {
        let count = Arc::clone(&count);
        async move {
            if req.header("hw-service").is_none() {
                let own = stream.local_addr()?;
                let body = serde_json::json!({ "addresses": [own], "max_age_ms": 60_000 });
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
        entries: vec![server.addr()],
        repeats: 3,
    });
    let spec = CallSpec {
        service: "orders",
        class: "bulk",
        path: "/",
        body: b"order",
        headers: &[],
    };
    caller.call(&spec, Duration::from_secs(2)).await;
    seen.load(Relaxed)
}

#[test]
fn caller_repeats_only_not_run() {
    task::block_on(async {
        assert_eq!(calls_seen(3_001, "not-run").await, 2);
        assert_eq!(calls_seen(4_002, "unknown").await, 1);
        assert_eq!(
            calls_seen(2_003, "not-run").await,
            1,
            "a caller's own error"
        );
    });
}
