//! Faults of the system that runs with the stand-ins found.

use std::sync::Arc;

use async_std::{net::TcpStream, task};
use testkit::{
    ANSWER_BYTES, AnswerFault, CALL_ID_HEADER, CallSpec, Cluster, ClusterSpec, UpstreamFaults,
    load::Customer, send_call,
};

/// Guards against a `date` header that the HTTP client adds to an upstream's answer, with a line break
/// inside: passed on, it ends the head early, and the caller reads header lines as the body.
#[test]
fn answer_without_date_keeps_framing() {
    task::block_on(async {
        let customer = Arc::new(Customer::named("lemovka").unwrap());
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
                answers: Some(AnswerFault::NoDate),
                ..UpstreamFaults::default()
            });
        }
        let addr = cluster.entries()[0];
        let stream = TcpStream::connect(addr).await.unwrap();
        let spec = CallSpec {
            service: "orders",
            class: "bulk-transfer",
            path: "/",
            body: b"order",
            headers: &[(CALL_ID_HEADER, "call-1")],
        };
        let answer = Box::pin(send_call(stream, addr, &spec)).await.unwrap();
        assert_eq!((answer.status, answer.code), (200, Some(1_000)));
        assert!(answer.body.starts_with(b"call-1"));
        assert_eq!(answer.body.len(), ANSWER_BYTES);
    });
}
