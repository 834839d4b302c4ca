//! Regression tests for faults of the system that were found in runs with the stand-ins.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::{net::TcpStream, task};
use testkit::{
    CALL_ID_HEADER, CallSpec, Cluster, ClusterSpec, RESPONSE_BYTES, ResponseFault, UpstreamFaults,
    load::Customer, send_call,
};

/// The instance's HTTP client adds a `date` header with a line break inside to a response of an
/// upstream that has none. If the instance forwarded it, the head would end early and the caller
/// would read header lines as the body.
#[test]
fn response_without_date_keeps_framing() {
    task::block_on(async {
        let customer = Arc::new(Customer::by_name("lemovka").unwrap());
        let cluster = Box::pin(Cluster::start(ClusterSpec {
            customer,
            instances: 1,
            version: "v1",
            seed: 1,
        }))
        .await
        .unwrap();
        for target in &cluster.targets {
            target.upstream.set_faults(UpstreamFaults {
                response_fault: Some(ResponseFault::NoDate),
                ..UpstreamFaults::default()
            });
        }
        let addr = cluster.instance_addrs()[0];
        let stream = TcpStream::connect(addr).await.unwrap();
        let spec = CallSpec {
            service: "orders",
            class: "bulk-transfer",
            path: "/",
            body: b"order",
            headers: &[(CALL_ID_HEADER, "call-1")],
        };
        let response = Box::pin(send_call(stream, addr, &spec)).await.unwrap();
        assert_eq!((response.status, response.code), (200, Some(1_000)));
        assert!(response.body.starts_with(b"call-1"));
        assert_eq!(response.body.len(), RESPONSE_BYTES);
    });
}

/// Returns a customer with one service, which has `targets` upstreams of `slots` slots each.
fn one_service(targets: usize, slots: u32) -> Arc<Customer> {
    let mut customer = Customer::by_name("lemovka").unwrap();
    customer.services.truncate(1);
    // One availability zone, so that the second instance ranks behind the first for some upstreams.
    customer.zones = [customer.zones[0]; 3];
    customer.services[0].targets = targets;
    customer.services[0].slots = slots;
    Arc::new(customer)
}

async fn start(customer: Arc<Customer>) -> Cluster {
    let spec = ClusterSpec {
        customer,
        instances: 1,
        version: "v1",
        seed: 1,
    };
    Box::pin(Cluster::start(spec)).await.unwrap()
}

/// Sends a bulk transfer with a service time of 20 ms and returns its result code.
async fn bulk_code(addr: SocketAddr) -> Option<u16> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let spec = CallSpec {
        service: "orders",
        class: "bulk-transfer",
        path: "/",
        body: b"order",
        headers: &[("x-service-us", "20000")],
    };
    let response = Box::pin(send_call(stream, addr, &spec)).await;
    response.ok()?.code
}

/// Sends calls until one is served. Returns `false` if none is served within `timeout`.
async fn wait_served(addr: SocketAddr, timeout: Duration) -> bool {
    let deadline = Instant::now() + timeout;
    while Instant::now() < deadline {
        if bulk_code(addr).await == Some(1_000) {
            return true;
        }
        task::sleep(Duration::from_millis(50)).await;
    }
    false
}

/// Upstreams would stay without an owner if their owner crashed, is still listed as live, and the
/// only other instance started later and so never received a heartbeat from it. The design allows
/// 3 s of missed heartbeats and 500 ms for the claim. With 8 upstreams, the crashed instance owns
/// some of them.
#[test]
fn targets_of_dead_listed_owner_are_taken_over() {
    task::block_on(async {
        let mut cluster = start(one_service(8, 3)).await;
        let first = cluster.instance_addrs()[0];
        assert!(wait_served(first, Duration::from_secs(5)).await);
        cluster.instances[0].kill();
        cluster.add_instance().await.unwrap();
        let second = cluster.instance_addrs()[0];
        let start_time = Instant::now();
        let mut idle = Vec::new();
        while start_time.elapsed() < Duration::from_secs(8) {
            let calls = (0..24).map(|_| task::spawn(bulk_code(second)));
            futures::future::join_all(calls).await;
            let targets = cluster.targets.iter();
            let unused =
                targets.filter(|t| t.upstream.last_start().is_none_or(|at| at < start_time));
            idle = unused.map(|t| t.entry.id.clone()).collect();
            if idle.is_empty() {
                return;
            }
        }
        panic!("no calls after 8 s at {idle:?}");
    });
}

/// Calls must not fail when an upstream has more slots than the 15 connections that an instance opens
/// to it. 30 concurrent calls on 30 slots must be served.
#[test]
fn target_with_more_slots_than_connections_serves() {
    task::block_on(async {
        let cluster = start(one_service(1, 30)).await;
        let addr = cluster.instance_addrs()[0];
        assert!(wait_served(addr, Duration::from_secs(5)).await);
        let callers = (0..30).map(|_| {
            task::spawn(async move {
                let mut codes = Vec::new();
                for _ in 0..20 {
                    codes.push(bulk_code(addr).await);
                }
                codes
            })
        });
        let codes = futures::future::join_all(callers).await.concat();
        let failed: Vec<_> = codes.iter().filter(|c| **c != Some(1_000)).collect();
        assert!(failed.is_empty(), "{} of 600: {failed:?}", failed.len());
    });
}
